package twirp

import (
	"context"
	"sync"
	"time"

	"sardineknot.example/sardineknot"
	rpc "sardineknot.example/sardineknot/internal/rpc/slots"
	"sardineknot.example/sardineknot/internal/slots/local"
	"sardineknot.example/sardineknot/internal/slots/shard"
)

// shardLink connects this host to one shard. It tracks the owner of the shard
// and the jobs of this host in it, and forwards requests and events to the
// owner.
type shardLink struct {
	pool *Pool
	name string

	mu           sync.Mutex
	shard        shard.Shard
	networkLinks []sardineknot.Link
	// shardChanged is set while the local and the acting shard do not have the
	// servers of shard.
	shardChanged bool
	// owner is valid only if hasOwner is set.
	owner    sardineknot.EntryHost
	hasOwner bool
	// local is the shard if this host owns it, and nil otherwise.
	local *local.Shard
	// acting serves requests that other hosts send to this one while, by its
	// own view, another host owns the shard. It is nil until the first such
	// request.
	acting *local.Shard
	// moved is closed and replaced when the owner or the incarnation of this
	// host changes.
	moved chan struct{}
	// jobs holds the jobs of this host in the shard that have not ended.
	jobs map[sardineknot.RequestKey]*sardineknot.RunningJob
	outbox
	// load is the last load that the owner reported, and loadAt the time at
	// which it was received.
	load   *rpc.Load
	loadAt time.Time
}

// shardOwner is a snapshot of the owner of a shard. host is valid only if ok is
// set. local is nil if another host owns the shard.
type shardOwner struct {
	host  sardineknot.EntryHost
	ok    bool
	local *local.Shard
	moved <-chan struct{}
}

func newShardLink(p *Pool, name string) *shardLink {
	return &shardLink{
		pool:  p,
		name:  name,
		moved: make(chan struct{}),
		jobs:  make(map[sardineknot.RequestKey]*sardineknot.RunningJob),
	}
}

func (l *shardLink) setShard(definition shard.Shard) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shard, l.shardChanged = definition, true
}

// setServers updates the servers and the network links of the local and of the
// acting shard, unless both are the same as before. sameLinks reports whether the
// network links are.
func (l *shardLink) setServers(links []sardineknot.Link, sameLinks bool) {
	l.mu.Lock()
	if sameLinks && !l.shardChanged {
		l.mu.Unlock()
		return
	}
	l.networkLinks, l.shardChanged = links, false
	s := l.shard
	o := []*local.Shard{l.local, l.acting}
	l.mu.Unlock()
	for _, d := range o {
		if d != nil {
			d.SetServers(s.JoiningServers(), links)
		}
	}
}

// actingShard returns the shard that serves requests sent to this host whether
// or not it is the owner by its own view. It creates the acting shard if
// needed.
func (l *shardLink) actingShard() *local.Shard {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.local != nil {
		return l.local
	}
	if l.acting == nil {
		l.acting = l.pool.newLocalShard(l.shard, l.networkLinks)
	}
	return l.acting
}

// setOwner records that host is the owner of the shard; hasOwner is false if
// there is no owner. If the owner or its incarnation has changed, it closes or
// creates the local shard and announces the running jobs of this host to the
// new owner. An acting shard becomes the local one when this host becomes the
// owner.
func (l *shardLink) setOwner(host sardineknot.EntryHost, hasOwner bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if hasOwner == l.hasOwner && host.ID == l.owner.ID && host.Incarnation == l.owner.Incarnation {
		l.owner = host
		return
	}
	l.owner, l.hasOwner = host, hasOwner
	if l.local != nil {
		l.local.Close()
		l.local = nil
	}
	if hasOwner && host.ID == l.pool.Members.Self().ID {
		l.local, l.acting = l.acting, nil
		if l.local == nil {
			l.local = l.pool.newLocalShard(l.shard, l.networkLinks)
		}
	}
	close(l.moved)
	l.moved = make(chan struct{})
	l.announceLocked()
}

// setIncarnation records the new incarnation of this host in its jobs,
// announces the running jobs to the owner of the shard, and causes the requests
// of waiting jobs to be repeated.
func (l *shardLink) setIncarnation(incarnation sardineknot.Incarnation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.jobs {
		r.Job.OwnerIncarnation = incarnation
	}
	close(l.moved)
	l.moved = make(chan struct{})
	l.announceLocked()
}

func (l *shardLink) shardOwner() shardOwner {
	l.mu.Lock()
	defer l.mu.Unlock()
	return shardOwner{host: l.owner, ok: l.hasOwner, local: l.local, moved: l.moved}
}

// servedShard returns the shard that this host serves as owner or as acting
// owner, or nil, and its definition.
func (l *shardLink) servedShard() (*local.Shard, shard.Shard) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.local == nil {
		return l.acting, l.shard
	}
	return l.local, l.shard
}

// unused reports whether the shard is no longer part of the configuration and
// has no jobs of this host or, if this host owns it, of any host.
func (l *shardLink) unused() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.shard.Servers) > 0 || len(l.jobs) > 0 {
		return false
	}
	if l.local == nil {
		return true
	}
	_, r, w := l.local.Counts()
	return r+w == 0
}

// addJob registers a job of this host that waits for a grant.
func (l *shardLink) addJob(job sardineknot.Job) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.jobs[job.Key] = &sardineknot.RunningJob{Job: job}
}

func (l *shardLink) removeJob(key sardineknot.RequestKey) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.jobs, key)
}

// setGrant records the grant of a job.
func (l *shardLink) setGrant(key sardineknot.RequestKey, grant sardineknot.Grant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.jobs[key]; r != nil {
		r.Grant = grant
	}
}

// setDecode records the decode engine of a job for which the engine was chosen
// after the prefill.
func (l *shardLink) setDecode(key sardineknot.RequestKey, server sardineknot.BackendServerName) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.jobs[key]; r != nil {
		r.Grant.DecodeEngine = server
	}
}

// runningJobs returns the jobs of this host that have been granted engines.
func (l *shardLink) runningJobs() []sardineknot.RunningJob {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runningJobsLocked()
}

func (l *shardLink) runningJobsLocked() []sardineknot.RunningJob {
	var r []sardineknot.RunningJob
	for _, h := range l.jobs {
		if h.Grant != (sardineknot.Grant{}) {
			r = append(r, *h)
		}
	}
	return r
}

// untilMoved returns a copy of ctx that is also cancelled when owner.moved is
// closed.
func untilMoved(ctx context.Context, owner shardOwner) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-owner.moved:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}
