// Package local implements the pool shards that this entry host owns. A shard
// runs its scheduler and passes the scheduler's decisions to the requests that
// wait for them.
//
// Each job is held by the entry host that runs it for a caller. A new owner of
// a shard does not know the jobs that are running in it. For a time after it
// has become the owner, the settling time, it grants nothing and only adopts
// the running jobs that their holders announce. Ended jobs are recorded for
// some time, so that a delayed message does not start them again.
package local

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

// Shard is one pool shard. It is safe for concurrent use.
type Shard struct {
	clock     sardineknot.Clock
	scheduler sardineknot.Scheduler

	mu sync.Mutex
	// jobs holds the waiter of every job that has not ended.
	jobs map[sardineknot.RequestKey]*waiter
	// pending lists, in the order of their arrival, the jobs that were
	// requested during the settling time. They are submitted to the scheduler
	// when the settling time ends; afterwards pending is empty.
	pending []sardineknot.Job
	// settled is set when the settling time has passed.
	settled bool
	// decodeSlots is the total number of slots of the decode servers.
	decodeSlots int
	ended       endedJobs
	// deadSince holds, for each job whose holder is dead, the time at which
	// CancelOrphanedJobs first found the holder dead.
	deadSince map[sardineknot.RequestKey]time.Time
	// timer calls wake at due. It is nil if no call is scheduled.
	timer *time.Timer
	// due is the time for which timer was set.
	due time.Time
	// closed is closed by Close.
	closed chan struct{}
}

// NewShard returns a shard that grants nothing until settlingTime has passed,
// so that the holders of running jobs can announce them first. If settlingTime
// is not positive, the shard grants engines at once.
func NewShard(c sardineknot.Clock, s sardineknot.Scheduler, settlingTime time.Duration) *Shard {
	r := &Shard{
		clock:     c,
		scheduler: s,
		jobs:      make(map[sardineknot.RequestKey]*waiter),
		deadSince: make(map[sardineknot.RequestKey]time.Time),
		closed:    make(chan struct{}),
		settled:   settlingTime <= 0,
	}
	if !r.settled {
		time.AfterFunc(settlingTime, r.settle)
	}
	return r
}

// Close makes every waiting request fail with an UnavailableError. The shard
// grants nothing afterwards.
func (s *Shard) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer != nil {
		s.timer.Stop()
	}
	select {
	case <-s.closed:
	default:
		close(s.closed)
	}
}

// SetServers replaces the servers that accept new work and the network links.
func (s *Shard) SetServers(servers []sardineknot.BackendServer, links []sardineknot.Link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.decodeSlots = 0
	for _, b := range servers {
		if b.Role == sardineknot.RoleDecode {
			s.decodeSlots += b.Slots
		}
	}
	s.applyLocked(s.scheduler.SetServers(s.clock.Now(), servers, links))
}

// Acquire waits for a grant for job and returns it. If the job already has a
// grant, Acquire returns the same grant again. If ctx is done first, the job
// remains in the shard until a Report ends it. Acquire fails with a NotRunError
// if the job is refused or has ended, and with an UnavailableError if the shard
// is closed.
func (s *Shard) Acquire(ctx context.Context, job sardineknot.Job) (sardineknot.Grant, error) {
	w, err := s.submit(job)
	if err != nil {
		return sardineknot.Grant{}, err
	}
	d, err := w.wait(ctx, s.closed, sardineknot.ActionPrefill)
	if err != nil {
		s.removeRefused(job.Key, err)
		return sardineknot.Grant{}, err
	}
	return sardineknot.Grant{PrefillEngine: d, DecodeEngine: w.server(sardineknot.ActionDecode)}, nil
}

// PrefillDone reports the end of the prefill, waits for the choice of a decode
// engine and returns it. It fails with an UnknownError if the shard does not
// have the job, and otherwise as Acquire does.
func (s *Shard) PrefillDone(ctx context.Context, job sardineknot.Job) (sardineknot.BackendServerName, error) {
	s.mu.Lock()
	w := s.jobs[job.Key]
	s.mu.Unlock()
	if w == nil {
		return "", errors.WithStack(&sardineknot.UnknownError{What: "Job", Name: job.Key.String()})
	}
	s.Report(job.Owner, sardineknot.JobEvent{Key: job.Key, Kind: sardineknot.JobPrefillDone, Server: w.server(sardineknot.ActionPrefill)})
	d, err := w.wait(ctx, s.closed, sardineknot.ActionDecode)
	if err != nil {
		s.removeRefused(job.Key, err)
	}
	return d, err
}

// Report applies an event that host reported for a job. Events of unknown jobs
// are ignored, except that the end of a job is recorded. Events from a host
// that no longer holds the job, because another one has taken it over, have no
// effect.
func (s *Shard) Report(host sardineknot.EntryHostID, event sardineknot.JobEvent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.clock.Now()
	w := s.jobs[event.Key]
	if w != nil && w.holder() != host {
		return
	}
	if isFinal(event.Kind) {
		s.ended.add(n, event.Key, host)
	}
	if w == nil {
		return
	}
	if isFinal(event.Kind) {
		s.removeLocked(event.Key)
	}
	s.applyLocked(s.scheduler.Report(n, event))
}

// Observe passes a load report, which may be out of date, to the scheduler.
func (s *Shard) Observe(report sardineknot.LoadReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduler.ObserveLoad(s.clock.Now(), report)
	s.scheduleWakeLocked()
}

// Adopt adds a job that an earlier owner of the shard granted engines. If the
// shard has the job already, Adopt updates it; only a RunningJob with
// TakenOver set can change the holder. Adopt has no effect if the holder has
// reported the end of the job.
func (s *Shard) Adopt(running sardineknot.RunningJob) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.clock.Now()
	if w := s.jobs[running.Job.Key]; w != nil {
		if w.holder() != running.Job.Owner && !running.TakenOver {
			return
		}
		w.setJob(running.Job)
		delete(s.deadSince, running.Job.Key)
		return
	}
	w := newWaiter(running.Job)
	if s.ended.endedBy(running.Job.Key, w.holder()) {
		return
	}
	s.ended.remove(running.Job.Key)
	w.setGrant(running.Grant)
	s.jobs[running.Job.Key] = w
	if a, ok := s.scheduler.(sardineknot.JobAdopter); ok {
		s.applyLocked(a.Adopt(n, running))
		return
	}
	if running.Grant.DecodeEngine == "" {
		s.applyLocked(s.scheduler.Submit(n, running.Job))
	}
}

// submit returns the waiter of job. It submits a new job to the scheduler. If
// the shard still grants nothing because its settling time has not passed,
// submit adds the job to s.pending instead. It fails with a NotRunError if the
// job has ended.
func (s *Shard) submit(job sardineknot.Job) (*waiter, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w := s.jobs[job.Key]; w != nil {
		w.setJob(job)
		delete(s.deadSince, job.Key)
		return w, nil
	}
	if s.ended.has(job.Key) {
		return nil, errors.WithStack(&sardineknot.NotRunError{Reason: "the job has ended"})
	}
	w := newWaiter(job)
	s.jobs[job.Key] = w
	if !s.settled {
		s.pending = append(s.pending, job)
		return w, nil
	}
	s.applyLocked(s.scheduler.Submit(s.clock.Now(), job))
	return w, nil
}

// Demand returns the demand for engines that the scheduler has observed. It is zero
// if the scheduler does not measure it.
func (s *Shard) Demand() sardineknot.EngineDemand {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.scheduler.(sardineknot.DemandObserver); ok {
		return o.Demand(s.clock.Now())
	}
	return sardineknot.EngineDemand{}
}

// settle ends the settling time and submits the pending jobs to the scheduler.
func (s *Shard) settle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settled = true
	l := s.pending
	s.pending = nil
	for _, j := range l {
		if s.jobs[j.Key] != nil {
			s.applyLocked(s.scheduler.Submit(s.clock.Now(), j))
		}
	}
}

// removeRefused removes a job if err is a NotRunError.
func (s *Shard) removeRefused(key sardineknot.RequestKey, err error) {
	var n *sardineknot.NotRunError
	if !errors.As(err, &n) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeLocked(key)
}

func (s *Shard) removeLocked(key sardineknot.RequestKey) {
	delete(s.jobs, key)
	delete(s.deadSince, key)
}

// applyLocked passes decisions to the waiters of their jobs and schedules the
// next call of wake.
func (s *Shard) applyLocked(decisions []sardineknot.Decision) {
	for _, d := range decisions {
		if w := s.jobs[d.Key]; w != nil {
			w.record(d)
		}
	}
	s.scheduleWakeLocked()
}

// scheduleWakeLocked sets the timer to the time of the scheduler's NextWake, or
// stops it if there is none.
func (s *Shard) scheduleWakeLocked() {
	t := s.scheduler.NextWake()
	if t.Equal(s.due) && (t.IsZero() || s.timer != nil) {
		return
	}
	if s.timer != nil {
		s.timer.Stop()
		s.timer = nil
	}
	s.due = t
	if !t.IsZero() {
		s.timer = time.AfterFunc(max(t.Sub(s.clock.Now()), 0), s.wake)
	}
}

// wake calls the Wake method of the scheduler, or schedules another call of
// wake if the NextWake time of the scheduler has not come.
func (s *Shard) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.closed:
		return
	default:
	}
	s.timer = nil
	n := s.clock.Now()
	if t := s.scheduler.NextWake(); t.IsZero() || n.Before(t) {
		s.scheduleWakeLocked()
		return
	}
	s.applyLocked(s.scheduler.Wake(n))
}

// isFinal reports whether an event of this kind ends its job.
func isFinal(kind sardineknot.JobEventKind) bool {
	switch kind {
	case sardineknot.JobFinished, sardineknot.JobCancelled, sardineknot.JobFailed:
		return true
	default:
		return false
	}
}
