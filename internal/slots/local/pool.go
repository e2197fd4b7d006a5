package local

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

// pool is one pool shard with its own lock.
type pool struct {
	mu        sync.Mutex
	scheduler sardineknot.Scheduler
	// waiters holds one entry for each job that has not ended.
	waiters map[sardineknot.RequestKey]*waiter
}

func (p *pool) submit(now time.Time, j sardineknot.Job) *waiter {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := newWaiter()
	p.waiters[j.Key] = w
	p.passLocked(p.scheduler.Submit(now, j))
	return w
}

func (p *pool) report(now time.Time, e sardineknot.JobEvent) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.passLocked(p.scheduler.Report(now, e))
	switch e.Kind {
	case sardineknot.JobFinished, sardineknot.JobCancelled, sardineknot.JobFailed:
		delete(p.waiters, e.Key)
	}
}

// abandon ends a job whose wait for a grant failed with err.
func (p *pool) abandon(now time.Time, k sardineknot.RequestKey, err error) {
	var n *sardineknot.NotRunError
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiters, k)
	if errors.As(err, &n) {
		return
	}
	p.passLocked(p.scheduler.Report(now, sardineknot.JobEvent{Key: k, Kind: sardineknot.JobCancelled}))
}

func (p *pool) wake(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.scheduler.NextWake()
	if t.IsZero() || now.Before(t) {
		return
	}
	p.passLocked(p.scheduler.Wake(now))
}

func (p *pool) setServers(now time.Time, s []sardineknot.BackendServer, l []sardineknot.Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.passLocked(p.scheduler.SetServers(now, s, l))
}

func (p *pool) waiter(k sardineknot.RequestKey) *waiter {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.waiters[k]
}

// passLocked hands decisions to the jobs that they are about.
func (p *pool) passLocked(l []sardineknot.Decision) {
	for _, d := range l {
		if w := p.waiters[d.Key]; w != nil {
			w.decide(d)
		}
	}
}
