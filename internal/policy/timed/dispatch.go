package timed

import (
	"sort"
	"time"

	"sardineknot.example/sardineknot"
)

const (
	// maxBacklog limits the work that is sent to a prefill engine in advance.
	// The engine receives its next job only once its remaining work takes at
	// most maxBacklog.
	maxBacklog = 40 * time.Millisecond
	// maxCachedBacklog replaces maxBacklog for an engine that has already
	// received prefixes of the job's prompt.
	maxCachedBacklog = 300 * time.Millisecond
	// transferMargin is the minimum time between the end of the transfer of a
	// KV cache and the time at which the prefill engine discards the cache.
	transferMargin = 100 * time.Millisecond
	// firstTokenMargin is reserved between the expected first token and the
	// deadline.
	firstTokenMargin = 120 * time.Millisecond
)

// choice is a candidate assignment of a job to engines, with its predicted
// times.
type choice struct {
	prefill *engine
	// decode is nil if no slot is free.
	decode      *engine
	prefixHits  int
	prefillTime time.Duration
	prefillEnd  time.Time
	transfer    time.Duration
	// score ranks choices. The lowest is best.
	score time.Duration
}

// startQueued starts or refuses queued jobs in their order until one has to
// wait for an engine or a slot.
func (s *Scheduler) startQueued(now time.Time) {
	for {
		k, ok := s.queue.Peek()
		if !ok || !s.start(now, s.jobs[k]) {
			return
		}
	}
}

// start sends j to a prefill engine or refuses it. It returns false if j has to
// wait.
func (s *Scheduler) start(now time.Time, j *job) bool {
	c, ok := s.choose(now, j)
	if !ok {
		return false
	}
	f := c.prefillEnd.Add(c.transfer + seconds(s.tokenInterval) + firstTokenMargin)
	if f.After(j.FirstTokenDeadline) && !j.admittedAsProbe {
		t := s.retryAfter(now, f.Sub(j.FirstTokenDeadline))
		s.remove(now, j)
		s.refuse(j, "first token would be late", t)
		return true
	}
	if c.decode == nil && !s.slotExpected(now, j, c) {
		return false
	}
	s.startPrefill(now, j, c)
	return true
}

// slotExpected reports whether, besides the slots for the pending jobs, another
// slot is expected to become free in time for j under the candidate choice.
func (s *Scheduler) slotExpected(now time.Time, j *job, candidate choice) bool {
	b := candidate.prefillEnd.Add(s.ResultLifetime - transferMargin)
	l := j.FirstTokenDeadline.Add(-seconds(s.tokenInterval) - firstTokenMargin)
	if l.Before(b) {
		b = l
	}
	return s.slotSupply(now, b, j, candidate.prefill.server.Zone) >= float64(len(s.pending)+1)
}

// startPrefill sends j to the prefill engine of candidate. If candidate has a
// decode engine, it reserves a slot there, and otherwise adds j to the pending
// jobs.
func (s *Scheduler) startPrefill(now time.Time, j *job, candidate choice) {
	s.dequeue(j)
	s.queue.AddRunning(j.Key.Account, 1)
	j.state = prefilling
	j.prefill, j.prefillZone = candidate.prefill, candidate.prefill.server.Zone
	j.prefixHits, j.prefillTime = candidate.prefixHits, candidate.prefillTime
	j.stateStart, j.expectedEnd = now, candidate.prefillEnd
	candidate.prefill.breaker.Begin(now)
	candidate.prefill.add(j, prefillSide)
	candidate.prefill.busyUntil = candidate.prefillEnd
	s.prefixes.Record(j.PrefixHashes, candidate.prefill.server.Name)
	s.decide(j, sardineknot.ActionPrefill, candidate.prefill)
	if candidate.decode != nil {
		s.reserveSlot(j, candidate.decode)
		return
	}
	i := sort.Search(len(s.pending), func(i int) bool { return s.pending[i].expectedEnd.After(j.expectedEnd) })
	s.pending = append(s.pending, nil)
	copy(s.pending[i+1:], s.pending[i:])
	s.pending[i] = j
}

// choose returns the best assignment of j at time now. ok is false if j has to
// wait for a prefill engine.
func (s *Scheduler) choose(now time.Time, j *job) (best choice, ok bool) {
	z := make([]path, 0, typicalZones)
	for _, e := range s.prefill {
		h := s.prefixes.Match(j.PrefixHashes, e.server.Name)
		a := maxBacklog
		if h > 0 {
			a = maxCachedBacklog
		}
		if !e.usable(now) || !e.accepts(now, a) {
			continue
		}
		var p path
		p, z = s.path(now, j, e.server.Zone, z)
		c := s.evaluate(now, j, e, h, p)
		if !ok || c.score < best.score {
			best, ok = c, true
		}
	}
	return best, ok
}

// evaluate predicts the times of j if e prefills its prompt. target is the best
// path from the zone of e. The score adds the duration of the prefill to the
// time of its end, which favors engines with cached prefixes.
func (s *Scheduler) evaluate(now time.Time, j *job, e *engine, prefixHits int, target path) choice {
	b := now
	if e.busyUntil.After(b) && len(e.jobs) > 0 {
		b = e.busyUntil
	}
	c := choice{prefill: e, decode: target.decode, prefixHits: prefixHits, transfer: target.transfer}
	c.prefillTime = s.estimatePrefill(j.PromptTokens, prefixHits)
	c.prefillEnd = b.Add(c.prefillTime)
	c.score = c.prefillEnd.Sub(now) + c.prefillTime + c.transfer
	if target.transfer > s.ResultLifetime-transferMargin {
		c.score += time.Minute
	}
	return c
}
