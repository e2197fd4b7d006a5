// Package twirp grants engines over all entry hosts: each pool shard is owned
// by the live host that ranks first for it, and the others ask the owner.
//
// The owners' counts are soft state. When a shard moves, the hosts that hold
// its jobs announce the running ones to the new owner and ask again for the
// waiting ones. Events are gathered and ride on the next message to the same
// owner, or are sent after a short time. Replies carry the load of the shard,
// by which later jobs choose among the shards of a pool.
package twirp

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
	rpc "sardineknot.example/sardineknot/internal/rpc/slots"
	"sardineknot.example/sardineknot/internal/slots/local"
	"sardineknot.example/sardineknot/internal/slots/shard"
)

// maxShards bounds the shards that a job is offered to.
const maxShards = 2

// noEngineRetry is the time that callers wait for engines to join.
const noEngineRetry = time.Second

// Pool is a sardineknot.SlotPool. It is safe for concurrent use. All exported
// fields are set before use.
type Pool struct {
	// Members and Ranker tell which host owns a shard.
	Members sardineknot.Membership
	Ranker  sardineknot.Ranker
	// Source gives the backend servers.
	Source sardineknot.ConfigurationSource
	// Clock gives the time.
	Clock sardineknot.Clock
	// Client calls other entry hosts.
	Client *http.Client
	// Create returns the scheduler of a shard that this host owns.
	Create func(sardineknot.PoolName) sardineknot.Scheduler
	// Settle is the time for which a shard that moved here grants nothing.
	Settle time.Duration
	// Random chooses among shards. It is used under a lock.
	Random *rand.Rand
	// Beat is the time between two messages to an owner for which this host
	// holds jobs, so that an owner that has gone silent is noticed. Zero means
	// that the membership alone tells.
	Beat time.Duration
	// Lost is called, without a lock, with an owner that did not answer. It may
	// be nil.
	Lost func(sardineknot.EntryHostID)
	// Acting has this host grant engines of shards that others take it to own,
	// although it takes another host for the owner. Engines may then be granted
	// twice, where hosts that cannot reach the owner would grant nothing
	// otherwise.
	Acting bool

	// jobs holds the *link of each job, by key.
	jobs sync.Map

	mu sync.Mutex
	// incarnation is that of this host at the last refresh.
	incarnation sardineknot.Incarnation
	// configuration is the one that links was made from.
	configuration *sardineknot.Configuration
	// links holds the shards of the configuration and those with jobs, by
	// name.
	links map[string]*link
	// pools holds the shards of the configuration by pool.
	pools map[sardineknot.PoolName][]*link
	// homes tells which shard a server belongs to.
	homes map[sardineknot.BackendServerName]*link
}

var _ sardineknot.SlotPool = (*Pool)(nil)

// Run follows the configuration and the membership until ctx is done.
func (p *Pool) Run(ctx context.Context) error {
	var b <-chan time.Time
	if p.Beat > 0 {
		t := time.NewTicker(p.Beat)
		defer t.Stop()
		b = t.C
	}
	for {
		c, m := p.Source.Changed(), p.Members.Changed()
		p.refresh()
		select {
		case <-b:
			p.beat()
		case <-c:
		case <-m:
		case <-ctx.Done():
			return nil
		}
	}
}

// Handler returns the path and the handler of the calls of other hosts.
func (p *Pool) Handler() (path string, h http.Handler) {
	s := rpc.NewSlotsServer(&service{pool: p})
	return s.PathPrefix(), s
}

// Owned returns the shards that this host owns, with their servers.
func (p *Pool) Owned() map[*local.Shard]shard.Shard {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := make(map[*local.Shard]shard.Shard)
	for _, l := range p.links {
		if s, d := l.owned(); s != nil {
			m[s] = d
		}
	}
	return m
}

// Acquire implements sardineknot.SlotPool.
func (p *Pool) Acquire(ctx context.Context, j sardineknot.Job) (sardineknot.Grant, error) {
	if p.stale() {
		p.refresh()
	}
	var err error
	t := make(map[*link]bool)
	for range maxShards {
		l := p.choose(j, t)
		if l == nil {
			break
		}
		t[l] = true
		var g sardineknot.Grant
		g, err = p.acquireFrom(ctx, l, j)
		var n *sardineknot.NotRunError
		if err == nil || !errors.As(err, &n) {
			return g, err
		}
	}
	if err == nil {
		err = errors.WithStack(&sardineknot.NotRunError{Reason: "no engine serves " + string(j.Pool), RetryAfter: noEngineRetry})
	}
	return sardineknot.Grant{}, err
}

func (p *Pool) acquireFrom(ctx context.Context, l *link, j sardineknot.Job) (sardineknot.Grant, error) {
	j.OwnerIncarnation = p.Members.Self().Incarnation
	p.jobs.Store(j.Key, l)
	l.hold(j)
	g, err := l.acquire(ctx, j)
	if err == nil {
		l.granted(j.Key, g)
		return g, nil
	}
	p.jobs.Delete(j.Key)
	l.release(j.Key)
	var n *sardineknot.NotRunError
	if !errors.As(err, &n) {
		l.report(sardineknot.JobEvent{Key: j.Key, Kind: sardineknot.JobCancelled})
	}
	return g, err
}

// PrefillDone implements sardineknot.SlotPool.
func (p *Pool) PrefillDone(ctx context.Context, j sardineknot.Job) (sardineknot.BackendServerName, error) {
	l := p.link(j.Key)
	if l == nil {
		return "", errors.WithStack(&sardineknot.UnknownError{What: "Job", Name: j.Key.String()})
	}
	d, err := l.prefillDone(ctx, j)
	if err == nil {
		l.decodes(j.Key, d)
	}
	return d, err
}

// Report implements sardineknot.SlotPool.
func (p *Pool) Report(j sardineknot.Job, e sardineknot.JobEvent) {
	l := p.link(j.Key)
	if l == nil {
		return
	}
	if ends(e.Kind) {
		p.jobs.Delete(j.Key)
	}
	l.report(e)
}

// Adopt counts r as running for this host. Use it for a job that another host
// held before.
func (p *Pool) Adopt(r sardineknot.RunningJob) {
	p.mu.Lock()
	l := p.homes[r.Grant.Decode]
	p.mu.Unlock()
	if l == nil {
		return
	}
	p.jobs.Store(r.Job.Key, l)
	l.adopt(r)
}

// beat sends a message to each remote owner for which this host holds jobs.
func (p *Pool) beat() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.links {
		l.beat()
	}
}

// lost notes that the owner v did not answer, unless the caller gave up.
func (p *Pool) lost(ctx context.Context, v view) {
	if p.Lost != nil && ctx.Err() == nil {
		p.Lost(v.owner.ID)
	}
}

// stale reports whether the configuration changed since the last refresh.
func (p *Pool) stale() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.configuration != p.Source.Current()
}

func (p *Pool) link(k sardineknot.RequestKey) *link {
	v, ok := p.jobs.Load(k)
	if !ok {
		return nil
	}
	l, _ := v.(*link)
	return l
}

// find returns the link of the shard n, or nil.
func (p *Pool) find(n string) *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.links[n]
}

// ends reports whether k is the last event of a job.
func ends(k sardineknot.JobEventKind) bool {
	return k == sardineknot.JobFinished || k == sardineknot.JobCancelled || k == sardineknot.JobFailed
}
