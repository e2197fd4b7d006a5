package memory

import (
	"math"
	"slices"
	"time"
)

const (
	// paceHalfLife is the time in which half of what is known about the speed
	// of an engine is forgotten, unless it is observed again. An engine that
	// gets no jobs because it was slow is thus tried again.
	paceHalfLife = 2 * time.Second
	// prefillPaceWeight is the weight of one prefill in the moving average of an
	// engine's prefill pace.
	prefillPaceWeight = 0.4
	// maxPrefillPace limits one observation of the prefill pace.
	maxPrefillPace = 8
	// minRelativeRate is a lower bound of the relative token rate.
	minRelativeRate = 0.1
	// slowRate is the relative token rate below which an engine counts as slow.
	// It then gets only jobs whose targets it is expected to keep. slowPrefill is
	// the prefill pace above which an engine counts as slow. Smaller differences
	// come from the load of engines and the delay of events.
	slowRate    = 0.6
	slowPrefill = 2
)

// pace is the speed of an engine, derived from the events of its jobs.
type pace struct {
	// tokenRate is the number of tokens that one answer generates per second.
	// tokensSeenAt is the time of the last observation, or zero.
	tokenRate    ewma
	tokensSeenAt time.Time
	// prefillRatio is the duration of prefills relative to the one expected from
	// their prompts. prefillSeenAt is the time of the last observation, or zero.
	prefillRatio  ewma
	prefillSeenAt time.Time
}

func newPace() pace {
	return pace{tokenRate: ewma{value: initialTokensPerSecond}, prefillRatio: ewma{value: 1}}
}

// observeTokens records that an answer has generated tokens within elapsed.
func (p *pace) observeTokens(now time.Time, tokens float64, elapsed time.Duration) {
	p.tokenRate.add(tokens / elapsed.Seconds())
	p.tokensSeenAt = now
}

// observePrefill records that a prefill which was expected to end after
// expected has taken elapsed.
func (p *pace) observePrefill(now time.Time, expected, elapsed time.Duration) {
	if expected <= 0 {
		return
	}
	p.prefillRatio.addWeighted(min(maxPrefillPace, elapsed.Seconds()/expected.Seconds()), prefillPaceWeight)
	p.prefillSeenAt = now
}

// prefillPace returns the expected duration of a prefill relative to the usual
// one. It is 1 unless the engine is slow.
func (p *pace) prefillPace(now time.Time) float64 {
	v := faded(now, p.prefillSeenAt, p.prefillRatio.value)
	if v < slowPrefill {
		return 1
	}
	return v
}

// relativeRate returns the token rate relative to typical, the rate of most
// engines, but at least minRelativeRate. It is 1 unless the engine is slow.
func (p *pace) relativeRate(now time.Time, typical float64) float64 {
	if typical <= 0 {
		return 1
	}
	v := faded(now, p.tokensSeenAt, p.tokenRate.value/typical)
	if v >= slowRate {
		return 1
	}
	return max(minRelativeRate, v)
}

// faded returns value, a ratio observed at the time seenAt, moved towards 1 by
// the time that has passed since then.
func faded(now, seenAt time.Time, value float64) float64 {
	if seenAt.IsZero() {
		return 1
	}
	return 1 + (value-1)*math.Exp2(-float64(now.Sub(seenAt))/float64(paceHalfLife))
}

// typicalTokenRate returns the median token rate of those decode engines whose
// rate was observed, or zero if there is none.
func (s *Scheduler) typicalTokenRate() float64 {
	r := s.rates[:0]
	for _, e := range s.decode {
		if !e.tokensSeenAt.IsZero() {
			r = append(r, e.tokenRate.value)
		}
	}
	s.rates = r
	if len(r) == 0 {
		return 0
	}
	slices.Sort(r)
	return r[len(r)/2]
}

// keepsTargets reports whether e is expected to finish the answer of j before
// the caller stops waiting, and with pauses within the target of j.
func (e *engine) keepsTargets(now time.Time, j *job) bool {
	r := max(1, e.tokenRate.value)
	if j.PerToken > 0 && seconds(float64(e.server.EventTokens)/r) > j.PerToken {
		return false
	}
	t := seconds(j.length.expectedTotal(0) / r)
	return !now.Add(j.prefillTime + t).After(j.CallerDeadline)
}
