// Package owner grants permits for the client accounts whose limits this entry
// host owns.
//
// The state of an account is one token bucket, which is kept in memory only. A
// new owner starts with a full bucket, so that a change of owner admits at
// most one additional burst.
package owner

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
	// maxAccounts bounds the number of buckets in one shard, to limit the
	// memory. When a bucket is added beyond the bound, all other buckets of the
	// shard are discarded, and their accounts start again with full buckets.
	// This changes nothing for accounts whose buckets are already full, as they
	// are after a period without requests.
	maxAccounts = 1024
)

// Owner is a sardineknot.PermitSource that grants permits from token buckets in
// memory, one for each client account. It is safe for concurrent use.
type Owner struct {
	clock  sardineknot.Clock
	source sardineknot.ConfigurationSource
	shards [shardCount]shard
}

var _ sardineknot.PermitSource = (*Owner)(nil)

// shard holds the buckets of the accounts that are hashed to it.
type shard struct {
	mu      sync.Mutex
	buckets map[sardineknot.ClientAccountName]*bucket.Bucket
}

// NewOwner returns an Owner that enforces the rate limits in the contracts of
// the configuration. s provides the configuration.
func NewOwner(c sardineknot.Clock, s sardineknot.ConfigurationSource) *Owner {
	o := &Owner{clock: c, source: s}
	for i := range o.shards {
		o.shards[i].buckets = make(map[sardineknot.ClientAccountName]*bucket.Bucket)
	}
	return o
}

// Borrow implements sardineknot.PermitSource. It fails with an UnknownError if
// the configuration in force has no such account.
func (o *Owner) Borrow(_ context.Context, account sardineknot.ClientAccountName, want, unused int) (sardineknot.Permits, error) {
	c, err := o.source.Current().Contract(account)
	if err != nil {
		return sardineknot.Permits{}, errors.WithStack(err)
	}
	return o.shards[xxhash.Sum64String(string(account))%shardCount].borrow(c, want, unused, o.clock.Now()), nil
}

// borrow puts unused permits back into the bucket of contract and takes at most
// want permits. If none is available, it returns the time until the next one.
func (s *shard) borrow(contract sardineknot.Contract, want, unused int, now time.Time) sardineknot.Permits {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.buckets[contract.Account]
	if b == nil {
		b = s.addBucket(contract, now)
	}
	b.Resize(contract.RequestsPerSecond, contract.Burst, now)
	b.Return(max(unused, 0), now)
	n := b.Take(max(want, 0), now)
	if n > 0 {
		return sardineknot.Permits{Granted: n}
	}
	return sardineknot.Permits{RetryDelay: b.Wait(now)}
}

// addBucket adds a full bucket for the account of contract.
func (s *shard) addBucket(contract sardineknot.Contract, now time.Time) *bucket.Bucket {
	if len(s.buckets) >= maxAccounts {
		clear(s.buckets)
	}
	b := bucket.NewBucket(contract.RequestsPerSecond, contract.Burst, now)
	s.buckets[contract.Account] = &b
	return &b
}
