package memory

import (
	"math"
	"slices"
	"time"

	"sardineknot.example/sardineknot"
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
	// minObservedPrefill is the shortest prefill from which a speed is learned. The
	// delays of its grant and of the report of its end are some milliseconds.
	minObservedPrefill = 20 * time.Millisecond
	// minRelativeRate is a lower bound of the relative token rate.
	minRelativeRate = 0.1
	// slowRate is the relative token rate below which an engine counts as slow.
	// It then gets only jobs whose targets it is expected to keep. slowPrefill is
	// the prefill pace above which an engine counts as slow. Smaller differences
	// come from the load of engines and the delay of events.
	slowRate    = 0.6
	slowPrefill = 2
)

// pace is the speed of an engine, derived from the events of its jobs. The lasting
// speed is learned slowly and kept; the recent one shows a disturbance and is
// forgotten within seconds.
type pace struct {
	speeds *speeds
	// tokenRate is the number of tokens that one answer generates per second, in
	// the last seconds. tokensSeenAt is the time of the last observation, or zero.
	tokenRate    ewma
	tokensSeenAt time.Time
	// prefillRatio is the duration of the last prefills relative to the one
	// expected from their prompts and the lasting speed. prefillSeenAt is the time
	// of the last observation, or zero.
	prefillRatio  ewma
	prefillSeenAt time.Time
	// prefillEndedAt is the time at which the last prefill ended.
	prefillEndedAt time.Time
}

// newPace returns the pace of a server with the given lasting speeds.
func newPace(lasting *speeds) pace {
	r := float64(initialTokensPerSecond)
	if lasting.tokens.count > 0 {
		r = lasting.tokens.value
	}
	return pace{speeds: lasting, tokenRate: ewma{value: r}, prefillRatio: ewma{value: 1}}
}

// observeTokens records that an answer has generated tokens within elapsed.
func (p *pace) observeTokens(now time.Time, tokens float64, elapsed time.Duration) {
	r := tokens / elapsed.Seconds()
	p.speeds.tokens.observe(now, r)
	p.tokenRate.add(r)
	p.tokensSeenAt = now
}

// observePrefill records the end of a prefill that began at startedAt, or at the
// end of the one before it if that is later: an engine prefills one prompt after
// the other. Prefills that take less than minObservedPrefill are ignored, because
// the delay of events is a large part of their duration.
func (p *pace) observePrefill(now, startedAt time.Time, promptTokens int, typical typicalSpeeds) {
	d := now.Sub(later(startedAt, p.prefillEndedAt))
	p.prefillEndedAt = now
	if d < minObservedPrefill || promptTokens <= 0 {
		return
	}
	v := float64(promptTokens) / d.Seconds()
	x := typical.prompts * p.speeds.relative(now, typical, sardineknot.RolePrefill) / v
	p.prefillRatio.addWeighted(min(maxPrefillPace, x), prefillPaceWeight)
	p.prefillSeenAt = now
	p.speeds.prompts.observe(now, v)
}

// prefillPace returns the expected duration of a prefill relative to the usual
// one: that of the lasting speed, and of a disturbance if there is one.
func (p *pace) prefillPace(now time.Time, typical typicalSpeeds) float64 {
	l := 1 / p.speeds.relative(now, typical, sardineknot.RolePrefill)
	v := faded(now, p.prefillSeenAt, p.prefillRatio.value)
	if v < slowPrefill {
		v = 1
	}
	return l * v
}

// relativeRate returns the token rate relative to that of most engines, but at
// least minRelativeRate. It is the lasting one unless the engine has become slow.
func (p *pace) relativeRate(now time.Time, typicalRate float64, typical typicalSpeeds) float64 {
	v := p.recentRate(now, typicalRate, typical)
	if v >= slowRate {
		v = 1
	}
	return max(minRelativeRate, v*p.speeds.relative(now, typical, sardineknot.RoleDecode))
}

// recentRate returns the token rate in the last seconds relative to the lasting one,
// but at least minRelativeRate.
func (p *pace) recentRate(now time.Time, typicalRate float64, typical typicalSpeeds) float64 {
	if typicalRate <= 0 {
		return 1
	}
	l := p.speeds.relative(now, typical, sardineknot.RoleDecode)
	return max(minRelativeRate, faded(now, p.tokensSeenAt, p.tokenRate.value/(typicalRate*l)))
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
