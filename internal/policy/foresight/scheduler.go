// Package foresight is what schedulers of engines with scarce memory are
// compared with. It knows the exact length of every answer and which callers
// will leave, and expects a world without delays in which all decode engines are
// one. It starts a job as soon as its memory will fit to its end, without any
// reserve, and preempts none.
//
// It is greedy, so that it is no proof of optimality; no scheduler without that
// knowledge is expected to serve more.
package foresight

import (
	"cmp"
	"slices"
	"time"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/policy/growth"
)

const (
	// firstEventTime is kept between a start and the target of the first event.
	firstEventTime = 150 * time.Millisecond
	// returnAfter is the time after which a refused caller comes back. It is
	// longer than most bursts.
	returnAfter = 4200 * time.Millisecond
	// recheck is the time between two looks at jobs that wait.
	recheck = 10 * time.Millisecond
)

// Scheduler is a sardineknot.Scheduler. Its exported fields are set before use.
type Scheduler struct {
	// Span returns the exact memory of a job, from now to its end.
	Span func(sardineknot.RequestKey) growth.Span
	// Leaves reports whether the caller of a job will leave early.
	Leaves func(sardineknot.RequestKey) bool
	// Smallest orders jobs by the memory that they take over their time. It
	// starves long jobs.
	Smallest bool

	prefill sardineknot.BackendServer
	decode  sardineknot.BackendServer
	waiting []sardineknot.Job
	running []sardineknot.RequestKey
	// returned has the jobs that were late from the start.
	returned map[sardineknot.RequestKey]bool
	// looked is the time at which the jobs that wait were last looked at.
	looked time.Time
	out    []sardineknot.Decision
}

var _ sardineknot.Scheduler = (*Scheduler)(nil)

// SetServers implements sardineknot.Scheduler. It uses one engine of each role.
func (s *Scheduler) SetServers(now time.Time, l []sardineknot.BackendServer, _ []sardineknot.Link) []sardineknot.Decision {
	for _, b := range l {
		if b.Role == sardineknot.RolePrefill {
			s.prefill = b
		} else {
			s.decode = b
		}
	}
	return s.Wake(now)
}

// Submit implements sardineknot.Scheduler.
func (s *Scheduler) Submit(now time.Time, j sardineknot.Job) []sardineknot.Decision {
	if s.returned == nil {
		s.returned = make(map[sardineknot.RequestKey]bool)
	}
	if s.Leaves(j.Key) {
		return []sardineknot.Decision{{Key: j.Key, Action: sardineknot.ActionRefuse}}
	}
	if late(now, j) {
		s.returned[j.Key] = true
	}
	s.waiting = append(s.waiting, j)
	return s.Wake(now)
}

// Report implements sardineknot.Scheduler.
func (s *Scheduler) Report(now time.Time, e sardineknot.JobEvent) []sardineknot.Decision {
	switch e.Kind {
	case sardineknot.JobFinished, sardineknot.JobFailed, sardineknot.JobCancelled:
		delete(s.returned, e.Key)
		s.running = slices.DeleteFunc(s.running, func(k sardineknot.RequestKey) bool { return k == e.Key })
		s.waiting = slices.DeleteFunc(s.waiting, func(j sardineknot.Job) bool { return j.Key == e.Key })
	}
	return s.Wake(now)
}

// Observe implements sardineknot.Scheduler. It has no effect.
func (s *Scheduler) Observe(time.Time, sardineknot.LoadReport) {}

// Wake implements sardineknot.Scheduler.
func (s *Scheduler) Wake(now time.Time) []sardineknot.Decision {
	s.looked = now
	s.order(now)
	s.waiting = slices.DeleteFunc(s.waiting, func(j sardineknot.Job) bool { return s.start(j) || s.refuse(now, j) })
	d := s.out
	s.out = nil
	return d
}

// NextWake implements sardineknot.Scheduler.
func (s *Scheduler) NextWake() time.Time {
	if len(s.waiting) == 0 {
		return time.Time{}
	}
	return s.looked.Add(recheck)
}

// order sorts the jobs that wait: those first that can be in time.
func (s *Scheduler) order(now time.Time) {
	slices.SortStableFunc(s.waiting, func(a, b sardineknot.Job) int {
		if x, y := late(now, a), late(now, b); x != y {
			if y {
				return -1
			}
			return 1
		}
		if s.Smallest {
			return cmp.Compare(s.area(a), s.area(b))
		}
		return a.Deadline.Compare(b.Deadline)
	})
}

func late(now time.Time, j sardineknot.Job) bool {
	return now.Add(firstEventTime).After(j.Deadline)
}

// area returns the memory of j summed over its tokens.
func (s *Scheduler) area(j sardineknot.Job) float64 {
	p := s.Span(j.Key)
	return p.Left * (p.Held + p.Left/2)
}

// refuse ends j if it has become late while it waited. A caller that came back
// goes on waiting for what the others leave.
func (s *Scheduler) refuse(now time.Time, j sardineknot.Job) bool {
	if !late(now, j) || s.returned[j.Key] {
		return false
	}
	s.out = append(s.out, sardineknot.Decision{Key: j.Key, Action: sardineknot.ActionRefuse, RetryAfter: returnAfter})
	return true
}

// start starts j if it fits.
func (s *Scheduler) start(j sardineknot.Job) bool {
	l := []growth.Span{s.Span(j.Key)}
	for _, k := range s.running {
		l = append(l, s.Span(k))
	}
	if len(l) > s.decode.Slots || growth.Peak(l) > float64(s.decode.MemoryTokens) {
		return false
	}
	s.running = append(s.running, j.Key)
	s.out = append(s.out,
		sardineknot.Decision{Key: j.Key, Action: sardineknot.ActionDecode, Server: s.decode.Name},
		sardineknot.Decision{Key: j.Key, Action: sardineknot.ActionPrefill, Server: s.prefill.Name})
	return true
}
