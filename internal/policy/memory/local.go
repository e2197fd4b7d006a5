package memory

import (
	"time"

	"sardineknot.example/sardineknot"
)

const (
	// localFactor is the time that a decode engine takes to read a prompt relative to
	// a prefill engine of the same speed.
	localFactor = 2
	// pauseShare is the share of the target for pauses that the reading of a prompt
	// may take from the other answers on the engine. The rest is for the delay of
	// events on their way to the callers.
	pauseShare = 0.9
)

// localPrefillTime returns the expected time in which the decode engine e reads the
// prompt of j.
func (s *Scheduler) localPrefillTime(now time.Time, j *job, e *engine) time.Duration {
	v := s.typical.prompts * e.relativeRate(now, s.typicalRate, s.typical)
	return seconds(localFactor * float64(j.PromptTokens) / v)
}

// eventTime returns the expected time in which an answer on e generates an event.
func (e *engine) eventTime() time.Duration {
	return seconds(float64(e.server.EventTokens) / max(1, e.tokenRate.value))
}

// mayPrefill reports whether the decode engine e may read the prompt of j itself:
// it reads no other prompt, and the answers on it then pause for no longer than
// their targets permit. An engine that reads a prompt generates a token of the other
// answers with each of few chunks, so that they wait for the whole prompt. Without
// known targets, prompts of up to MaxLocalPrefillTokens are read.
func (s *Scheduler) mayPrefill(now time.Time, j *job, e *engine) bool {
	if len(e.prefills) > 0 {
		return false
	}
	t, n := j.PerToken, len(e.decodes)+len(e.foreignRequests)
	for _, o := range e.decodes {
		if o.PerToken > 0 && (t == 0 || o.PerToken < t) {
			t = o.PerToken
		}
	}
	if t == 0 {
		return j.PromptTokens <= sardineknot.MaxLocalPrefillTokens
	}
	return n == 0 || s.localPrefillTime(now, j, e)+e.eventTime() <= seconds(pauseShare*t.Seconds())
}

// waitsForPrefill reports whether a prompt that a decode engine reads only at the
// cost of longer pauses, one of more than MaxLocalPrefillTokens, waits instead: a
// prefill engine is expected to read it in time for its first event.
func (s *Scheduler) waitsForPrefill(now time.Time, j *job) bool {
	if j.PromptTokens <= sardineknot.MaxLocalPrefillTokens {
		return false
	}
	for _, p := range s.prefill {
		t := p.prefillWait(now) + seconds(p.prefillPace(now, s.typical)*j.prefillTime.Seconds())
		if p.usable(now) && !j.barredFrom(now, p) && !now.Add(t+firstEventMargin).After(j.FirstTokenDeadline) {
			return true
		}
	}
	return false
}

// chooseReader returns the decode engine with room for j that reads its prompt
// soonest, or nil if none may.
func (s *Scheduler) chooseReader(now time.Time, j *job) *engine {
	var b *engine
	var m time.Duration
	for _, e := range s.decode {
		if !j.mayRunOn(e) || j.barredFrom(now, e) || e.outlier.excluded(now) || !s.mayPrefill(now, j, e) {
			continue
		}
		t := s.localPrefillTime(now, j, e)
		if b != nil && t >= m {
			continue
		}
		if _, ok := e.utilization(now, j); ok && e.keepsTargets(now, j) {
			b, m = e, t
		}
	}
	return b
}
