package timed

import (
	"container/heap"
	"math"
	"time"

	"sardineknot.example/sardineknot"
)

const (
	// reservedQuantile is the quantile of the answer length for which memory is
	// reserved.
	reservedQuantile = 0.8
	// minRetryAfter and maxRetryAfter bound the time after which refused
	// callers may retry.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 20 * time.Second
	// probeInterval and minLatePredictions limit probes. A job whose first
	// token is predicted to be late is nevertheless admitted, as a probe, if at
	// least minLatePredictions jobs in a row, including this one, had such a
	// prediction, and for probeInterval no prefill has ended and no other probe
	// was admitted.
	probeInterval      = time.Second
	minLatePredictions = 3
)

// admit returns the reason for which j is refused and the time after which its
// caller may retry. The reason is empty if j is admitted.
func (s *Scheduler) admit(now time.Time, j *job) (reason string, after time.Duration) {
	if len(s.prefill) == 0 || len(s.decode) == 0 {
		return "no engine serves " + string(j.Pool), time.Second
	}
	if s.allTooSlow(now, j) {
		return "engines would be too slow between tokens", s.retryAfter(now, 0)
	}
	f := s.firstToken(now, j)
	if f.After(j.FirstTokenDeadline) && !s.admitProbe(now, j) {
		return "first token would be late", s.retryAfter(now, f.Sub(j.FirstTokenDeadline))
	}
	return "", 0
}

// admitProbe reports whether j is admitted as a probe although its first token
// is predicted to be late. Probes correct wrong estimates, which would
// otherwise refuse all jobs forever. A probe requires that at least
// minLatePredictions jobs in a row, including j, were predicted to be late,
// that no prefill has ended and no other probe was admitted for probeInterval,
// and that no jobs are waiting or prefilling.
func (s *Scheduler) admitProbe(now time.Time, j *job) bool {
	s.latePredictions++
	if s.latePredictions < minLatePredictions || now.Sub(s.lastPrefillAt) < probeInterval || !now.Before(j.FirstTokenDeadline) || !s.idle() {
		return false
	}
	s.latePredictions = 0
	s.lastPrefillAt = now
	j.admittedAsProbe = true
	j.latestStart = j.FirstTokenDeadline
	return true
}

// idle reports whether no job waits and no prefill engine has work.
func (s *Scheduler) idle() bool {
	for _, e := range s.prefill {
		if len(e.jobs) > 0 {
			return false
		}
	}
	return s.queue.Len() == 0 && len(s.pending) == 0
}

// allTooSlow reports whether every usable decode engine would miss the latency
// target between tokens of j.
func (s *Scheduler) allTooSlow(now time.Time, j *job) bool {
	for _, e := range s.decode {
		if !e.tooSlow(j) && e.usable(now) {
			return false
		}
	}
	return len(s.decode) > 0 && s.decode[0].tokenInterval > 0
}

// firstToken estimates the time of the first token of a job that joins the
// queue now.
func (s *Scheduler) firstToken(now time.Time, j *job) time.Time {
	a := s.queue.Ahead(j.Key.Account, j.Priority)
	p := s.prefillWait(now, a) + j.prefillTime
	d := s.slotWait(now, a)
	return now.Add(max(p, d) + seconds(s.tokenInterval))
}

// prefillWait estimates the time until an engine starts the prefill of a job.
// ahead is the number of waiting jobs that are served before that job.
func (s *Scheduler) prefillWait(now time.Time, ahead int) time.Duration {
	var l time.Duration
	f := time.Duration(math.MaxInt64)
	var n int
	for _, e := range s.prefill {
		if !e.usable(now) {
			continue
		}
		n++
		b := max(0, e.busyUntil.Sub(now))
		f = min(f, b)
		l += b
	}
	if n == 0 {
		return eventTimeout
	}
	if ahead == 0 {
		return f
	}
	return (l + seconds(s.meanPrefillTime*float64(ahead))) / time.Duration(n)
}

// slotWait estimates the time until a decode slot is free for a job. ahead is
// the number of waiting jobs that are served before that job. slotWait returns
// zero until the first answer has ended, so that no job is refused for lack of
// observations.
func (s *Scheduler) slotWait(now time.Time, ahead int) time.Duration {
	n := ahead + 1 + len(s.pending)
	for _, e := range s.decode {
		if e.usable(now) {
			n -= max(0, e.server.Slots-len(e.jobs))
		}
	}
	if n <= 0 || s.meanTokens == 0 {
		return 0
	}
	return seconds(float64(n) / s.slotRate(now))
}

// retryAfter returns the time after which a refused caller may retry. late is
// the time by which the first token would have missed its deadline. Retries are
// spaced at the rate at which jobs are served.
func (s *Scheduler) retryAfter(now time.Time, late time.Duration) time.Duration {
	t := now.Add(max(minRetryAfter, late))
	if s.nextRetry.After(t) {
		t = s.nextRetry
	}
	if l := now.Add(maxRetryAfter); t.After(l) {
		t = l
	}
	s.nextRetry = t.Add(seconds(1 / s.serviceRate(now)))
	return t.Sub(now)
}

// enqueue holds j as queued.
func (s *Scheduler) enqueue(j *job) {
	s.jobs[j.Key] = j
	s.queue.Push(j.Key, j.Priority, j.FirstTokenDeadline)
	heap.Push(&s.byLatestStart, j)
}

// dequeue takes j out of the queue, but not out of jobs.
func (s *Scheduler) dequeue(j *job) {
	s.queue.Remove(j.Key)
	heap.Remove(&s.byLatestStart, j.heapIndex)
}

// refuseLate refuses the queued jobs whose latest start has passed.
func (s *Scheduler) refuseLate(now time.Time) {
	for len(s.byLatestStart) > 0 && s.byLatestStart[0].latestStart.Before(now) {
		j := s.byLatestStart[0]
		t := s.retryAfter(now, 0)
		s.remove(now, j)
		s.refuse(j, "first token would be late", t)
	}
}

// refuse adds the decision that j is refused. It does not remove j.
func (s *Scheduler) refuse(j *job, reason string, after time.Duration) {
	s.decisions = append(s.decisions, sardineknot.Decision{
		Key:        j.Key,
		Action:     sardineknot.ActionRefuse,
		Reason:     reason,
		RetryAfter: after,
	})
}
