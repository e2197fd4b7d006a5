package timed

import (
	"math"
	"time"

	"sardineknot.example/sardineknot"
)

const (
	// gain is the weight of a new observation in the estimates.
	gain = 0.1
	// minPrefillTokens is the least work of a prefill, in tokens.
	minPrefillTokens = 64
	// refreshEvery is the time after which the freeing rate is worked out
	// again.
	refreshEvery = 25 * time.Millisecond
	// horizon is the time over which the freeing rate is averaged.
	horizon = time.Second
	// margin is the number of standard deviations by which fewer slots than
	// expected may become free.
	margin = 2.0
	// minRate keeps estimated waits finite, in jobs a second.
	minRate = 0.02
	// unknownRate is the number of callers that may come back in a second
	// while no answer has ended.
	unknownRate = 5
)

// rates are estimates learned from events.
type rates struct {
	// perToken is the time to prefill one token, in seconds.
	perToken float64
	// interval is the time between two tokens, in seconds.
	interval float64
	// prefilledAt is the end of the last prefill, or the last probe.
	prefilledAt time.Time
	// late counts the jobs that were refused since then.
	late int
	// cost is the mean time of a prefill, in seconds.
	cost float64
	// tokens is the mean length of an answer, in tokens.
	tokens float64
	// freeing is the number of slots that are expected to become free in a
	// second. It was worked out at freeingAt.
	freeing   float64
	freeingAt time.Time
	lag
	calibration
	// nextReturn is the time that the next refused caller may come back at.
	nextReturn time.Time
	// expireAt is the time of the next search for lost jobs.
	expireAt time.Time
	// wakeAt is the time at which waiting jobs are looked at again.
	wakeAt time.Time
}

func learn(old, seen, weight float64) float64 {
	if old == 0 {
		return seen
	}
	return old + weight*(seen-old)
}

// learnPrefill takes the duration of j's prefill.
func (s *Scheduler) learnPrefill(now time.Time, j *job) {
	s.prefilledAt, s.late = now, 0
	g := gain
	if j.probe {
		g = 1
	}
	e := j.prefill
	b := j.began
	if e.last.After(b) {
		b = e.last
	}
	t := max(0, now.Add(-s.delay).Sub(b).Seconds())
	if j.hits > 0 && t > 2*j.cost.Seconds() && t > s.perToken*float64(j.PromptTokens)/2 {
		s.prefixes.Forget(j.Prefixes, e.server.Name)
		return
	}
	s.cost = learn(s.cost, t, g)
	n := j.PromptTokens - j.hits*sardineknot.PieceTokens
	if n >= minPrefillTokens {
		s.perToken = learn(s.perToken, t/float64(n), g)
	}
}

// learnDecode takes the length and duration of j's answer.
func (s *Scheduler) learnDecode(now time.Time, j *job, tokens int) {
	if j.state != decoding || tokens < 2 {
		return
	}
	s.lengths.Observe(j.Key.Account, j.Work, tokens)
	s.tokens = learn(s.tokens, float64(tokens), gain)
	t := now.Sub(j.began).Seconds() / float64(tokens-1)
	s.interval = learn(s.interval, t, gain)
	j.decode.interval = learn(j.decode.interval, t, 3*gain)
}

// refresh works out how many slots become free in a second.
func (s *Scheduler) refresh(now time.Time) {
	if now.Sub(s.freeingAt) < refreshEvery && !s.freeingAt.IsZero() {
		return
	}
	s.freeingAt = now
	m := horizon.Seconds() / s.interval
	s.freeing = 0
	for _, e := range s.decode {
		e.freeing = 0
		if e.gone || !e.breaker.Allow(now) {
			continue
		}
		for _, j := range e.jobs {
			e.freeing += s.finishing(now, j, m) / horizon.Seconds()
		}
		s.freeing += e.freeing
	}
	s.freeing = s.correct(now, s.freeing)
}

// finishing returns the probability that j ends within the next more tokens.
func (s *Scheduler) finishing(now time.Time, j *job, more float64) float64 {
	if j.state != decoding {
		return 0
	}
	d := now.Sub(j.began).Seconds() / s.interval
	return s.lengths.Finishing(j.Key.Account, j.Work, d, more, j.MaxTokens)
}

// supply returns a number of slots for j that will almost surely have become
// free early enough for a transfer that ends by the time by.
func (s *Scheduler) supply(now, by time.Time, j *job, from sardineknot.AvailabilityZone) float64 {
	s.refresh(now)
	var m float64
	for _, e := range s.decode {
		if !e.wouldFit(j) || !e.usable(now) || e.slow(j) {
			continue
		}
		t, _ := s.links.Predict(now, from, e.server.Zone, j.bytes)
		m += e.freeing * max(0, (by.Sub(now)-t).Seconds())
	}
	m *= s.ratio
	return m - margin*math.Sqrt(m)
}

// slotRate returns the number of slots that become free in a second. Over a
// longer time it is no less than with answers of the mean length.
func (s *Scheduler) slotRate(now time.Time) float64 {
	s.refresh(now)
	var n int
	for _, e := range s.decode {
		n += len(e.jobs)
	}
	m := 0.0
	if s.tokens > 0 {
		m = float64(n) / (s.tokens * s.interval)
	}
	return max(minRate, s.freeing, m)
}

// serviceRate returns the number of jobs that the pool starts in a second
// while others wait.
func (s *Scheduler) serviceRate(now time.Time) float64 {
	r := s.slotRate(now)
	if s.tokens == 0 {
		r = max(r, unknownRate)
	}
	if s.cost > 0 {
		r = min(r, float64(len(s.prefill))/s.cost)
	}
	return max(minRate, r)
}
