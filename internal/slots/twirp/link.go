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

// link is this host's view of one shard and of the jobs that it holds there.
type link struct {
	pool *Pool
	name string

	mu    sync.Mutex
	shard shard.Shard
	links []sardineknot.Link
	// owner is valid if ok is set.
	owner sardineknot.EntryHost
	ok    bool
	// local is not nil if and only if this host owns the shard.
	local *local.Shard
	// acting grants engines to hosts that take this one for the owner while it
	// takes another one for it. It is nil until the first such call.
	acting *local.Shard
	// moved is closed and replaced when the owner changes.
	moved chan struct{}
	// held holds the jobs of this host that have not ended.
	held map[sardineknot.RequestKey]*sardineknot.RunningJob
	outbox
	load   *rpc.Load
	loadAt time.Time
}

// view is the owner of a shard at one time.
type view struct {
	owner sardineknot.EntryHost
	ok    bool
	local *local.Shard
	moved <-chan struct{}
}

func newLink(p *Pool, name string) *link {
	return &link{
		pool:  p,
		name:  name,
		moved: make(chan struct{}),
		held:  make(map[sardineknot.RequestKey]*sardineknot.RunningJob),
	}
}

func (l *link) setShard(s shard.Shard) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shard = s
}

// setServers passes the servers of the shard on to its scheduler.
func (l *link) setServers(k []sardineknot.Link) {
	l.mu.Lock()
	l.links = k
	s := l.shard
	o := []*local.Shard{l.local, l.acting}
	l.mu.Unlock()
	for _, d := range o {
		if d != nil {
			d.SetServers(s.Joining(), k)
		}
	}
}

// act returns the shard that grants engines to hosts which take this one for
// the owner.
func (l *link) act() *local.Shard {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.local != nil {
		return l.local
	}
	if l.acting == nil {
		l.acting = l.pool.newLocal(l.shard, l.links)
	}
	return l.acting
}

// setOwner takes in the owner of the shard. A new owner is told of the running
// jobs.
func (l *link) setOwner(o sardineknot.EntryHost, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if ok == l.ok && o.ID == l.owner.ID && o.Incarnation == l.owner.Incarnation {
		l.owner = o
		return
	}
	l.owner, l.ok = o, ok
	if l.local != nil {
		l.local.Close()
		l.local = nil
	}
	if ok && o.ID == l.pool.Members.Self().ID {
		l.local, l.acting = l.acting, nil
		if l.local == nil {
			l.local = l.pool.newLocal(l.shard, l.links)
		}
	}
	close(l.moved)
	l.moved = make(chan struct{})
	l.announceLocked()
}

// renew marks the jobs of this host with its incarnation i, tells the owner of
// the running ones, and has the waiting ones asked for again.
func (l *link) renew(i sardineknot.Incarnation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.held {
		r.Job.OwnerIncarnation = i
	}
	close(l.moved)
	l.moved = make(chan struct{})
	l.announceLocked()
}

func (l *link) view() view {
	l.mu.Lock()
	defer l.mu.Unlock()
	return view{owner: l.owner, ok: l.ok, local: l.local, moved: l.moved}
}

// owned returns the shard if this host owns it or acts as its owner, or nil.
func (l *link) owned() (*local.Shard, shard.Shard) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.local == nil {
		return l.acting, l.shard
	}
	return l.local, l.shard
}

// gone reports whether the shard is no longer part of the configuration and
// has no jobs.
func (l *link) gone() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.shard.Servers) > 0 || len(l.held) > 0 {
		return false
	}
	if l.local == nil {
		return true
	}
	_, r, w := l.local.Counts()
	return r+w == 0
}

func (l *link) hold(j sardineknot.Job) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held[j.Key] = &sardineknot.RunningJob{Job: j}
}

func (l *link) release(k sardineknot.RequestKey) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.held, k)
}

func (l *link) granted(k sardineknot.RequestKey, g sardineknot.Grant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.held[k]; r != nil {
		r.Grant = g
	}
}

func (l *link) decodes(k sardineknot.RequestKey, d sardineknot.BackendServerName) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.held[k]; r != nil {
		r.Grant.Decode = d
	}
}

// running returns the jobs of this host that were granted engines.
func (l *link) running() []sardineknot.RunningJob {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runningLocked()
}

func (l *link) runningLocked() []sardineknot.RunningJob {
	var r []sardineknot.RunningJob
	for _, h := range l.held {
		if h.Grant != (sardineknot.Grant{}) {
			r = append(r, *h)
		}
	}
	return r
}

// untilMoved returns a context that also ends when v is no longer in force.
func untilMoved(ctx context.Context, v view) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-v.moved:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}
