// Package owner gives out permits for the client accounts whose limits this
// entry host owns.
//
// The state of an account is one token bucket. It is soft: a new owner starts
// with a full one, so a change of owner admits at most one burst too many.
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
	// shardCount is the number of independently locked parts.
	shardCount = 32
	// maxAccounts bounds the buckets of one part. Full buckets hold nothing
	// worth keeping, so all are dropped at the bound.
	maxAccounts = 1024
)

// Owner is a sardineknot.PermitSource. It is safe for concurrent use.
type Owner struct {
	clock  sardineknot.Clock
	source sardineknot.ConfigurationSource
	shards [shardCount]shard
}

var _ sardineknot.PermitSource = (*Owner)(nil)

type shard struct {
	mu      sync.Mutex
	buckets map[sardineknot.ClientAccountName]*bucket.Bucket
}

// NewOwner returns an owner of the limits in s.
func NewOwner(c sardineknot.Clock, s sardineknot.ConfigurationSource) *Owner {
	o := &Owner{clock: c, source: s}
	for i := range o.shards {
		o.shards[i].buckets = make(map[sardineknot.ClientAccountName]*bucket.Bucket)
	}
	return o
}

// Borrow implements sardineknot.PermitSource. It fails with an UnknownError if
// the configuration in force has no such account.
func (o *Owner) Borrow(_ context.Context, a sardineknot.ClientAccountName, want, unused int) (sardineknot.Permits, error) {
	c, err := o.source.Current().Contract(a)
	if err != nil {
		return sardineknot.Permits{}, errors.WithStack(err)
	}
	return o.shards[xxhash.Sum64String(string(a))%shardCount].borrow(c, want, unused, o.clock.Now()), nil
}

func (s *shard) borrow(c sardineknot.Contract, want, unused int, now time.Time) sardineknot.Permits {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.buckets[c.Account]
	if b == nil {
		b = s.add(c, now)
	}
	b.Resize(c.RequestsPerSecond, c.Burst, now)
	b.Return(max(unused, 0), now)
	n := b.Take(max(want, 0), now)
	if n > 0 {
		return sardineknot.Permits{Granted: n}
	}
	return sardineknot.Permits{Wait: b.Wait(now)}
}

func (s *shard) add(c sardineknot.Contract, now time.Time) *bucket.Bucket {
	if len(s.buckets) >= maxAccounts {
		clear(s.buckets)
	}
	b := bucket.NewBucket(c.RequestsPerSecond, c.Burst, now)
	s.buckets[c.Account] = &b
	return &b
}
