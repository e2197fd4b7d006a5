package oracle

import (
	"container/heap"
	"time"

	"sardineknot.example/sardineknot"
)

// minRetryAfter and maxRetryAfter bound the time after which refused callers
// may retry.
const (
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 20 * time.Second
)

// refuseLate refuses the waiting jobs that can no longer meet their deadline.
func (s *Scheduler) refuseLate() {
	l := s.waiting[:0]
	for _, j := range s.waiting {
		if s.now.Add(s.PrefillTime(j.Job) + maxSlotWait + s.TokenInterval).After(j.FirstTokenDeadline) {
			s.refuse(j)
			continue
		}
		l = append(l, j)
	}
	s.waiting = l
	heap.Init(&s.waiting)
}

// retryAfter returns the time after which a refused caller may retry. Each call
// moves the retry of the next caller back by about the time between two freed
// slots.
func (s *Scheduler) retryAfter() time.Duration {
	t := s.now.Add(minRetryAfter)
	if s.nextRetry.After(t) {
		t = s.nextRetry
	}
	if l := s.now.Add(maxRetryAfter); t.After(l) {
		t = l
	}
	s.nextRetry = t.Add(time.Second / time.Duration(1+s.SlotsFreed(time.Second)))
	return t.Sub(s.now)
}

// refuse ends j and adds the decision that it is refused.
func (s *Scheduler) refuse(j *job) {
	delete(s.jobs, j.Key)
	s.decisions = append(s.decisions, sardineknot.Decision{
		Key: j.Key, Action: sardineknot.ActionRefuse, Reason: "deadline cannot be met", RetryAfter: s.retryAfter(),
	})
}
