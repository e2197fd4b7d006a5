package ledger

import (
	"sync"

	"sardineknot.example/sardineknot"
)

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

// next returns a token greater than all that this process has used or seen, and
// records it as used in era.
func (t *tokens) next(server sardineknot.BackendServerName, era sardineknot.StoreEra) sardineknot.FencingToken {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := t.greatest[server].token + 1
	t.setLocked(server, tokenInEra{token: n, era: era})
	return n
}

func (t *tokens) setLocked(server sardineknot.BackendServerName, token tokenInEra) {
	if t.greatest == nil {
		t.greatest = make(map[sardineknot.BackendServerName]tokenInEra)
	}
	t.greatest[server] = token
}
