// Package oracle implements the scheduler that the bench command uses as the
// upper bound for schedulers of engines whose slots are scarce. It runs only in
// simulations, which give it information that no real scheduler has: the exact
// length of every answer, the exact duration of every prefill, when slots
// become free, and which callers will disconnect. It assumes that there are no
// delays: transfers take no time, prefill results do not expire, engine memory
// is pooled, and engines share their prefix caches. Package clairvoyant is the
// counterpart for engines whose memory is scarce.
//
// Jobs are ordered by priority and deadline, or optionally shortest first, by
// the engine time that they need. A prefill starts if a decode slot is free for
// the job or will be free when the prefill ends. No slot is idle while a job
// waits that can still meet its deadline. A job is refused once it can no
// longer meet its deadline. The retries of refused callers are spaced at the
// rate at which slots become free.
//
// With jobs in the order of their deadlines, the bound holds for schedulers
// that do not choose among jobs by their length. The shortest-first order
// starves long jobs, which no practical scheduler should do.
package oracle

import (
	"container/heap"
	"time"

	"sardineknot.example/sardineknot"
)

// recheckInterval is the interval at which the scheduler checks again whether
// waiting jobs can start or have to be refused.
const recheckInterval = 10 * time.Millisecond

// Scheduler is a sardineknot.Scheduler. Its exported fields must be set before
// first use.
type Scheduler struct {
	// PrefillTime returns the exact duration of a job's prefill.
	PrefillTime func(sardineknot.Job) time.Duration
	// Disconnects reports whether the job's caller will disconnect.
	Disconnects func(sardineknot.Job) bool
	// Tokens returns the exact length of the job's answer.
	Tokens func(sardineknot.Job) int
	// SlotsFreed returns the exact number of decode slots that running jobs
	// will free within the given time from now.
	SlotsFreed func(time.Duration) int
	// TokenInterval is the longest time between two tokens of an answer. The
	// first token is assumed to follow the start of the decode after this time.
	TokenInterval time.Duration
	// ShortestFirst orders waiting jobs by the engine time that they need,
	// instead of by priority and deadline.
	ShortestFirst bool

	jobs    map[sardineknot.RequestKey]*job
	engines map[sardineknot.BackendServerName]*engine
	prefill []*engine
	decode  []*engine
	// waiting holds the jobs whose prefill has not started. ready holds the
	// jobs that wait for a decode slot, in the order in which their prefills
	// ended.
	waiting jobHeap
	ready   []*job
	// memoryPieces is the memory that decoding jobs use, and totalPieces the
	// total memory of all decode engines, both in pieces. If totalPieces is
	// zero, the memory is unlimited.
	memoryPieces int
	totalPieces  int
	// committedJobs counts the jobs that are prefilling or ready.
	committedJobs int
	// nextRetry is the earliest retry time for the next refused caller.
	nextRetry time.Time
	// now is the time that was passed to the current or last call.
	now time.Time
	// decisions collects the decisions of the current call.
	decisions []sardineknot.Decision
}

var _ sardineknot.Scheduler = (*Scheduler)(nil)

// SetServers implements sardineknot.Scheduler.
func (s *Scheduler) SetServers(now time.Time, servers []sardineknot.BackendServer, _ []sardineknot.Link) []sardineknot.Decision {
	s.now = now
	s.prefill, s.decode, s.totalPieces = nil, nil, 0
	if s.engines == nil {
		s.engines = make(map[sardineknot.BackendServerName]*engine)
		s.jobs = make(map[sardineknot.RequestKey]*job)
	}
	for _, b := range servers {
		e := s.engines[b.Name]
		if e == nil {
			e = &engine{name: b.Name, slots: b.Slots}
			s.engines[b.Name] = e
		}
		if b.Role == sardineknot.RolePrefill {
			e.slots = 1
			s.prefill = append(s.prefill, e)
			continue
		}
		s.decode = append(s.decode, e)
		s.totalPieces += b.MemoryPieces
	}
	return s.schedule()
}

// Submit implements sardineknot.Scheduler.
func (s *Scheduler) Submit(now time.Time, spec sardineknot.Job) []sardineknot.Decision {
	s.now = now
	n := &job{Job: spec}
	n.memoryPieces = (spec.PromptTokens + s.Tokens(spec) + sardineknot.TokensPerMemoryPiece - 1) / sardineknot.TokensPerMemoryPiece
	if s.ShortestFirst {
		n.work = s.PrefillTime(spec).Seconds()/float64(max(1, len(s.prefill))) + float64(s.Tokens(spec))*s.TokenInterval.Seconds()/s.slots()
	}
	s.jobs[spec.Key] = n
	if s.Disconnects(spec) {
		s.refuse(n)
		return s.takeDecisions()
	}
	heap.Push(&s.waiting, n)
	return s.schedule()
}

// Report implements sardineknot.Scheduler.
func (s *Scheduler) Report(now time.Time, event sardineknot.JobEvent) []sardineknot.Decision {
	s.now = now
	j := s.jobs[event.Key]
	if j == nil || event.Kind == sardineknot.JobDecodeStarted {
		return nil
	}
	s.releaseEngine(j)
	if event.Kind == sardineknot.JobPrefillDone {
		s.ready = append(s.ready, j)
	} else {
		delete(s.jobs, event.Key)
	}
	return s.schedule()
}

// ObserveLoad implements sardineknot.Scheduler. It has no effect.
func (s *Scheduler) ObserveLoad(time.Time, sardineknot.LoadReport) {}

// Wake implements sardineknot.Scheduler.
func (s *Scheduler) Wake(now time.Time) []sardineknot.Decision {
	s.now = now
	s.refuseLate()
	return s.schedule()
}

// NextWake implements sardineknot.Scheduler.
func (s *Scheduler) NextWake() time.Time {
	if len(s.waiting)+len(s.ready) == 0 {
		return time.Time{}
	}
	return s.now.Add(recheckInterval)
}

// takeDecisions returns the decisions of the current call and clears them.
func (s *Scheduler) takeDecisions() []sardineknot.Decision {
	d := s.decisions
	s.decisions = nil
	return d
}
