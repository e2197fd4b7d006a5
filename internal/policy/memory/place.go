package memory

import (
	"time"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/policy/growth"
)

const (
	// maxUtilization is the share of an engine's memory that the forecast use
	// and the reserve for forecast errors together may occupy. The rest covers
	// memory use that the owner of the shard learns of only with a delay.
	maxUtilization = 0.96
	// reserveFactor sets the reserve for forecast errors. For a single answer,
	// the reserve covers a forecast length that is too short by reserveFactor
	// times the remaining length of the answer. The factor is somewhat greater
	// than the standard deviation of this relative error.
	reserveFactor = 0.5
	// overrunShare applies to answers that are already far longer than
	// forecast. Such an answer is expected to grow by overrunShare times its
	// current length.
	overrunShare = 0.1
	// maxObservedPrefillTime and maxPrefillPerToken bound the observations from
	// which prefillPerToken is learned. Prefills that took at least
	// maxObservedPrefillTime are ignored. Times per token above
	// maxPrefillPerToken count as maxPrefillPerToken.
	maxObservedPrefillTime = time.Second
	maxPrefillPerToken     = 200 * time.Microsecond
	// recheckInterval is the interval at which the scheduler checks again
	// whether waiting jobs can start or have to be refused.
	recheckInterval = 25 * time.Millisecond
	// crossZonePenalty is added to the expected wait for a prefill engine
	// outside the decode engine's zone.
	crossZonePenalty = 30 * time.Millisecond
	// maxPrefillBacklog is the longest time to the expected end of an engine's
	// prefills at which the engine still receives another prompt.
	maxPrefillBacklog = 250 * time.Millisecond
)

// place starts j if there are engines with room for it, and reports whether it
// started j. It skips the search for engines if a smaller job is in m, and adds
// j to m if it fits on no engine.
func (s *Scheduler) place(now time.Time, j *job, m *misfits) bool {
	if m.covers(j.span(now)) {
		return false
	}
	d := s.chooseDecode(now, j)
	if d == nil {
		if !j.limited && len(j.Backoffs) == 0 {
			m.add(j.span(now))
		}
		return false
	}
	p, ok := s.choosePrefill(now, j, d)
	if !ok && j.PromptTokens <= sardineknot.MaxLocalPrefillTokens && len(d.prefills) == 0 {
		d = s.chooseReader(now, j)
		p = d
	}
	if p == nil {
		return false
	}
	s.start(now, j, p, d)
	return true
}

// misfits remembers the smallest job that fitted on no decode engine. While
// engines only get jobs, no larger job fits either. It keeps the time of a
// decision bounded when many jobs wait for many engines.
type misfits struct {
	smallest growth.Span
	found    bool
}

// covers reports whether a job with the span a is at least as large as the
// remembered one.
func (m *misfits) covers(a growth.Span) bool {
	return m.found && a.InUse >= m.smallest.InUse && a.Remaining >= m.smallest.Remaining
}

// add remembers a job with the span a if it is smaller than the remembered one.
func (m *misfits) add(a growth.Span) {
	if !m.found || a.InUse+a.Remaining < m.smallest.InUse+m.smallest.Remaining {
		m.smallest, m.found = a, true
	}
}

// chooseDecode returns the decode engine with the lowest utilization including
// j, or nil if j fits on none. The utilization of a slow engine counts as
// higher, because its answers hold their memory for longer.
func (s *Scheduler) chooseDecode(now time.Time, j *job) *engine {
	var b *engine
	var m float64
	a := allOutliers(now, s.decode, j)
	for _, e := range s.decode {
		if !j.mayRunOn(e) || j.barredFrom(now, e) || !a && e.outlier.excluded(now) {
			continue
		}
		f, ok := e.utilization(now, j)
		v := e.relativeRate(now, s.typicalRate, s.typical)
		if !ok || v < 1 && !e.keepsTargets(now, j) {
			continue
		}
		f /= v
		if b == nil || f < m {
			b, m = e, f
		}
	}
	return b
}

// mayRunOn reports whether e has the software version that j requires.
func (j *job) mayRunOn(e *engine) bool {
	return j.SoftwareVersion == "" || j.SoftwareVersion == e.server.SoftwareVersion
}

// barredFrom reports whether e wants no requests from the holder of j.
func (j *job) barredFrom(now time.Time, e *engine) bool {
	for _, b := range j.Backoffs {
		if b.Server == e.server.Name && now.Before(b.Until) {
			return true
		}
	}
	return false
}

// limitJob determines whether only some decode engines may run j. It reports
// whether any engine may.
func (s *Scheduler) limitJob(j *job) bool {
	if j.SoftwareVersion == "" || len(s.decode) == 0 {
		j.limited = false
		return true
	}
	n := 0
	for _, e := range s.decode {
		if j.mayRunOn(e) {
			n++
		}
	}
	j.limited = n < len(s.decode)
	return n > 0
}

// utilization returns the forecast peak memory of e including j, relative to
// its capacity. ok is false if j does not fit.
func (e *engine) utilization(now time.Time, j *job) (share float64, ok bool) {
	if !e.usable(now) || len(e.decodes) >= e.server.Slots {
		return 0, false
	}
	c := e.capacity()
	p := e.peak(now, j.span(now))
	if c > 0 && p > c && len(e.decodes) > 0 {
		return 0, false
	}
	return p / max(1, c), true
}

// choosePrefill returns the engine that prefills the prompt of j, whose answer
// is generated on decode. This is decode itself if no prefill engine is
// available in time, or if decode is tripped, so that a failed probe wastes no work
// of another engine. ok is false if decode cannot have the prompt prefilled.
func (s *Scheduler) choosePrefill(now time.Time, j *job, decode *engine) (prefill *engine, ok bool) {
	o := s.mayPrefill(now, j, decode)
	if o && decode.tripped() {
		return decode, true
	}
	prefill = s.preferredPrefill(now, j, decode)
	if prefill == nil && o && !s.waitsForPrefill(now, j) {
		return decode, true
	}
	return prefill, prefill != nil
}

// preferredPrefill returns the prefill engine that still holds the KV cache of
// j, or else the one that can finish j first, with penalties for its loss rate
// and for a zone other than that of decode. It returns nil if all engines are
// backlogged or unusable, or want no requests from the holder of j.
func (s *Scheduler) preferredPrefill(now time.Time, j *job, decode *engine) *engine {
	var e *engine
	var m time.Duration
	a := allOutliers(now, s.prefill, j)
	for _, p := range s.prefill {
		w := p.prefillWait(now)
		if !p.usable(now) || !a && p.outlier.excluded(now) || w > maxPrefillBacklog || j.barredFrom(now, p) {
			continue
		}
		if p.server.Name == j.CachedOn {
			return p
		}
		w += time.Duration(p.prefillPace(now, s.typical) * float64(j.prefillTime))
		w += time.Duration(lossCost * p.lossRate.value * float64(j.prefillTime))
		if p.server.Zone != decode.server.Zone {
			w += crossZonePenalty
		}
		if e == nil || w < m {
			e, m = p, w
		}
	}
	return e
}

// start grants j its prefill and decode engines.
func (s *Scheduler) start(now time.Time, j *job, prefillEngine, decodeEngine *engine) {
	j.prefill, j.cacheSource, j.decode = prefillEngine, prefillEngine, decodeEngine
	j.startedAt = now
	w := prefillEngine.prefillWait(now)
	prefillEngine.prefills = append(prefillEngine.prefills, j)
	prefillEngine.busyUntil = now.Add(w + time.Duration(prefillEngine.prefillPace(now, s.typical)*float64(j.prefillTime)))
	decodeEngine.decodes = append(decodeEngine.decodes, j)
	decodeEngine.invalidateSpans()
	prefillEngine.outlier.begin(now)
	decodeEngine.outlier.begin(now)
	s.recordServed(now, j)
	// The shard reads both engines of the grant when it receives the prefill
	// decision, so the decode decision has to precede it.
	s.decide(j, sardineknot.ActionDecode, decodeEngine)
	s.decide(j, sardineknot.ActionPrefill, prefillEngine)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (s *Scheduler) decide(j *job, action sardineknot.Action, e *engine) {
	s.decisions = append(s.decisions, sardineknot.Decision{Key: j.Key, Action: action, Server: e.server.Name})
}

// refuse ends j without running it, for the given reason.
func (s *Scheduler) refuse(now time.Time, j *job, reason string) {
	delete(s.jobs, j.Key)
	s.refusals.record(now, j)
	if j.Account != "" {
		s.shares.Refuse(now, j.Account)
	}
	s.decisions = append(s.decisions, sardineknot.Decision{
		Key:        j.Key,
		Action:     sardineknot.ActionRefuse,
		Reason:     reason,
		RetryAfter: s.refusals.retryAfter(now),
	})
}
