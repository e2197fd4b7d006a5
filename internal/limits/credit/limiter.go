// Package credit admits requests under permits borrowed in bulk from the owner
// of each client account's limit.
//
// A host borrows as many permits as it is about to use within a short time, so
// a busy account costs a few messages a second and host, not one a request.
// Permits that stay unused are given back. While the owner does not answer, a
// host admits its share of the limit among the live hosts.
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
	// shardCount is the number of independently locked parts.
	shardCount = 32
	// horizon is the time that borrowed permits are to last. Permits that are
	// older are given back.
	horizon = 500 * time.Millisecond
	// askTimeout bounds the wait for the owner.
	askTimeout = 250 * time.Millisecond
	// askPause is the time after a failure during which the owner is not
	// asked, so that requests do not queue for its timeouts.
	askPause = time.Second
	// maxAccounts bounds the accounts of one part.
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

type shard struct {
	mu       sync.Mutex
	accounts map[sardineknot.ClientAccountName]*account
}

// account is the state of one client account on this host.
type account struct {
	// mu is held while permits are borrowed, so that only one request waits
	// for the owner and the others for it.
	mu sync.Mutex
	// permits is the number of borrowed permits that are unused.
	permits int
	// borrowed is the time of the last borrowing.
	borrowed time.Time
	// admitted counts the requests since borrowed.
	admitted int
	// failed is the time of the last failure to reach the owner.
	failed time.Time
	// share is this host's part of the limit while the owner does not answer.
	share bucket.Bucket
}

// NewLimiter returns a limiter that borrows from s.
func NewLimiter(c sardineknot.Clock, s sardineknot.PermitSource, m sardineknot.Membership) *Limiter {
	l := &Limiter{clock: c, source: s, members: m}
	for i := range l.shards {
		l.shards[i].accounts = make(map[sardineknot.ClientAccountName]*account)
	}
	return l
}

// Admit implements sardineknot.Limiter. A contract without a limit is always
// admitted.
func (l *Limiter) Admit(ctx context.Context, c sardineknot.Contract) error {
	if c.RequestsPerSecond <= 0 {
		return nil
	}
	a := l.shards[xxhash.Sum64String(string(c.Account))%shardCount].account(c.Account)
	a.mu.Lock()
	defer a.mu.Unlock()
	n := l.clock.Now()
	if a.permits > 0 && n.Sub(a.borrowed) < horizon {
		a.use()
		return nil
	}
	p := l.take(ctx, a, c, n)
	if p.Granted == 0 {
		return errors.WithStack(&sardineknot.NotRunError{Reason: "limit of " + string(c.Account) + " is reached", RetryAfter: p.Wait})
	}
	a.permits = p.Granted
	a.borrowed = n
	a.admitted = 0
	a.use()
	return nil
}

// take returns permits of the owner, or of this host's share while the owner
// does not answer.
func (l *Limiter) take(ctx context.Context, a *account, c sardineknot.Contract, now time.Time) sardineknot.Permits {
	if now.Sub(a.failed) < askPause {
		return a.takeShare(c, l.liveHosts(), now)
	}
	p, err := l.borrow(ctx, a, c, now)
	if err == nil {
		return p
	}
	a.failed = now
	return a.takeShare(c, l.liveHosts(), now)
}

// borrow asks for what the account used since the last borrowing, scaled to
// the horizon, and for one permit at least.
func (l *Limiter) borrow(ctx context.Context, a *account, c sardineknot.Contract, now time.Time) (sardineknot.Permits, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	u := a.permits
	a.permits = 0
	return l.source.Borrow(ctx, c.Account, a.demand(now), u)
}

// demand returns the number of requests expected within the horizon.
func (a *account) demand(now time.Time) int {
	d := now.Sub(a.borrowed)
	if d <= 0 || d > time.Minute {
		return 1
	}
	return 1 + int(float64(a.admitted)*horizon.Seconds()/d.Seconds())
}

func (a *account) use() {
	a.permits--
	a.admitted++
}

// takeShare takes one permit of this host's part of the limit.
func (a *account) takeShare(c sardineknot.Contract, hosts int, now time.Time) sardineknot.Permits {
	r := c.RequestsPerSecond / float64(hosts)
	a.share.Resize(r, max(1, c.Burst/hosts), now)
	return sardineknot.Permits{Granted: a.share.Take(1, now), Wait: a.share.Wait(now)}
}

func (l *Limiter) liveHosts() int {
	var n int
	for _, h := range l.members.Hosts() {
		if h.State == sardineknot.EntryHostAlive {
			n++
		}
	}
	return max(n, 1)
}

func (s *shard) account(n sardineknot.ClientAccountName) *account {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.accounts[n]
	if a != nil {
		return a
	}
	if len(s.accounts) >= maxAccounts {
		clear(s.accounts)
	}
	a = &account{}
	s.accounts[n] = a
	return a
}
