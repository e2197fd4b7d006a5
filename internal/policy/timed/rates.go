package timed

import (
	"math"
	"time"

	"sardineknot.example/sardineknot"
)

const (
	// ewmaWeight is the weight of a new observation in the moving averages.
	ewmaWeight = 0.1
	// minPrefillTokens is the least number of tokens that a prefill is assumed
	// to process.
	minPrefillTokens = 64
	// refreshInterval is the minimum time between updates of
	// rates.freeingRate, the rate at which decode slots become free.
	refreshInterval = 25 * time.Millisecond
	// rateHorizon is the length of the period after an update for which
	// rates.freeingRate is predicted.
	rateHorizon = time.Second
	// supplyMargin is the safety margin that slotSupply subtracts from the
	// predicted number of slots, in standard deviations of that number.
	supplyMargin = 2.0
	// minRate is a lower bound of the results of slotRate and serviceRate, in
	// jobs per second. It keeps the waits finite that are estimated from them.
	minRate = 0.02
	// initialRetryRate is a lower bound of the rate at which refused callers
	// may retry, in callers per second. It applies until the first answer has
	// ended.
	initialRetryRate = 5
)

// rates holds estimates that are derived from events.
type rates struct {
	// prefillPerToken is the time that a prefill takes for each prompt token
	// that it processes, in seconds per token.
	prefillPerToken float64
	// tokenInterval is the mean time between two tokens, in seconds.
	tokenInterval float64
	// lastPrefillAt is the end of the last prefill or the time of the last
	// probe, whichever is later.
	lastPrefillAt time.Time
	// latePredictions counts the jobs since lastPrefillAt whose first token was
	// predicted to be late.
	latePredictions int
	// meanPrefillTime is the mean duration of a prefill, in seconds.
	meanPrefillTime float64
	// meanTokens is the mean length of an answer, in tokens. Zero means that no
	// answer has ended.
	meanTokens float64
	// freeingRate is the number of decode slots that are expected to become
	// free per second, as computed at freeingRateAt. A zero freeingRateAt makes
	// the next call of updateFreeingRate recompute it.
	freeingRate   float64
	freeingRateAt time.Time
	delayEstimate
	calibration
	// nextRetry is the earliest retry time for the next refused caller.
	nextRetry time.Time
	// nextExpiry is the time of the next search for lost jobs.
	nextExpiry time.Time
	// nextRecheck is the time at which the scheduler checks again whether
	// waiting jobs can start or have to be refused.
	nextRecheck time.Time
}

// ewma returns the moving average mean after sample was added with the given
// weight. A mean of zero is replaced by sample.
func ewma(mean, sample, weight float64) float64 {
	if mean == 0 {
		return sample
	}
	return mean + weight*(sample-mean)
}

// observePrefill updates meanPrefillTime and prefillPerToken with the duration
// of j's prefill. A prefill that took far longer than expected from the cached
// prefixes shows that the engine has evicted these prefixes. In that case
// observePrefill only records that the engine no longer has the prefixes of j.
func (s *Scheduler) observePrefill(now time.Time, j *job) {
	s.lastPrefillAt, s.latePredictions = now, 0
	g := ewmaWeight
	if j.admittedAsProbe {
		g = 1
	}
	e := j.prefill
	b := j.stateStart
	if e.lastPrefillEnd.After(b) {
		b = e.lastPrefillEnd
	}
	t := max(0, now.Add(-s.eventDelay).Sub(b).Seconds())
	if j.prefixHits > 0 && t > 2*j.prefillTime.Seconds() && t > s.prefillPerToken*float64(j.PromptTokens)/2 {
		s.prefixes.Forget(j.PrefixHashes, e.server.Name)
		return
	}
	s.meanPrefillTime = ewma(s.meanPrefillTime, t, g)
	n := j.PromptTokens - j.prefixHits*sardineknot.TokensPerMemoryPiece
	if n >= minPrefillTokens {
		s.prefillPerToken = ewma(s.prefillPerToken, t/float64(n), g)
	}
}

// observeAnswer updates the estimates of answer lengths and of the time between
// tokens with the length and duration of j's answer.
func (s *Scheduler) observeAnswer(now time.Time, j *job, tokens int) {
	if j.state != decoding || tokens < 2 {
		return
	}
	s.lengths.Observe(j.Key.Account, j.Work, tokens)
	s.meanTokens = ewma(s.meanTokens, float64(tokens), ewmaWeight)
	t := now.Sub(j.stateStart).Seconds() / float64(tokens-1)
	s.tokenInterval = ewma(s.tokenInterval, t, ewmaWeight)
	j.decode.tokenInterval = ewma(j.decode.tokenInterval, t, 3*ewmaWeight)
}

// updateFreeingRate recomputes how many slots become free per second, at most
// once per refreshInterval.
func (s *Scheduler) updateFreeingRate(now time.Time) {
	if now.Sub(s.freeingRateAt) < refreshInterval && !s.freeingRateAt.IsZero() {
		return
	}
	s.freeingRateAt = now
	m := rateHorizon.Seconds() / s.tokenInterval
	s.freeingRate = 0
	for _, e := range s.decode {
		e.freeingRate = 0
		if e.removed || !e.breaker.Allow(now) {
			continue
		}
		for _, j := range e.jobs {
			e.freeingRate += s.endProbability(now, j, m) / rateHorizon.Seconds()
		}
		s.freeingRate += e.freeingRate
	}
	s.freeingRate = s.calibrate(now, s.freeingRate)
}

// endProbability returns the probability that the answer of j ends within the
// given number of further tokens.
func (s *Scheduler) endProbability(now time.Time, j *job, tokens float64) float64 {
	if j.state != decoding {
		return 0
	}
	d := now.Sub(j.stateStart).Seconds() / s.tokenInterval
	return s.lengths.EndProbability(j.Key.Account, j.Work, d, tokens, j.MaxTokens)
}

// slotSupply returns the number of slots suitable for j that will almost
// certainly become free in time: the KV cache of j, which is in the given zone,
// has to arrive at the slot's engine before deadline.
func (s *Scheduler) slotSupply(now, deadline time.Time, j *job, zone sardineknot.AvailabilityZone) float64 {
	s.updateFreeingRate(now)
	var m float64
	for _, e := range s.decode {
		if !e.fitsAfterRelease(j) || !e.usable(now) || e.tooSlow(j) {
			continue
		}
		t, _ := s.links.Predict(now, zone, e.server.Zone, j.cacheBytes)
		m += e.freeingRate * max(0, (deadline.Sub(now)-t).Seconds())
	}
	m *= s.ratio
	return m - supplyMargin*math.Sqrt(m)
}

// slotRate returns the number of slots that become free per second. It is at
// least the long-term rate implied by the mean answer length.
func (s *Scheduler) slotRate(now time.Time) float64 {
	s.updateFreeingRate(now)
	var n int
	for _, e := range s.decode {
		n += len(e.jobs)
	}
	m := 0.0
	if s.meanTokens > 0 {
		m = float64(n) / (s.meanTokens * s.tokenInterval)
	}
	return max(minRate, s.freeingRate, m)
}

// serviceRate returns the number of jobs that the pool starts per second while
// others wait.
func (s *Scheduler) serviceRate(now time.Time) float64 {
	r := s.slotRate(now)
	if s.meanTokens == 0 {
		r = max(r, initialRetryRate)
	}
	if s.meanPrefillTime > 0 {
		r = min(r, float64(len(s.prefill))/s.meanPrefillTime)
	}
	return max(minRate, r)
}
