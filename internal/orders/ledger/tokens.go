package ledger

import (
	"sync"

	"sardineknot.example/sardineknot"
)

// eraTokens is the number of tokens of each era. The token of an order contains the era
// of the store in which it was issued, so that a process that has not read the record
// of an earlier order, which the store has lost, does not use its token again. Tokens
// of two million eras have less than 54 bits, which every JSON decoder reads exactly.
const eraTokens sardineknot.FencingToken = 1 << 32

// tokens holds the greatest fencing token that this process has used or seen for
// each engine. The store may come back from an older copy, which has smaller
// ones. It is safe for concurrent use. The zero value holds none.
type tokens struct {
	mu       sync.Mutex
	greatest map[sardineknot.BackendServerName]tokenInEra
}

// tokenInEra is a token and the era of the store in which it was used or seen.
type tokenInEra struct {
	token sardineknot.FencingToken
	era   sardineknot.StoreEra
}

// see records that the last order in the store has the given token in era. It
// reports whether the store has lost the record of a later order, known from an
// earlier era. Within an era a greater token is one that was never written.
func (t *tokens) see(server sardineknot.BackendServerName, token sardineknot.FencingToken, era sardineknot.StoreEra) (lost bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.greatest[server]
	if token < g.token {
		return era > g.era
	}
	t.setLocked(server, tokenInEra{token: token, era: era})
	return false
}

// next returns a token of era that is greater than all that this process has used or
// seen, and records it as used.
func (t *tokens) next(server sardineknot.BackendServerName, era sardineknot.StoreEra) sardineknot.FencingToken {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := max(t.greatest[server].token, sardineknot.FencingToken(era)*eraTokens) + 1
	t.setLocked(server, tokenInEra{token: n, era: era})
	return n
}

func (t *tokens) setLocked(server sardineknot.BackendServerName, token tokenInEra) {
	if t.greatest == nil {
		t.greatest = make(map[sardineknot.BackendServerName]tokenInEra)
	}
	t.greatest[server] = token
}
