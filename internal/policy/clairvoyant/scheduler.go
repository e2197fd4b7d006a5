// Package clairvoyant implements the reference with which the simulate command
// compares schedulers for engines whose memory is scarce. It runs only in
// simulations, which give it information that no real scheduler has: the exact
// memory of every answer up to its end, and which callers will disconnect.
//
// The scheduler assumes that there are no delays and that all decode engines
// form a single one. It starts a job as soon as the job fits in memory up to
// its end, without a reserve, and never preempts a job. Package oracle is the
// counterpart for engines whose slots are scarce.
//
// The scheduler is greedy and therefore not proven optimal, but no scheduler
// without its knowledge is expected to serve more jobs.
package clairvoyant

import (
	"cmp"
	"slices"
	"time"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/policy/growth"
)

const (
	// firstEventMargin is reserved between the start of a job and the deadline
	// of its first event.
	firstEventMargin = 150 * time.Millisecond
	// refusalRetryAfter is the time after which a refused caller retries. It is
	// longer than most bursts.
	refusalRetryAfter = 4200 * time.Millisecond
	// recheckInterval is the interval at which the scheduler checks again
	// whether waiting jobs can start or have to be refused.
	recheckInterval = 10 * time.Millisecond
)

// Scheduler is a sardineknot.Scheduler. Its exported fields must be set before
// first use.
type Scheduler struct {
	// Span returns the memory that a job occupies now, or will occupy at its
	// start, and the exact number of tokens that it has yet to generate.
	Span func(sardineknot.RequestKey) growth.Span
	// Disconnects reports whether the caller of a job will disconnect before
	// the answer ends.
	Disconnects func(sardineknot.RequestKey) bool
	// SmallestFirst orders waiting jobs by their memory, summed over all tokens
	// that they generate, instead of by deadline. This starves long jobs.
	SmallestFirst bool

	prefill sardineknot.BackendServer
	decode  sardineknot.BackendServer
	waiting []sardineknot.Job
	running []sardineknot.RequestKey
	// lateOnArrival contains the jobs that could no longer meet their deadline
	// when they were submitted.
	lateOnArrival map[sardineknot.RequestKey]bool
	// lastWake is the time at which the scheduler last checked whether waiting
	// jobs can start or have to be refused.
	lastWake  time.Time
	decisions []sardineknot.Decision
}

var _ sardineknot.Scheduler = (*Scheduler)(nil)

// SetServers implements sardineknot.Scheduler. It keeps one engine of each
// role, the last one in servers.
func (s *Scheduler) SetServers(now time.Time, servers []sardineknot.BackendServer, _ []sardineknot.Link) []sardineknot.Decision {
	for _, b := range servers {
		if b.Role == sardineknot.RolePrefill {
			s.prefill = b
		} else {
			s.decode = b
		}
	}
	return s.Wake(now)
}

// Submit implements sardineknot.Scheduler.
func (s *Scheduler) Submit(now time.Time, job sardineknot.Job) []sardineknot.Decision {
	if s.lateOnArrival == nil {
		s.lateOnArrival = make(map[sardineknot.RequestKey]bool)
	}
	if s.Disconnects(job.Key) {
		return []sardineknot.Decision{{Key: job.Key, Action: sardineknot.ActionRefuse}}
	}
	if late(now, job) {
		s.lateOnArrival[job.Key] = true
	}
	s.waiting = append(s.waiting, job)
	return s.Wake(now)
}

// Report implements sardineknot.Scheduler.
func (s *Scheduler) Report(now time.Time, event sardineknot.JobEvent) []sardineknot.Decision {
	switch event.Kind {
	case sardineknot.JobFinished, sardineknot.JobFailed, sardineknot.JobCancelled:
		delete(s.lateOnArrival, event.Key)
		s.running = slices.DeleteFunc(s.running, func(k sardineknot.RequestKey) bool { return k == event.Key })
		s.waiting = slices.DeleteFunc(s.waiting, func(j sardineknot.Job) bool { return j.Key == event.Key })
	}
	return s.Wake(now)
}

// ObserveLoad implements sardineknot.Scheduler. It has no effect.
func (s *Scheduler) ObserveLoad(time.Time, sardineknot.LoadReport) {}

// Wake implements sardineknot.Scheduler.
func (s *Scheduler) Wake(now time.Time) []sardineknot.Decision {
	s.lastWake = now
	s.order(now)
	s.waiting = slices.DeleteFunc(s.waiting, func(j sardineknot.Job) bool { return s.start(j) || s.refuse(now, j) })
	d := s.decisions
	s.decisions = nil
	return d
}

// NextWake implements sardineknot.Scheduler.
func (s *Scheduler) NextWake() time.Time {
	if len(s.waiting) == 0 {
		return time.Time{}
	}
	return s.lastWake.Add(recheckInterval)
}

// order sorts the waiting jobs. Those that can still meet their deadline come
// first.
func (s *Scheduler) order(now time.Time) {
	slices.SortStableFunc(s.waiting, func(a, b sardineknot.Job) int {
		if x, y := late(now, a), late(now, b); x != y {
			if y {
				return -1
			}
			return 1
		}
		if s.SmallestFirst {
			return cmp.Compare(s.area(a), s.area(b))
		}
		return a.FirstTokenDeadline.Compare(b.FirstTokenDeadline)
	})
}

// late reports whether a job that starts now misses the deadline of its first
// event.
func late(now time.Time, job sardineknot.Job) bool {
	return now.Add(firstEventMargin).After(job.FirstTokenDeadline)
}

// area returns the memory of job, summed over the tokens that it has yet to
// generate.
func (s *Scheduler) area(job sardineknot.Job) float64 {
	p := s.Span(job.Key)
	return p.Remaining * (p.InUse + p.Remaining/2)
}

// refuse refuses job if it has become late while waiting, and reports whether
// it did. A job that was late when submitted belongs to a caller that retries;
// it keeps waiting behind the jobs that are not late.
func (s *Scheduler) refuse(now time.Time, job sardineknot.Job) bool {
	if !late(now, job) || s.lateOnArrival[job.Key] {
		return false
	}
	s.decisions = append(s.decisions, sardineknot.Decision{Key: job.Key, Action: sardineknot.ActionRefuse, RetryAfter: refusalRetryAfter})
	return true
}

// start starts job if it fits in the slots and memory, and reports whether it
// did.
func (s *Scheduler) start(job sardineknot.Job) bool {
	l := []growth.Span{s.Span(job.Key)}
	for _, k := range s.running {
		l = append(l, s.Span(k))
	}
	if len(l) > s.decode.Slots || growth.Peak(l) > float64(s.decode.MemoryTokens) {
		return false
	}
	s.running = append(s.running, job.Key)
	s.decisions = append(s.decisions,
		sardineknot.Decision{Key: job.Key, Action: sardineknot.ActionDecode, Server: s.decode.Name},
		sardineknot.Decision{Key: job.Key, Action: sardineknot.ActionPrefill, Server: s.prefill.Name})
	return true
}
