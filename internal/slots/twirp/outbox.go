package twirp

import (
	"context"
	"time"

	"sardineknot.example/sardineknot"
	rpc "sardineknot.example/sardineknot/internal/rpc/slots"
	"sardineknot.example/sardineknot/internal/slots/local"
)

const (
	// finalEventDelay is the longest time for which the last event of a job, or
	// the end of its prefill, is queued, to be piggybacked on another message:
	// both tell that an engine is free. progressEventDelay is the longest time
	// for all other events.
	finalEventDelay    = 20 * time.Millisecond
	progressEventDelay = 250 * time.Millisecond
	// maxEvents bounds the events queued for one owner.
	maxEvents = 4096
	// reportTimeout is the timeout of a Report request if heartbeats are
	// disabled.
	reportTimeout = time.Second
	// timeoutHeartbeats is the timeout of a Report request, in heartbeat
	// intervals, if heartbeats are enabled.
	timeoutHeartbeats = 2
)

// outbox queues the messages for the owner of a shard. It is guarded by the
// lock of its link.
type outbox struct {
	events []*rpc.Event
	// announcePending is set if the running jobs have to be announced to the
	// owner.
	announcePending bool
	// timer flushes the outbox at due. It is nil if no flush is scheduled.
	timer *time.Timer
	due   time.Time
	// retryDelay is the retry delay after the last failed flush. It is zero
	// after a successful flush.
	retryDelay time.Duration
	// heartbeatPending is set if the next message is to be sent even if it is
	// empty, to detect an owner that has stopped responding.
	heartbeatPending bool
}

// sendHeartbeat flushes the outbox, even if it is empty. It has no effect if
// this host owns the shard or has no jobs in it.
func (l *shardLink) sendHeartbeat() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.local != nil || len(l.jobs) == 0 {
		return
	}
	l.heartbeatPending = true
	l.scheduleLocked(0)
}

// report applies event to the local shard, or queues it for the remote owner.
// If maxEvents are queued already, the event is dropped.
func (l *shardLink) report(event sardineknot.JobEvent) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.updateJobLocked(event)
	if l.local != nil {
		l.local.Report(l.pool.Members.Self().ID, event)
		return
	}
	if len(l.events) < maxEvents {
		l.events = append(l.events, eventMessage(event, l.pool.Members.Self().ID))
	}
	d := progressEventDelay
	if isFinal(event.Kind) || event.Kind == sardineknot.JobPrefillDone {
		d = finalEventDelay
	}
	l.scheduleLocked(d)
}

// updateJobLocked updates the entry of jobs to which event belongs.
func (l *shardLink) updateJobLocked(event sardineknot.JobEvent) {
	if isFinal(event.Kind) {
		delete(l.jobs, event.Key)
		return
	}
	if r := l.jobs[event.Key]; r != nil {
		r.Tokens = event.Tokens
	}
}

// adopt registers a running job that another host held or that was in another
// shard before, and announces it to the owner.
func (l *shardLink) adopt(running sardineknot.RunningJob) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.jobs[running.Job.Key] = &running
	l.announceLocked()
}

// announceLocked announces the running jobs to the owner. For a local shard it
// also applies the queued events.
func (l *shardLink) announceLocked() {
	if l.local == nil {
		l.announcePending = true
		l.scheduleLocked(0)
		return
	}
	for _, r := range l.runningJobsLocked() {
		l.local.Adopt(r)
	}
	for _, e := range l.events {
		applyEvent(l.local, e)
	}
	l.events = nil
}

// takeEvents removes the queued events and returns them as a message.
func (l *shardLink) takeEvents() *rpc.ReportRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := &rpc.ReportRequest{Shard: l.name, Events: l.events}
	l.events = nil
	return q
}

// takeAll is like takeEvents, but the message also holds the running jobs if
// they have to be announced. heartbeat reports whether the message has to be
// sent even if it is empty.
func (l *shardLink) takeAll() (request *rpc.ReportRequest, heartbeat bool) {
	request = l.takeEvents()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.timer = nil
	heartbeat, l.heartbeatPending = l.heartbeatPending, false
	if l.announcePending {
		l.announcePending = false
		n := l.pool.Clock.Now()
		for _, r := range l.runningJobsLocked() {
			request.Running = append(request.Running, runningMessage(r, n))
		}
	}
	return request, heartbeat
}

// requeue puts the contents of request, which could not be sent to o, back
// into the outbox. It schedules a retry with exponential backoff, or at once
// if another host owns the shard by now. Events beyond maxEvents are dropped.
func (l *shardLink) requeue(o shardOwner, request *rpc.ReportRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.events = append(request.Events, l.events...)
	l.events = l.events[:min(len(l.events), maxEvents)]
	l.announcePending = l.announcePending || len(request.Running) > 0
	if len(l.events) == 0 && !l.announcePending {
		return
	}
	l.retryDelay = min(max(2*l.retryDelay, minRetryDelay), maxRetryDelay)
	l.scheduleLocked(l.retryDelay)
	if l.owner.ID != o.host.ID {
		l.scheduleLocked(0)
	}
}

// scheduleLocked schedules a flush after delay, unless an earlier one is
// scheduled.
func (l *shardLink) scheduleLocked(delay time.Duration) {
	t := l.pool.Clock.Now().Add(delay)
	if l.timer != nil && !t.Before(l.due) {
		return
	}
	if l.timer != nil {
		l.timer.Stop()
	}
	l.due = t
	l.timer = time.AfterFunc(delay, l.flush)
}

// flush sends the outbox to the owner. If that fails, it requeues the contents.
func (l *shardLink) flush() {
	o := l.shardOwner()
	q, b := l.takeAll()
	if len(q.Events) == 0 && len(q.Running) == 0 && !b {
		return
	}
	if o.local != nil {
		applyReport(o.local, q, l.pool.Clock.Now())
		return
	}
	if !o.ok {
		l.requeue(o, q)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), l.pool.reportTimeout())
	defer cancel()
	p, err := l.client(o).Report(ctx, q)
	if err != nil {
		l.pool.reportUnreachable(context.Background(), o)
		l.requeue(o, q)
		return
	}
	l.mu.Lock()
	l.retryDelay = 0
	l.mu.Unlock()
	l.setLoad(p.GetLoad())
}

// reportTimeout returns the timeout of a Report request.
func (p *Pool) reportTimeout() time.Duration {
	if p.HeartbeatInterval > 0 {
		return timeoutHeartbeats * p.HeartbeatInterval
	}
	return reportTimeout
}

// applyReport applies the jobs and events of request to a shard of this host.
func applyReport(shard *local.Shard, request *rpc.ReportRequest, now time.Time) {
	for _, r := range request.GetRunning() {
		shard.Adopt(runningFromMessage(r, now))
	}
	for _, e := range request.GetEvents() {
		applyEvent(shard, e)
	}
}

func applyEvent(shard *local.Shard, message *rpc.Event) {
	shard.Report(sardineknot.EntryHostID(message.GetOwner()), eventFromMessage(message))
}

// loadMessage returns the current load of shard.
func loadMessage(shard *local.Shard) *rpc.Load {
	n, r, w := shard.Counts()
	return &rpc.Load{Slots: int32(n), Running: int32(r), Waiting: int32(w)}
}
