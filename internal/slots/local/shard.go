// Package local owns a pool shard on this entry host: it runs the shard's
// scheduler and hands its decisions to the jobs that wait for them.
//
// A shard that has just moved here settles first: it takes in the jobs that
// run already, as their entry hosts announce them, before it grants anything.
// A job that ended is remembered for some time, so that a message that arrives
// late does not start it again.
package local

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

// Shard is one pool shard under its own lock. It is safe for concurrent use.
type Shard struct {
	clock     sardineknot.Clock
	scheduler sardineknot.Scheduler

	mu sync.Mutex
	// jobs holds every job that has not ended.
	jobs map[sardineknot.RequestKey]*waiter
	// held lists the jobs that wait for the end of the settling time, in the
	// order of their arrival. It is empty afterwards.
	held []sardineknot.Job
	// settled tells that the settling time is over.
	settled bool
	// slots counts the decodes that the servers take at once.
	slots int
	ended ended
	// dead holds the time since which a job's holder is known to be dead.
	dead map[sardineknot.RequestKey]time.Time
	// timer calls Wake of the scheduler. It is nil if nothing is due.
	timer *time.Timer
	// due is the time of timer.
	due    time.Time
	closed chan struct{}
}

// NewShard returns a shard that grants nothing before settle has passed.
func NewShard(c sardineknot.Clock, s sardineknot.Scheduler, settle time.Duration) *Shard {
	r := &Shard{
		clock:     c,
		scheduler: s,
		jobs:      make(map[sardineknot.RequestKey]*waiter),
		dead:      make(map[sardineknot.RequestKey]time.Time),
		closed:    make(chan struct{}),
		settled:   settle <= 0,
	}
	if !r.settled {
		time.AfterFunc(settle, r.settle)
	}
	return r
}

// Close ends every wait with an UnavailableError. The shard grants nothing
// afterwards.
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

// SetServers replaces the servers that accept new work.
func (s *Shard) SetServers(l []sardineknot.BackendServer, k []sardineknot.Link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slots = 0
	for _, b := range l {
		if b.Role == sardineknot.RoleDecode {
			s.slots += b.Slots
		}
	}
	s.passLocked(s.scheduler.SetServers(s.clock.Now(), l, k))
}

// Acquire waits for a grant. A job that is known already gets the grant that
// it was given before. If ctx ends first, the job goes on until a Report ends
// it.
func (s *Shard) Acquire(ctx context.Context, j sardineknot.Job) (sardineknot.Grant, error) {
	w, err := s.submit(j)
	if err != nil {
		return sardineknot.Grant{}, err
	}
	d, err := w.wait(ctx, s.closed, sardineknot.ActionPrefill)
	if err != nil {
		s.forgetRefused(j.Key, err)
		return sardineknot.Grant{}, err
	}
	return sardineknot.Grant{Prefill: d, Decode: w.decided(sardineknot.ActionDecode)}, nil
}

// PrefillDone reports the end of the prefill and waits for the engine to
// decode on. It fails with an UnknownError if the job is not known.
func (s *Shard) PrefillDone(ctx context.Context, j sardineknot.Job) (sardineknot.BackendServerName, error) {
	s.mu.Lock()
	w := s.jobs[j.Key]
	s.mu.Unlock()
	if w == nil {
		return "", errors.WithStack(&sardineknot.UnknownError{What: "Job", Name: j.Key.String()})
	}
	s.Report(j.Owner, sardineknot.JobEvent{Key: j.Key, Kind: sardineknot.JobPrefillDone, Server: w.decided(sardineknot.ActionPrefill)})
	d, err := w.wait(ctx, s.closed, sardineknot.ActionDecode)
	if err != nil {
		s.forgetRefused(j.Key, err)
	}
	return d, err
}

// Report takes an event of a job from the entry host h. Events of unknown
// jobs are ignored, but the end of a job is remembered. Events from a host
// whose job another one has adopted have no effect.
func (s *Shard) Report(h sardineknot.EntryHostID, e sardineknot.JobEvent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.clock.Now()
	w := s.jobs[e.Key]
	if w != nil && w.holder() != h {
		return
	}
	if ends(e.Kind) {
		s.ended.add(n, e.Key, h)
	}
	if w == nil {
		return
	}
	if ends(e.Kind) {
		s.removeLocked(e.Key)
	}
	s.passLocked(s.scheduler.Report(n, e))
}

// Observe takes a lagging load report.
func (s *Shard) Observe(r sardineknot.LoadReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduler.Observe(s.clock.Now(), r)
	s.armLocked()
}

// Adopt takes in a job that was granted engines by an earlier owner, or whose
// holder changed.
func (s *Shard) Adopt(r sardineknot.RunningJob) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.clock.Now()
	if w := s.jobs[r.Job.Key]; w != nil {
		if w.holder() != r.Job.Owner && !r.TakenOver {
			return
		}
		w.setJob(r.Job)
		delete(s.dead, r.Job.Key)
		return
	}
	w := newWaiter(r.Job)
	if s.ended.by(r.Job.Key, w.holder()) {
		return
	}
	s.ended.remove(r.Job.Key)
	w.adopt(r.Grant)
	s.jobs[r.Job.Key] = w
	if a, ok := s.scheduler.(sardineknot.Adopter); ok {
		s.passLocked(a.Adopt(n, r))
		return
	}
	if r.Grant.Decode == "" {
		s.passLocked(s.scheduler.Submit(n, r.Job))
	}
}

func (s *Shard) submit(j sardineknot.Job) (*waiter, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w := s.jobs[j.Key]; w != nil {
		w.setJob(j)
		delete(s.dead, j.Key)
		return w, nil
	}
	if s.ended.has(j.Key) {
		return nil, errors.WithStack(&sardineknot.NotRunError{Reason: "the job has ended"})
	}
	w := newWaiter(j)
	s.jobs[j.Key] = w
	if !s.settled {
		s.held = append(s.held, j)
		return w, nil
	}
	s.passLocked(s.scheduler.Submit(s.clock.Now(), j))
	return w, nil
}

// settle submits the jobs that waited for the end of the settling time.
func (s *Shard) settle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settled = true
	l := s.held
	s.held = nil
	for _, j := range l {
		if s.jobs[j.Key] != nil {
			s.passLocked(s.scheduler.Submit(s.clock.Now(), j))
		}
	}
}

// forgetRefused removes a job that was refused.
func (s *Shard) forgetRefused(k sardineknot.RequestKey, err error) {
	var n *sardineknot.NotRunError
	if !errors.As(err, &n) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeLocked(k)
}

func (s *Shard) removeLocked(k sardineknot.RequestKey) {
	delete(s.jobs, k)
	delete(s.dead, k)
}

// passLocked hands decisions to the jobs that they are about.
func (s *Shard) passLocked(l []sardineknot.Decision) {
	for _, d := range l {
		if w := s.jobs[d.Key]; w != nil {
			w.decide(d)
		}
	}
	s.armLocked()
}

// armLocked sets the timer to the scheduler's next wake.
func (s *Shard) armLocked() {
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
		s.armLocked()
		return
	}
	s.passLocked(s.scheduler.Wake(n))
}

// ends reports whether k is the last event of a job.
func ends(k sardineknot.JobEventKind) bool {
	switch k {
	case sardineknot.JobFinished, sardineknot.JobCancelled, sardineknot.JobFailed:
		return true
	default:
		return false
	}
}
