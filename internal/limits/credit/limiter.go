// Package credit implements a limiter that borrows cost in bulk from the owner of
// each client account's limit.
//
// A host borrows what the current call costs, and what it expects to need within
// Limiter.Lifetime, so that a busy account costs a few messages per second and host
// instead of one per call. Cost that is not used in time is returned. While the owner
// does not answer, a host spends only its share of the excess that is allowed over
// the limit.
package credit

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"sardineknot.example/sardineknot"
)

const (
	// shardCount is the number of shards that the accounts are divided into.
	// Each shard has its own lock.
	shardCount = 32
	// maxAccounts bounds the number of accounts in one shard, to limit the memory.
	// Beyond it, one account and its unused cost are discarded.
	maxAccounts = 1024
	// defaultLifetime is the default of Limiter.Lifetime.
	defaultLifetime = 200 * time.Millisecond
	// retryInterval is the time after a failed request to the owner in which no
	// further one is made for the account, so that callers do not queue up behind
	// timeouts.
	retryInterval = 300 * time.Millisecond
	// maxRetryAfter bounds the time that callers have to wait because of others
	// that were refused before.
	maxRetryAfter = 10 * time.Second
	// defaultExcess is the default of Limiter.Excess.
	defaultExcess = 0.1
)

// Limiter is a sardineknot.AccountLimiter. The exported fields must be set before use.
// Run must be running. A Limiter is safe for concurrent use.
type Limiter struct {
	// Clock returns the current time and also counts the time for which the host is
	// suspended.
	Clock sardineknot.Clock
	// Source grants cost.
	Source sardineknot.CostSource
	// Hosts lists the hosts that share Excess.
	Hosts sardineknot.Registrations
	// Excess is the part of each rate that all hosts together may use beyond a limit
	// whose owner does not answer. Zero means 0.1.
	Excess float64
	// Lifetime is the time from a request to the owner within which the cost that it
	// brings must be used. Cost that is used late adds to the limit of a later time, at
	// most the rate times Lifetime. Zero means 200 ms.
	Lifetime time.Duration
	// Whole states that cost is counted in whole numbers.
	Whole bool
	// Metrics receives the number of calls that were refused, and of those that were
	// admitted from the share of Excess.
	Metrics metrics.Registry

	shards [shardCount]shard
}

var _ sardineknot.AccountLimiter = (*Limiter)(nil)

// shard holds the accounts that are hashed to it.
type shard struct {
	mu       sync.Mutex
	accounts map[sardineknot.ClientAccountName]*account
}

// Admit implements sardineknot.AccountLimiter. It admits every call of an account
// without limit.
func (l *Limiter) Admit(ctx context.Context, account *sardineknot.ClientAccount, cost float64, maxWait time.Duration) error {
	if account.Limit.PerSecond <= 0 || cost <= 0 {
		return nil
	}
	a := l.account(account.Name)
	if a.enter(cost, l.Clock.Now()) {
		return nil
	}
	w, err := l.await(ctx, a, account, cost, maxWait)
	if err == nil && w > 0 {
		err = l.sleep(ctx, account, cost, w)
	}
	var d *sardineknot.LimitedError
	if errors.As(err, &d) {
		metrics.GetOrRegisterCounter("limits.denied", l.Metrics).Inc(1)
	}
	return err
}

// await waits for the turn of a call and takes its cost. It returns the time that the
// call has to wait.
func (l *Limiter) await(ctx context.Context, a *account, account *sardineknot.ClientAccount, cost float64, maxWait time.Duration) (time.Duration, error) {
	select {
	case a.turn <- struct{}{}:
		defer func() { <-a.turn }()
	case <-ctx.Done():
		a.leave(cost)
		return 0, errors.WithStack(ctx.Err())
	}
	q, w, ok := a.prepare(account, cost, maxWait, l.Clock.Now())
	if !ok {
		return 0, refusal(account, w)
	}
	if q.Need == 0 {
		return 0, nil
	}
	if l.Whole {
		q.Whole, q.Want = true, math.Ceil(q.Want)
	}
	return l.acquire(ctx, a, account, q)
}

// acquire takes cost from the owner of the limit, or, if the owner does not answer,
// from this host's share of the excess. The caller has the turn.
func (l *Limiter) acquire(ctx context.Context, a *account, account *sardineknot.ClientAccount, request sardineknot.CostRequest) (time.Duration, error) {
	n := l.Clock.Now()
	if !a.ownerLost(n) {
		// Cost that arrives after the caller has left is of use to others.
		g, err := l.Source.Borrow(context.WithoutCancel(ctx), request)
		if err == nil {
			return a.apply(account, request, g, n, l.Clock.Now())
		}
		a.loseOwner(l.Clock.Now())
	}
	return l.takeShare(a, account, request.Need)
}

// takeShare takes cost from this host's share of the excess.
func (l *Limiter) takeShare(a *account, account *sardineknot.ClientAccount, cost float64) (time.Duration, error) {
	h, _ := l.Hosts.Registered()
	if len(h) == 0 {
		return 0, refusal(account, retryInterval)
	}
	e := l.Excess
	if e == 0 {
		e = defaultExcess
	}
	if !a.takeShare(e*account.Limit.PerSecond/float64(len(h)), cost, l.Clock.Now()) {
		return 0, refusal(account, retryInterval)
	}
	metrics.GetOrRegisterCounter("limits.unshared", l.Metrics).Inc(1)
	return 0, nil
}

// sleep waits until cost that was granted in advance may be used. If ctx is done
// first, it refunds the cost and returns the error of ctx.
func (l *Limiter) sleep(ctx context.Context, account *sardineknot.ClientAccount, cost float64, duration time.Duration) error {
	e := l.Clock.Now().Add(duration + l.lifetime())
	t := time.NewTimer(duration)
	defer t.Stop()
	select {
	case <-t.C:
		if l.Clock.Now().After(e) {
			return refusal(account, 0) // this host was suspended, and the grant has expired
		}
		return nil
	case <-ctx.Done():
		l.Refund(account, cost)
		return errors.WithStack(ctx.Err())
	}
}

// Refund implements sardineknot.AccountLimiter.
func (l *Limiter) Refund(account *sardineknot.ClientAccount, cost float64) {
	if account.Limit.PerSecond > 0 && cost > 0 {
		l.account(account.Name).refund(cost, l.Clock.Now())
	}
}

func (l *Limiter) lifetime() time.Duration {
	if l.Lifetime == 0 {
		return defaultLifetime
	}
	return l.Lifetime
}

// refusal returns the error for a call that fits after wait.
func refusal(account *sardineknot.ClientAccount, wait time.Duration) error {
	return errors.WithStack(&sardineknot.LimitedError{Account: account.Name, RetryAfter: wait})
}

// account returns the named account, and creates it if needed.
func (l *Limiter) account(name sardineknot.ClientAccountName) *account {
	s := &l.shards[xxhash.Sum64String(string(name))%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.accounts[name]
	if a != nil {
		return a
	}
	if s.accounts == nil {
		s.accounts = make(map[sardineknot.ClientAccountName]*account)
	}
	if len(s.accounts) >= maxAccounts {
		for n := range s.accounts {
			delete(s.accounts, n)
			break
		}
	}
	a = &account{turn: make(chan struct{}, 1), lifetime: l.lifetime()}
	s.accounts[name] = a
	return a
}
