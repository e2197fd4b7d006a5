package sardineknot

import (
	"cmp"
	"crypto/sha256"
	"slices"
)

// KeyDigest is the SHA-256 digest of a key, by which a caller proves that it
// belongs to a client account. Keys themselves are not kept, and neither keys nor
// digests appear in logs, metrics, errors or messages between hosts.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// ClientAccount is a client account of a deployment whose callers identify
// themselves by keys.
type ClientAccount struct {
	// Name is unique within a Configuration.
	Name ClientAccountName
	// Keys holds the digests of the account's keys. A key belongs to one account.
	Keys []KeyDigest
	// Priority takes precedence over the priority of routes if HasPriority is set.
	// Smaller values are served first.
	Priority    int
	HasPriority bool
	// Limit bounds the calls of the account, over all entry hosts.
	Limit AccountLimit
}

// AccountLimit bounds the cost of a client account's calls.
type AccountLimit struct {
	// PerSecond is the sustained cost per second. Zero means unlimited.
	PerSecond float64
	// Burst is the cost that may arrive at once. It is not negative.
	Burst float64
	// CountsTokens states that a call costs the tokens of its prompt plus the maximum
	// number of tokens of its answer. Otherwise each call costs one.
	CountsTokens bool
	// DefaultTokens is the cost of a call that states no tokens, if CountsTokens is
	// set.
	DefaultTokens int
}

// Cost returns the cost of a call that states the given number of tokens. Zero
// means that the call states none.
func (l AccountLimit) Cost(tokens int) float64 {
	switch {
	case !l.CountsTokens:
		return 1
	case tokens > 0:
		return float64(tokens)
	default:
		return float64(l.DefaultTokens)
	}
}

// SetAccounts sets c.Accounts to accounts, in the order of their names. If
// several accounts have the same key, it belongs to the first of them. SetAccounts
// must be called before c is in force.
func (c *Configuration) SetAccounts(accounts []ClientAccount) {
	l := slices.Clone(accounts)
	slices.SortStableFunc(l, func(a, b ClientAccount) int { return cmp.Compare(a.Name, b.Name) })
	c.Accounts = l
	c.accountsByKey = make(map[KeyDigest]int)
	for i, a := range l {
		for _, k := range a.Keys {
			if _, ok := c.accountsByKey[k]; !ok {
				c.accountsByKey[k] = i
			}
		}
	}
}

// AccountByKey returns the client account that key belongs to. ok is false if
// there is none. The lookup compares digests, so that its duration shows
// nothing about other keys.
func (c *Configuration) AccountByKey(key KeyDigest) (account *ClientAccount, ok bool) {
	i, ok := c.accountsByKey[key]
	if !ok {
		return nil, false
	}
	return &c.Accounts[i], true
}

// Admits reports whether call may be sent to a server under c: c has no client
// accounts, the route is public, or the key of call belongs to its account.
func (c *Configuration) Admits(call *Call) bool {
	if call.Account == nil || len(c.Accounts) == 0 {
		return true
	}
	a, ok := c.AccountByKey(call.Key)
	return ok && a.Name == call.Account.Name
}
