package timed

import (
	"sort"
	"time"

	"sardineknot.example/sardineknot"
)

const (
	// lookahead is the work that a prefill engine may have left when it is
	// sent the next job.
	lookahead = 40 * time.Millisecond
	// cachedLookahead is the same for an engine that has prefixes of the job.
	cachedLookahead = 300 * time.Millisecond
	// guard is kept between the end of a transfer and the end of the life of a
	// prefill's result.
	guard = 100 * time.Millisecond
	// slack is kept between the expected first token and the deadline.
	slack = 120 * time.Millisecond
)

// choice is a way to run a job.
type choice struct {
	prefill *engine
	// decode is nil if no slot is free.
	decode   *engine
	hits     int
	cost     time.Duration
	end      time.Time
	transfer time.Duration
	// score orders choices. The lowest is best.
	score time.Duration
}

// pump starts queued jobs in order, as long as engines and slots allow.
func (s *Scheduler) pump(now time.Time) {
	for {
		k, ok := s.queue.Peek()
		if !ok || !s.start(now, s.jobs[k]) {
			return
		}
	}
}

// start sends j to a prefill engine or refuses it. It reports false if j has
// to wait.
func (s *Scheduler) start(now time.Time, j *job) bool {
	c, ok := s.choose(now, j)
	if !ok {
		return false
	}
	f := c.end.Add(c.transfer + seconds(s.interval) + slack)
	if f.After(j.Deadline) && !j.probe {
		t := s.comeBack(now, f.Sub(j.Deadline))
		s.release(now, j)
		s.refuse(j, "first token would be late", t)
		return true
	}
	if c.decode == nil && !s.slotExpected(now, j, c) {
		return false
	}
	s.startPrefill(now, j, c)
	return true
}

// slotExpected reports whether a slot will become free in time for c.
func (s *Scheduler) slotExpected(now time.Time, j *job, c choice) bool {
	b := c.end.Add(s.Life - guard)
	l := j.Deadline.Add(-seconds(s.interval) - slack)
	if l.Before(b) {
		b = l
	}
	return s.supply(now, b, j, c.prefill.server.Zone) >= float64(len(s.pending)+1)
}

func (s *Scheduler) startPrefill(now time.Time, j *job, c choice) {
	s.dequeue(j)
	s.queue.Hold(j.Key.Account, 1)
	j.state = prefilling
	j.prefill, j.from = c.prefill, c.prefill.server.Zone
	j.hits, j.cost = c.hits, c.cost
	j.began, j.due = now, c.end
	c.prefill.breaker.Begin(now)
	c.prefill.add(j, 0)
	c.prefill.busy = c.end
	s.prefixes.Record(j.Prefixes, c.prefill.server.Name)
	s.decide(j, sardineknot.ActionPrefill, c.prefill)
	if c.decode != nil {
		s.reserve(j, c.decode)
		return
	}
	i := sort.Search(len(s.pending), func(i int) bool { return s.pending[i].due.After(j.due) })
	s.pending = append(s.pending, nil)
	copy(s.pending[i+1:], s.pending[i:])
	s.pending[i] = j
}

// choose returns the best way to run j now. ok is false if j has to wait for a
// prefill engine.
func (s *Scheduler) choose(now time.Time, j *job) (best choice, ok bool) {
	z := make([]path, 0, maxZones)
	for _, e := range s.prefill {
		h := s.prefixes.Match(j.Prefixes, e.server.Name)
		a := lookahead
		if h > 0 {
			a = cachedLookahead
		}
		if !e.usable(now) || !e.accepts(now, a) {
			continue
		}
		var p path
		p, z = s.path(now, j, e.server.Zone, z)
		c := s.weigh(now, j, e, h, p)
		if !ok || c.score < best.score {
			best, ok = c, true
		}
	}
	return best, ok
}

// weigh works out the times of j on prefill engine e. The score counts the
// work of the prefill beside the time of its end, so that caches are used.
func (s *Scheduler) weigh(now time.Time, j *job, e *engine, hits int, p path) choice {
	b := now
	if e.busy.After(b) && len(e.jobs) > 0 {
		b = e.busy
	}
	c := choice{prefill: e, decode: p.decode, hits: hits, transfer: p.transfer}
	c.cost = s.prefillCost(j.PromptTokens, hits)
	c.end = b.Add(c.cost)
	c.score = c.end.Sub(now) + c.cost + c.transfer
	if p.transfer > s.Life-guard {
		c.score += time.Minute
	}
	return c
}
