// Package local owns pool shards on this entry host: it runs their schedulers
// and hands their decisions to the jobs that wait for them.
package local

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

// Owner is a sardineknot.SlotPool that decides on this host. It is safe for
// concurrent use.
type Owner struct {
	clock sardineknot.Clock
	// create returns the scheduler of a new pool.
	create func(sardineknot.PoolName) sardineknot.Scheduler
	source sardineknot.ConfigurationSource

	mu sync.Mutex
	// pools holds one shard for each pool that a job asked for.
	pools map[sardineknot.PoolName]*pool
}

var _ sardineknot.SlotPool = (*Owner)(nil)

// NewOwner returns an owner whose pools have the servers of s and the
// schedulers that create returns.
func NewOwner(c sardineknot.Clock, s sardineknot.ConfigurationSource, create func(sardineknot.PoolName) sardineknot.Scheduler) *Owner {
	return &Owner{clock: c, create: create, source: s, pools: make(map[sardineknot.PoolName]*pool)}
}

// Acquire implements sardineknot.SlotPool.
func (o *Owner) Acquire(ctx context.Context, j sardineknot.Job) (sardineknot.Grant, error) {
	p := o.pool(j.Pool)
	w := p.submit(o.clock.Now(), j)
	d, err := w.wait(ctx, sardineknot.ActionPrefill)
	if err != nil {
		p.abandon(o.clock.Now(), j.Key, err)
		return sardineknot.Grant{}, err
	}
	return sardineknot.Grant{Prefill: d, Decode: w.decided(sardineknot.ActionDecode)}, nil
}

// PrefillDone implements sardineknot.SlotPool.
func (o *Owner) PrefillDone(ctx context.Context, j sardineknot.Job) (sardineknot.BackendServerName, error) {
	p := o.pool(j.Pool)
	w := p.waiter(j.Key)
	if w == nil {
		return "", errors.WithStack(&sardineknot.UnknownError{What: "Job", Name: j.Key.String()})
	}
	p.report(o.clock.Now(), sardineknot.JobEvent{Key: j.Key, Kind: sardineknot.JobPrefillDone})
	return w.wait(ctx, sardineknot.ActionDecode)
}

// Report implements sardineknot.SlotPool.
func (o *Owner) Report(j sardineknot.Job, e sardineknot.JobEvent) {
	o.pool(j.Pool).report(o.clock.Now(), e)
}

// Run keeps the servers of all pools up to date and wakes their schedulers
// until ctx is done.
func (o *Owner) Run(ctx context.Context) error {
	const tick = 10 * time.Millisecond
	t := time.NewTicker(tick)
	defer t.Stop()
	for {
		c := o.source.Changed()
		o.refresh()
		for w := true; w; {
			select {
			case <-ctx.Done():
				return nil
			case <-c:
				w = false
			case <-t.C:
				o.wake()
			}
		}
	}
}

func (o *Owner) refresh() {
	for n, p := range o.all() {
		o.setServers(n, p)
	}
}

func (o *Owner) wake() {
	n := o.clock.Now()
	for _, p := range o.all() {
		p.wake(n)
	}
}

func (o *Owner) all() map[sardineknot.PoolName]*pool {
	o.mu.Lock()
	defer o.mu.Unlock()
	m := make(map[sardineknot.PoolName]*pool, len(o.pools))
	for n, p := range o.pools {
		m[n] = p
	}
	return m
}

func (o *Owner) pool(n sardineknot.PoolName) *pool {
	o.mu.Lock()
	p := o.pools[n]
	f := p == nil
	if f {
		p = &pool{scheduler: o.create(n), waiters: make(map[sardineknot.RequestKey]*waiter)}
		o.pools[n] = p
	}
	o.mu.Unlock()
	if f {
		o.setServers(n, p)
	}
	return p
}

func (o *Owner) setServers(n sardineknot.PoolName, p *pool) {
	c := o.source.Current()
	p.setServers(o.clock.Now(), c.Pool(n), c.Links)
}
