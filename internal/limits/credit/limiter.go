// Package credit implements a rate limiter that borrows permits in bulk from
// the owner of each client account's limit.
//
// A host borrows as many permits as it expects to use within permitLifetime,
// so that a busy account costs a few messages per second and host instead of
// one per request. Unused permits are returned. While the owner does not
// respond, each live host enforces the limit divided by the number of live
// hosts.
package credit

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/limits/bucket"
)

const (
	// shardCount is the number of shards that the accounts are divided into.
	// Each shard has its own lock.
	shardCount = 32
	// permitLifetime is the time within which a host is expected to use the
	// permits that it borrows. Older permits are returned.
	permitLifetime = 500 * time.Millisecond
	// borrowTimeout bounds a request to the owner.
	borrowTimeout = 250 * time.Millisecond
	// retryInterval is the time after a failed request to the owner in which no
	// further one is made, so that callers do not queue up behind timeouts.
	retryInterval = time.Second
	// maxAccounts bounds the number of accounts in one shard, to limit the
	// memory. When an account is added beyond the bound, all other accounts of
	// the shard and their unused permits are discarded.
	maxAccounts = 1024
)

// Limiter is a sardineknot.Limiter. It is safe for concurrent use.
type Limiter struct {
	clock   sardineknot.Clock
	source  sardineknot.PermitSource
	members sardineknot.Membership
	shards  [shardCount]shard
}

var _ sardineknot.Limiter = (*Limiter)(nil)

// shard holds the accounts that are hashed to it.
type shard struct {
	mu       sync.Mutex
	accounts map[sardineknot.ClientAccountName]*accountState
}

// accountState is the state of one client account on this host.
type accountState struct {
	// mu is held while permits are borrowed, so that only one caller at a time
	// sends a request to the owner and the others wait for its result.
	mu sync.Mutex
	// permits is the number of unused borrowed permits.
	permits int
	// borrowedAt is the time at which permits were last borrowed.
	borrowedAt time.Time
	// admitted is the number of requests admitted since borrowedAt.
	admitted int
	// lastFailure is the time of the last failed request to the owner.
	lastFailure time.Time
	// localBucket limits this host to its share of the account's limit while
	// the owner does not respond.
	localBucket bucket.Bucket
}

// NewLimiter returns a limiter that borrows permits from p. While the owner of
// a limit does not respond, m determines the share of this host.
func NewLimiter(c sardineknot.Clock, p sardineknot.PermitSource, m sardineknot.Membership) *Limiter {
	l := &Limiter{clock: c, source: p, members: m}
	for i := range l.shards {
		l.shards[i].accounts = make(map[sardineknot.ClientAccountName]*accountState)
	}
	return l
}

// Admit implements sardineknot.Limiter. It admits every request of a contract
// whose RequestsPerSecond is not positive.
func (l *Limiter) Admit(ctx context.Context, contract sardineknot.Contract) error {
	if contract.RequestsPerSecond <= 0 {
		return nil
	}
	a := l.shards[xxhash.Sum64String(string(contract.Account))%shardCount].getAccount(contract.Account)
	a.mu.Lock()
	defer a.mu.Unlock()
	n := l.clock.Now()
	if a.permits > 0 && n.Sub(a.borrowedAt) < permitLifetime {
		a.admit()
		return nil
	}
	p := l.acquire(ctx, a, contract, n)
	if p.Granted == 0 {
		return errors.WithStack(&sardineknot.NotRunError{Reason: "limit of " + string(contract.Account) + " is reached", RetryAfter: p.RetryDelay})
	}
	a.permits = p.Granted
	a.borrowedAt = n
	a.admitted = 0
	a.admit()
	return nil
}

// acquire borrows permits from the owner of the account's limit. If the owner
// does not respond or failed within the last retryInterval, acquire takes a
// permit from this host's share of the limit instead.
func (l *Limiter) acquire(ctx context.Context, account *accountState, contract sardineknot.Contract, now time.Time) sardineknot.Permits {
	if now.Sub(account.lastFailure) < retryInterval {
		return account.takeLocal(contract, l.countAliveHosts(), now)
	}
	p, err := l.borrow(ctx, account, contract, now)
	if err == nil {
		return p
	}
	account.lastFailure = now
	return account.takeLocal(contract, l.countAliveHosts(), now)
}

// borrow gives the unused permits of account back to the owner of the limit and
// borrows as many as are expected to be used within the next permitLifetime.
func (l *Limiter) borrow(ctx context.Context, account *accountState, contract sardineknot.Contract, now time.Time) (sardineknot.Permits, error) {
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	u := account.permits
	account.permits = 0
	return l.source.Borrow(ctx, contract.Account, account.estimateDemand(now), u)
}

// estimateDemand estimates the number of requests within the next
// permitLifetime from the requests admitted since borrowedAt. The estimate is
// at least one. It is one if permits were last borrowed more than a minute ago.
func (a *accountState) estimateDemand(now time.Time) int {
	d := now.Sub(a.borrowedAt)
	if d <= 0 || d > time.Minute {
		return 1
	}
	return 1 + int(float64(a.admitted)*permitLifetime.Seconds()/d.Seconds())
}

// admit uses a permit for a request.
func (a *accountState) admit() {
	a.permits--
	a.admitted++
}

// takeLocal takes one permit from this host's share of the limit, which is the
// limit divided by the number of hosts.
func (a *accountState) takeLocal(contract sardineknot.Contract, hosts int, now time.Time) sardineknot.Permits {
	r := contract.RequestsPerSecond / float64(hosts)
	a.localBucket.Resize(r, max(1, contract.Burst/hosts), now)
	return sardineknot.Permits{Granted: a.localBucket.Take(1, now), RetryDelay: a.localBucket.Wait(now)}
}

// countAliveHosts returns the number of alive entry hosts, or one if none is
// known.
func (l *Limiter) countAliveHosts() int {
	var n int
	for _, h := range l.members.Hosts() {
		if h.State == sardineknot.EntryHostAlive {
			n++
		}
	}
	return max(n, 1)
}

// getAccount returns the named account, and creates it if needed.
func (s *shard) getAccount(name sardineknot.ClientAccountName) *accountState {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.accounts[name]
	if a != nil {
		return a
	}
	if len(s.accounts) >= maxAccounts {
		clear(s.accounts)
	}
	a = &accountState{}
	s.accounts[name] = a
	return a
}
