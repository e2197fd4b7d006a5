package timed

import (
	"container/heap"
	"math"
	"time"

	"sardineknot.example/sardineknot"
)

const (
	// reservedQuantile is the share of answers whose length is reserved for.
	reservedQuantile = 0.8
	// minReturn and maxReturn bound the time after which refused callers come
	// back.
	minReturn = 200 * time.Millisecond
	maxReturn = 20 * time.Second
	// probeEvery is the time without any prefill, and probeAfter the number of
	// refusals in a row, after which a job is admitted against the estimates.
	probeEvery = time.Second
	probeAfter = 3
)

// admit returns why j is refused and when its caller may come back, or an
// empty reason.
func (s *Scheduler) admit(now time.Time, j *job) (reason string, after time.Duration) {
	if len(s.prefill) == 0 || len(s.decode) == 0 {
		return "no engine serves " + string(j.Pool), time.Second
	}
	if s.allSlow(now, j) {
		return "engines would be too slow between tokens", s.comeBack(now, 0)
	}
	f := s.firstToken(now, j)
	if f.After(j.Deadline) && !s.probe(now, j) {
		return "first token would be late", s.comeBack(now, f.Sub(j.Deadline))
	}
	return "", 0
}

// probe reports whether j is admitted against the estimates, so that wrong
// ones are corrected: several jobs in a row were refused, none has been
// prefilled for long, and the prefill engines are idle.
func (s *Scheduler) probe(now time.Time, j *job) bool {
	s.late++
	if s.late < probeAfter || now.Sub(s.prefilledAt) < probeEvery || !now.Before(j.Deadline) || !s.idle() {
		return false
	}
	s.late = 0
	s.prefilledAt = now
	j.probe = true
	j.latestStart = j.Deadline
	return true
}

// idle reports whether nothing waits and no prefill engine works.
func (s *Scheduler) idle() bool {
	for _, e := range s.prefill {
		if len(e.jobs) > 0 {
			return false
		}
	}
	return s.queue.Len() == 0 && len(s.pending) == 0
}

// allSlow reports whether every engine would break the target between tokens.
func (s *Scheduler) allSlow(now time.Time, j *job) bool {
	for _, e := range s.decode {
		if !e.slow(j) && e.usable(now) {
			return false
		}
	}
	return len(s.decode) > 0 && s.decode[0].interval > 0
}

// firstToken estimates when a job that joins the queue now has its first
// token.
func (s *Scheduler) firstToken(now time.Time, j *job) time.Time {
	a := s.queue.Ahead(j.Key.Account, j.Priority)
	p := s.prefillWait(now, a) + j.cost
	d := s.slotWait(now, a)
	return now.Add(max(p, d) + seconds(s.interval))
}

// prefillWait estimates the time until an engine begins the prefill of a job
// with ahead jobs before it.
func (s *Scheduler) prefillWait(now time.Time, ahead int) time.Duration {
	var l time.Duration
	f := time.Duration(math.MaxInt64)
	var n int
	for _, e := range s.prefill {
		if !e.usable(now) {
			continue
		}
		n++
		b := max(0, e.busy.Sub(now))
		f = min(f, b)
		l += b
	}
	if n == 0 {
		return silence
	}
	if ahead == 0 {
		return f
	}
	return (l + seconds(s.cost*float64(ahead))) / time.Duration(n)
}

// slotWait estimates the time until a slot is free for a job with ahead jobs
// before it. It is zero while no answer has ended: a job is not refused for
// lack of knowledge.
func (s *Scheduler) slotWait(now time.Time, ahead int) time.Duration {
	n := ahead + 1 + len(s.pending)
	for _, e := range s.decode {
		if e.usable(now) {
			n -= max(0, e.server.Slots-len(e.jobs))
		}
	}
	if n <= 0 || s.tokens == 0 {
		return 0
	}
	return seconds(float64(n) / s.slotRate(now))
}

// comeBack returns when a caller that was refused for lack of the time late
// may come back. Callers are spread at the rate at which jobs are served.
func (s *Scheduler) comeBack(now time.Time, late time.Duration) time.Duration {
	t := now.Add(max(minReturn, late))
	if s.nextReturn.After(t) {
		t = s.nextReturn
	}
	if l := now.Add(maxReturn); t.After(l) {
		t = l
	}
	s.nextReturn = t.Add(seconds(1 / s.serviceRate(now)))
	return t.Sub(now)
}

func (s *Scheduler) enqueue(j *job) {
	s.jobs[j.Key] = j
	s.queue.Push(j.Key, j.Priority, j.Deadline)
	heap.Push(&s.latest, j)
}

func (s *Scheduler) dequeue(j *job) {
	s.queue.Remove(j.Key)
	heap.Remove(&s.latest, j.heapIndex)
}

// dropHopeless refuses the queued jobs whose first token is late for certain.
func (s *Scheduler) dropHopeless(now time.Time) {
	for len(s.latest) > 0 && s.latest[0].latestStart.Before(now) {
		j := s.latest[0]
		t := s.comeBack(now, 0)
		s.release(now, j)
		s.refuse(j, "first token would be late", t)
	}
}

func (s *Scheduler) refuse(j *job, reason string, after time.Duration) {
	s.decisions = append(s.decisions, sardineknot.Decision{
		Key:        j.Key,
		Action:     sardineknot.ActionRefuse,
		Reason:     reason,
		RetryAfter: after,
	})
}
