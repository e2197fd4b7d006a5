package twirp

import (
	"context"
	"time"

	"sardineknot.example/sardineknot"
	rpc "sardineknot.example/sardineknot/internal/rpc/slots"
	"sardineknot.example/sardineknot/internal/slots/local"
)

const (
	// endDelay and stepDelay are the times that the end of a job and its
	// other events wait for a message to ride on.
	endDelay  = 20 * time.Millisecond
	stepDelay = 250 * time.Millisecond
	// maxEvents bounds the events that wait for an owner.
	maxEvents = 4096
	// reportTimeout bounds one message of events.
	reportTimeout = time.Second
	// beatTimeouts is the same in beats, if there are any.
	beatTimeouts = 2
)

// outbox holds what the owner of a shard has yet to be told. It is guarded by
// the lock of its link.
type outbox struct {
	events []*rpc.Event
	// announce tells that the owner does not know the running jobs yet.
	announce bool
	// timer sends the outbox at due. It is nil if nothing waits.
	timer *time.Timer
	due   time.Time
	pause time.Duration
	// beating tells that an empty message is to be sent.
	beating bool
}

// beat sends the outbox, even if it is empty, to a remote owner for which this
// host holds jobs.
func (l *link) beat() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.local != nil || len(l.held) == 0 {
		return
	}
	l.beating = true
	l.armLocked(0)
}

// report passes e on to the owner.
func (l *link) report(e sardineknot.JobEvent) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applyLocked(e)
	if l.local != nil {
		l.local.Report(l.pool.Members.Self().ID, e)
		return
	}
	if len(l.events) < maxEvents {
		l.events = append(l.events, eventMessage(e, l.pool.Members.Self().ID))
	}
	d := stepDelay
	if ends(e.Kind) {
		d = endDelay
	}
	l.armLocked(d)
}

// applyLocked keeps the held job of e up to date.
func (l *link) applyLocked(e sardineknot.JobEvent) {
	if ends(e.Kind) {
		delete(l.held, e.Key)
		return
	}
	if r := l.held[e.Key]; r != nil {
		r.Tokens = e.Tokens
	}
}

// adopt holds r and tells the owner of it.
func (l *link) adopt(r sardineknot.RunningJob) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held[r.Job.Key] = &r
	l.announceLocked()
}

// announceLocked tells the owner of the running jobs.
func (l *link) announceLocked() {
	if l.local == nil {
		l.announce = true
		l.armLocked(0)
		return
	}
	for _, r := range l.runningLocked() {
		l.local.Adopt(r)
	}
	for _, e := range l.events {
		report(l.local, e)
	}
	l.events = nil
}

// take removes the events that wait, to ride on another message.
func (l *link) take() *rpc.ReportRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := &rpc.ReportRequest{Shard: l.name, Events: l.events}
	l.events = nil
	return q
}

// takeAll also removes the running jobs that the owner has to be told of, and
// reports whether the message is to be sent even if it is empty.
func (l *link) takeAll() (q *rpc.ReportRequest, beating bool) {
	q = l.take()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.timer = nil
	beating, l.beating = l.beating, false
	if l.announce {
		l.announce = false
		n := l.pool.Clock.Now()
		for _, r := range l.runningLocked() {
			q.Running = append(q.Running, runningMessage(r, n))
		}
	}
	return q, beating
}

// putBack returns what could not be sent.
func (l *link) putBack(v view, q *rpc.ReportRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.events = append(q.Events, l.events...)
	l.events = l.events[:min(len(l.events), maxEvents)]
	l.announce = l.announce || len(q.Running) > 0
	if len(l.events) == 0 && !l.announce {
		return
	}
	l.pause = min(max(2*l.pause, firstPause), maxPause)
	l.armLocked(l.pause)
	if l.owner.ID != v.owner.ID {
		l.armLocked(0)
	}
}

// armLocked sends the outbox after d at the latest.
func (l *link) armLocked(d time.Duration) {
	t := l.pool.Clock.Now().Add(d)
	if l.timer != nil && !t.Before(l.due) {
		return
	}
	if l.timer != nil {
		l.timer.Stop()
	}
	l.due = t
	l.timer = time.AfterFunc(d, l.send)
}

// send sends the outbox to the owner, and again later if that fails.
func (l *link) send() {
	v := l.view()
	q, b := l.takeAll()
	if len(q.Events) == 0 && len(q.Running) == 0 && !b {
		return
	}
	if v.local != nil {
		deliver(v.local, q, l.pool.Clock.Now())
		return
	}
	if !v.ok {
		l.putBack(v, q)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), l.pool.reportTimeout())
	defer cancel()
	p, err := l.client(v).Report(ctx, q)
	if err != nil {
		l.pool.lost(context.Background(), v)
		l.putBack(v, q)
		return
	}
	l.mu.Lock()
	l.pause = 0
	l.mu.Unlock()
	l.observe(p.GetLoad())
}

// reportTimeout returns the time that an owner has to answer a message.
func (p *Pool) reportTimeout() time.Duration {
	if p.Beat > 0 {
		return beatTimeouts * p.Beat
	}
	return reportTimeout
}

// deliver passes a message on to the shard s of this host.
func deliver(s *local.Shard, q *rpc.ReportRequest, now time.Time) {
	for _, r := range q.GetRunning() {
		s.Adopt(running(r, now))
	}
	for _, e := range q.GetEvents() {
		report(s, e)
	}
}

func report(s *local.Shard, m *rpc.Event) {
	s.Report(sardineknot.EntryHostID(m.GetOwner()), event(m))
}

// load returns the load of s.
func load(s *local.Shard) *rpc.Load {
	n, r, w := s.Counts()
	return &rpc.Load{Slots: int32(n), Running: int32(r), Waiting: int32(w)}
}
