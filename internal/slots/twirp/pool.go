// Package twirp implements a slot pool that is distributed over all entry
// hosts. Each pool shard is owned by one live host, the first by rendezvous
// hashing. Other hosts request engines from the owner over Twirp.
//
// Owners keep the state of their shards in memory only. When the ownership of a
// shard moves, the hosts that hold jobs in it announce their running jobs to
// the new owner and repeat the requests of their waiting jobs. Job events are
// batched: they are piggybacked on the next request to the owner, or sent on
// their own after a short delay. Responses carry the load of the shard, by
// which a host chooses among the shards of a pool for later jobs.
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

// maxShardsTried bounds the number of shards that are tried for one job.
const maxShardsTried = 2

// defaultMaxShardServers replaces a MaxShardServers of zero.
const defaultMaxShardServers = 16

// noEngineRetryAfter is the retry delay for a job whose pool has no engine.
const noEngineRetryAfter = time.Second

// Pool is a sardineknot.SlotPool. It is safe for concurrent use. All exported
// fields must be set before the first use.
type Pool struct {
	// Members and Ranker determine the owner of each shard.
	Members sardineknot.Membership
	Ranker  sardineknot.Ranker
	// Source provides the configuration, which lists the backend servers.
	Source sardineknot.ConfigurationSource
	// Clock returns the current time.
	Clock sardineknot.Clock
	// Client sends requests to other entry hosts.
	Client *http.Client
	// CreateScheduler returns a new scheduler for a shard of the given pool. It
	// is called for each shard that this host begins to serve.
	CreateScheduler func(sardineknot.PoolName) sardineknot.Scheduler
	// SettlingTime is the time for which a shard grants nothing after this host
	// has become its owner, so that other hosts can announce its running jobs
	// first.
	SettlingTime time.Duration
	// Random draws the candidate shards of a job. Its use is serialized by a
	// lock.
	Random *rand.Rand
	// HeartbeatInterval is the interval of heartbeats to the owners of shards
	// in which this host has jobs. Heartbeats detect an owner that has stopped
	// responding. Zero disables them, so that only the membership detects a
	// failed owner.
	HeartbeatInterval time.Duration
	// OwnerUnreachable is called with the owner of a shard when a request to it
	// fails. No lock is held during the call. It may be nil.
	OwnerUnreachable func(sardineknot.EntryHostID)
	// ServerLeaving is called when the entry host witness reports that the process
	// of server that was born at the given time is leaving. Source must reflect it
	// when ServerLeaving returns. It may be nil.
	ServerLeaving func(server sardineknot.BackendServerName, born int64, witness sardineknot.EntryHostID)
	// ActAsOwner makes this host serve requests for a shard even if, by its own
	// view of the membership, another host owns the shard. Hosts whose views of
	// the membership differ can then grant the same engine twice. If it is not
	// set, hosts that cannot reach the owner are granted nothing.
	ActAsOwner bool

	// MaxShardServers is the number of servers up to which a pool, or a zone of
	// a larger pool, is one shard. It must be the same on all hosts. Zero means
	// 16.
	MaxShardServers int

	// linkByJob maps the RequestKey of each job of this host to its *shardLink.
	linkByJob sync.Map

	mu sync.Mutex
	// incarnation is the incarnation of this host at the last refresh.
	incarnation sardineknot.Incarnation
	// configuration is the configuration from which links was built.
	configuration *sardineknot.Configuration
	// links holds, by name, the links to the shards of the configuration and to
	// the removed shards that still have jobs.
	links map[string]*shardLink
	// pools holds the links to the shards of the configuration, by pool.
	pools map[sardineknot.PoolName]*poolLinks
}

var _ sardineknot.SlotPool = (*Pool)(nil)

// Run applies changes of the configuration and of the membership, and sends
// heartbeats, until ctx is done. It always returns nil.
func (p *Pool) Run(ctx context.Context) error {
	var b <-chan time.Time
	if p.HeartbeatInterval > 0 {
		t := time.NewTicker(p.HeartbeatInterval)
		defer t.Stop()
		b = t.C
	}
	for {
		c, m := p.Source.Changed(), p.Members.Changed()
		p.refresh()
		select {
		case <-b:
			p.sendHeartbeats()
		case <-c:
		case <-m:
		case <-ctx.Done():
			return nil
		}
	}
}

// Handler returns the handler of requests from other hosts, and the path prefix
// under which it must be registered.
func (p *Pool) Handler() (path string, handler http.Handler) {
	s := rpc.NewSlotsServer(&service{pool: p})
	return s.PathPrefix(), s
}

// OwnedShards returns the shards that this host owns or serves as acting owner,
// with their definitions.
func (p *Pool) OwnedShards() map[*local.Shard]shard.Shard {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := make(map[*local.Shard]shard.Shard)
	for _, l := range p.links {
		if s, d := l.servedShard(); s != nil {
			m[s] = d
		}
	}
	return m
}

// Acquire implements sardineknot.SlotPool.
func (p *Pool) Acquire(ctx context.Context, job sardineknot.Job) (sardineknot.Grant, error) {
	p.refreshIfStale()
	var err error
	t := make(map[*shardLink]bool)
	for range maxShardsTried {
		l := p.chooseShard(job, t)
		if l == nil {
			break
		}
		t[l] = true
		var g sardineknot.Grant
		g, err = p.acquireFrom(ctx, l, job)
		var n *sardineknot.NotRunError
		if err == nil || !errors.As(err, &n) {
			return g, err
		}
	}
	if err == nil {
		err = errors.WithStack(&sardineknot.NotRunError{Reason: "no engine serves " + string(job.Pool), RetryAfter: noEngineRetryAfter})
	}
	return sardineknot.Grant{}, err
}

// acquireFrom requests a grant for job from the shard of link. While the job
// waits and runs, it is registered in linkByJob and in link. If the request
// fails without a refusal, the job may still be in the shard and is therefore
// cancelled.
func (p *Pool) acquireFrom(ctx context.Context, link *shardLink, job sardineknot.Job) (sardineknot.Grant, error) {
	job.OwnerIncarnation = p.Members.Self().Incarnation
	p.linkByJob.Store(job.Key, link)
	link.addJob(job)
	g, err := link.acquire(ctx, job)
	if err == nil {
		link.setGrant(job.Key, g)
		return g, nil
	}
	p.linkByJob.Delete(job.Key)
	link.removeJob(job.Key)
	var n *sardineknot.NotRunError
	if !errors.As(err, &n) {
		link.report(sardineknot.JobEvent{Key: job.Key, Kind: sardineknot.JobCancelled})
	}
	return g, err
}

// PrefillDone implements sardineknot.SlotPool.
func (p *Pool) PrefillDone(ctx context.Context, job sardineknot.Job) (sardineknot.BackendServerName, error) {
	l := p.findByJob(job.Key)
	if l == nil {
		return "", errors.WithStack(&sardineknot.UnknownError{What: "Job", Name: job.Key.String()})
	}
	d, err := l.prefillDone(ctx, job)
	if err == nil {
		l.setDecode(job.Key, d)
	}
	return d, err
}

// Report implements sardineknot.SlotPool.
func (p *Pool) Report(job sardineknot.Job, event sardineknot.JobEvent) {
	l := p.findByJob(job.Key)
	if l == nil {
		return
	}
	if isFinal(event.Kind) {
		p.linkByJob.Delete(job.Key)
	}
	l.report(event)
}

// Adopt registers a running job that this host has taken over from another one,
// and announces it to the owner of its shard. It has no effect if the decode
// engine of the job belongs to no shard.
func (p *Pool) Adopt(running sardineknot.RunningJob) {
	p.mu.Lock()
	l := p.linkByServerLocked(running.Grant.DecodeEngine)
	p.mu.Unlock()
	if l == nil {
		return
	}
	p.linkByJob.Store(running.Job.Key, l)
	l.adopt(running)
}

// sendHeartbeats sends a heartbeat to the owner of each remote shard in which
// this host has jobs.
func (p *Pool) sendHeartbeats() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.links {
		l.sendHeartbeat()
	}
}

// reportUnreachable calls OwnerUnreachable for an owner that did not respond.
// It has no effect if ctx is done, since this host then aborted the request
// itself.
func (p *Pool) reportUnreachable(ctx context.Context, owner shardOwner) {
	if p.OwnerUnreachable != nil && ctx.Err() == nil {
		p.OwnerUnreachable(owner.host.ID)
	}
}

// maxShardServers returns MaxShardServers or its default.
func (p *Pool) maxShardServers() int {
	if p.MaxShardServers == 0 {
		return defaultMaxShardServers
	}
	return p.MaxShardServers
}

// refreshIfStale applies the current configuration if it has changed.
func (p *Pool) refreshIfStale() {
	if p.stale() {
		p.refresh()
	}
}

// stale reports whether the configuration has changed since the last refresh.
func (p *Pool) stale() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.configuration != p.Source.Current()
}

// findByJob returns the link of the shard that the job is in, or nil.
func (p *Pool) findByJob(key sardineknot.RequestKey) *shardLink {
	v, ok := p.linkByJob.Load(key)
	if !ok {
		return nil
	}
	l, _ := v.(*shardLink)
	return l
}

// findByName returns the link of the named shard, or nil.
func (p *Pool) findByName(name string) *shardLink {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.links[name]
}

// isFinal reports whether an event of this kind ends its job.
func isFinal(kind sardineknot.JobEventKind) bool {
	return kind == sardineknot.JobFinished || kind == sardineknot.JobCancelled || kind == sardineknot.JobFailed
}
