// Package owner grants cost under the limits of the client accounts that this entry
// host owns.
//
// The state of an account is one token bucket, which is kept in memory only. It
// starts empty whenever this host becomes the owner, so that a change of owner, or a
// restart, admits nothing beyond the limit. A host that was suspended, or that the
// key-value service has dropped, may have been replaced in the meantime, and discards
// its buckets.
package owner

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/limits/rank"
)

const (
	// shardCount is the number of shards that the accounts are divided into.
	// Each shard has its own lock.
	shardCount = 32
	// maxAccounts bounds the number of accounts in one shard, to limit the memory.
	// Beyond it, one account is discarded, which starts again with an empty bucket.
	maxAccounts = 1024
	// beatInterval is the time between two wake-ups of Run.
	beatInterval = 100 * time.Millisecond
	// maxGap is the time without a wake-up after which this host counts as
	// suspended. It is shorter than the shortest lease of a host's registration, so
	// that no other host has become the owner before.
	maxGap = time.Second
	// settlingTime is the time after a suspension in which this host grants nothing,
	// so that it learns whether it is still registered.
	settlingTime = time.Second
)

// Owner is a sardineknot.CostSource that grants from token buckets in memory. Run
// must be running. An Owner is safe for concurrent use.
type Owner struct {
	// StartFull makes buckets start full, so that a change of owner admits at most one
	// burst too many. It suits limits of few requests a minute, which would otherwise
	// refuse for minutes. It must be set before use.
	StartFull bool

	clock  sardineknot.Clock
	hosts  sardineknot.Registrations
	ranker *rank.Ranker
	limit  func(sardineknot.ClientAccountName) (sardineknot.AccountLimit, bool)
	shards [shardCount]shard

	mu sync.Mutex
	// list and drops are what hosts returned last. since is the time at which this
	// host may have become the owner of any account: the start of the process, or
	// the last change of list.
	list  []sardineknot.EntryHost
	drops uint64
	since time.Time
	// wokenAt is the time of the last wake-up of Run, and settledAt the end of the
	// settling time.
	wokenAt   time.Time
	settledAt time.Time
}

var _ sardineknot.CostSource = (*Owner)(nil)

// shard holds the accounts that are hashed to it.
type shard struct {
	mu       sync.Mutex
	accounts map[sardineknot.ClientAccountName]*account
}

// NewOwner returns an owner without buckets. c must also count the time for which
// the host is suspended. limit returns the limit of an account in the configuration
// in force, and false if there is no such account.
func NewOwner(c sardineknot.Clock, r sardineknot.Registrations, k *rank.Ranker, limit func(sardineknot.ClientAccountName) (sardineknot.AccountLimit, bool)) *Owner {
	n := c.Now()
	o := &Owner{clock: c, hosts: r, ranker: k, limit: limit, since: n, wokenAt: n}
	for i := range o.shards {
		o.shards[i].accounts = make(map[sardineknot.ClientAccountName]*account)
	}
	return o
}

// Run notices when this host was suspended, until ctx is done.
func (o *Owner) Run(ctx context.Context) error {
	t := time.NewTicker(beatInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			o.observe(true)
		case <-ctx.Done():
			return nil
		}
	}
}

// Borrow implements sardineknot.CostSource. It grants whether or not this host ranks
// first for the account: the caller has made sure that no host that ranks higher
// grants. It fails with a NotOwnerError after a suspension.
func (o *Owner) Borrow(_ context.Context, request sardineknot.CostRequest) (sardineknot.CostGrant, error) {
	n, t, ok := o.observe(false)
	if !ok {
		return sardineknot.CostGrant{}, errors.WithStack(&sardineknot.NotOwnerError{Host: o.hosts.Self().ID})
	}
	l, ok := o.limit(request.Account)
	if !ok {
		l = request.Limit
	}
	if l.PerSecond <= 0 {
		return sardineknot.CostGrant{Granted: max(request.Want, request.Need)}, nil
	}
	r := o.ranker.Order(request.Account)
	b := len(r) > 0 && r[0].ID == o.hosts.Self().ID
	s := o.shard(request.Account)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !b {
		t = s.act(request.Account, n)
	}
	a := s.account(request.Account, l, t, o.StartFull)
	a.resize(l, n)
	a.temporary, a.usedAt = request.Temporary, n
	return a.borrow(request, n), nil
}

// Release discards the bucket of account, because another host grants under its
// limit.
func (o *Owner) Release(name sardineknot.ClientAccountName) {
	s := o.shard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.accounts, name)
}

// observe discards buckets that must not be used any more. It returns the time, and
// the time since which a new bucket accrues. ok is false in the settling time. woken
// is set if Run calls.
func (o *Owner) observe(woken bool) (now, since time.Time, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	l, d := o.hosts.Registered()
	now = o.clock.Now()
	if now.Sub(o.wokenAt) > maxGap {
		o.settledAt = now.Add(settlingTime)
		o.since = o.settledAt
		o.wokenAt = now
		o.discard(func(sardineknot.ClientAccountName, *account) bool { return false })
	}
	if woken {
		o.wokenAt = now
	}
	if d != o.drops || !slices.Equal(l, o.list) {
		o.adopt(l, d, now)
	}
	return now, o.since, !now.Before(o.settledAt)
}

// adopt records changed registrations and keeps only the buckets of accounts that
// this host owns. o.mu is held.
func (o *Owner) adopt(list []sardineknot.EntryHost, drops uint64, now time.Time) {
	k := drops == o.drops
	o.list, o.drops = list, drops
	if now.After(o.since) {
		o.since = now
	}
	s := o.hosts.Self().ID
	o.discard(func(n sardineknot.ClientAccountName, a *account) bool {
		r := o.ranker.Order(n)
		return k && len(r) > 0 && r[0].ID == s && !a.lapsed(now)
	})
}

// discard removes the accounts for which keep returns false.
func (o *Owner) discard(keep func(sardineknot.ClientAccountName, *account) bool) {
	for i := range o.shards {
		s := &o.shards[i]
		s.mu.Lock()
		for n, a := range s.accounts {
			if !keep(n, a) {
				delete(s.accounts, n)
			}
		}
		s.mu.Unlock()
	}
}

func (o *Owner) shard(name sardineknot.ClientAccountName) *shard {
	return &o.shards[xxhash.Sum64String(string(name))%shardCount]
}

// act prepares the named account for a host that acts as owner in place of others. It
// returns the time since which a new bucket accrues.
func (s *shard) act(name sardineknot.ClientAccountName, now time.Time) time.Time {
	if a := s.accounts[name]; a != nil && a.lapsed(now) {
		delete(s.accounts, name)
	}
	return now
}

// account returns the named account. If needed, it creates it, with a bucket that was
// empty at time since, or full.
func (s *shard) account(name sardineknot.ClientAccountName, limit sardineknot.AccountLimit, since time.Time, full bool) *account {
	a := s.accounts[name]
	if a != nil {
		return a
	}
	if len(s.accounts) >= maxAccounts {
		for n := range s.accounts {
			delete(s.accounts, n)
			break
		}
	}
	a = newAccount(limit, since)
	if full {
		a.bucket.Return(limit.Burst, since)
	}
	s.accounts[name] = a
	return a
}
