package memory

import (
	"slices"
	"time"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/policy/growth"
)

// job is a job that has not ended.
type job struct {
	sardineknot.Job
	// arrivedAt is the time at which the job was submitted to the scheduler.
	arrivedAt time.Time
	// prefill is the engine that prefills the prompt. It is nil once the
	// prefill has ended.
	prefill *engine
	// cacheSource is the engine that prefills the prompt or has prefilled it.
	// It is nil once the resulting KV cache was used or lost.
	cacheSource *engine
	// decode is the engine on which memory is reserved or in use, or nil.
	decode *engine
	// prefillTime is the estimated duration of the prefill.
	prefillTime time.Duration
	// startedAt is the time at which the job was granted its engines.
	startedAt time.Time
	// length is the predicted length of the answer.
	length forecast
	// tokens is the last reported number of generated tokens, and
	// tokensReportedAt the time of that report. tokensReportedAt is zero before
	// the first report.
	tokens           float64
	tokensReportedAt time.Time
	// firstEventAt is the time of the first report of tokens, or zero.
	firstEventAt time.Time
	// limited is set if the software version that the job requires excludes some
	// decode engines, and servable if there is an engine of that version, as of
	// the last call of schedule.
	limited  bool
	servable bool
	// refusedBefore is set if a job with the same prompt was refused shortly
	// before. This job is then probably a retry by the same caller.
	refusedBefore bool
	// tag orders waiting jobs of equal urgency by the shares of their client accounts.
	// starved is set if the account is served far less often than others. Both are as
	// of the last call of sortedQueue.
	tag     float64
	starved bool
	// lastEventAt is the time of the last event of the job, initially its
	// arrival.
	lastEventAt time.Time
	// recheckAt is the time at which the scheduler checks again whether a
	// queued job can start or has to be refused.
	recheckAt time.Time
}

func (s *Scheduler) newJob(now time.Time, spec sardineknot.Job) *job {
	if spec.CallerDeadline.Before(spec.FirstTokenDeadline) {
		spec.CallerDeadline = spec.FirstTokenDeadline
	}
	return &job{
		Job:           spec,
		arrivedAt:     now,
		lastEventAt:   now,
		prefillTime:   seconds(s.prefillPerToken.value * float64(spec.PromptTokens)),
		length:        s.lengths.predict(spec),
		refusedBefore: s.refusals.contains(spec),
	}
}

// recordProgress records that j has generated the given number of tokens at
// time now, and updates the token rate of its decode engine.
func (j *job) recordProgress(now time.Time, tokens int) {
	if !j.tokensReportedAt.IsZero() && now.After(j.tokensReportedAt) && float64(tokens) > j.tokens {
		j.decode.observeTokens(now, float64(tokens)-j.tokens, now.Sub(j.tokensReportedAt))
	}
	j.tokens, j.tokensReportedAt = float64(tokens), now
	if j.firstEventAt.IsZero() {
		j.firstEventAt = now
	}
	if now.Sub(j.firstEventAt) >= soundTime {
		j.decode.outlier.recordSound(now, j.startedAt)
	}
	j.decode.invalidateSpans()
}

// recordEngineSuccess records a success of the decode engine of j. The engine
// that computed the KV cache is credited only once: later progress of the same
// answer says nothing about later prefills on that engine.
func (s *Scheduler) recordEngineSuccess(now time.Time, j *job) {
	if e := j.cacheSource; e != nil {
		e.recordSuccess()
		if e != j.decode {
			e.ramp.Succeeded(faded(now, e.prefillSeenAt, e.prefillRatio.value))
		}
		j.cacheSource = nil
	}
	if j.tokensReportedAt.IsZero() {
		j.decode.ramp.Succeeded(1 / j.decode.recentRate(now, s.typicalRate, s.typical))
	}
	j.decode.recordSuccess()
}

// generatedTokens estimates the number of tokens that j has generated at time
// now.
func (j *job) generatedTokens(now time.Time) float64 {
	if j.tokensReportedAt.IsZero() {
		return 0
	}
	return min(float64(j.MaxTokens), j.tokens+j.decode.tokenRate.value*now.Sub(j.tokensReportedAt).Seconds())
}

// span returns the memory that j holds now and the tokens it has yet to
// generate.
func (j *job) span(now time.Time) growth.Span {
	g := j.generatedTokens(now)
	return growth.Span{InUse: float64(j.PromptTokens) + g, Remaining: j.length.expectedTotal(g) - g}
}

// remove deletes j and releases its engines.
func (s *Scheduler) remove(j *job) {
	delete(s.jobs, j.Key)
	if i := slices.Index(s.queue, j); i >= 0 {
		s.queue = slices.Delete(s.queue, i, i+1)
	}
	if e := j.prefill; e != nil {
		e.prefills = without(e.prefills, j)
		j.prefill = nil
	}
	if e := j.decode; e != nil {
		e.decodes = without(e.decodes, j)
		e.invalidateSpans()
		s.ended.add(j.lastEventAt, callID(j.Key))
	}
}

func without(jobs []*job, j *job) []*job {
	i := slices.Index(jobs, j)
	if i < 0 {
		return jobs
	}
	return slices.Delete(jobs, i, i+1)
}

// endPrefill records the end of the prefill of j and updates prefillPerToken
// from its duration.
func (s *Scheduler) endPrefill(now time.Time, j *job) {
	e := j.prefill
	if e == nil {
		return
	}
	j.prefill = nil
	e.prefills = without(e.prefills, j)
	if len(e.prefills) == 0 {
		e.busyUntil = now
	}
	e.lossRate.addWeighted(0, lossWeight)
	if e != j.decode {
		e.outlier.recordSound(now, j.startedAt)
	}
	if e == j.decode || j.CachedOn != "" || j.PromptTokens == 0 {
		return
	}
	w := now.Sub(j.startedAt)
	e.observePrefill(now, j.startedAt, j.PromptTokens, s.typical)
	if w > 0 && w < maxObservedPrefillTime {
		s.prefillPerToken.add(min(w.Seconds()/float64(j.PromptTokens), maxPrefillPerToken.Seconds()))
	}
}

// handleFinished records the end of the answer of j and updates the length
// estimates.
func (s *Scheduler) handleFinished(now time.Time, j *job, tokens int) {
	if j.decode != nil {
		j.decode.recordSuccess()
		j.decode.outlier.recordSound(now, j.startedAt)
	}
	if tokens > 0 {
		s.lengths.observe(j.Job, tokens)
	}
	s.endPrefill(now, j)
	s.remove(j)
}

// handleCacheLost records that the KV cache of j on the given server was lost.
// Each loss costs a whole prefill, so the server is tripped at once instead of
// risking more prompts. If j continues, its decode engine prefills the prompt
// itself, so later events of j are no longer counted for or against the server.
func (s *Scheduler) handleCacheLost(now time.Time, j *job, server sardineknot.BackendServerName) {
	j.cacheSource = nil
	if e := s.engines[server]; e != nil {
		e.lossRate.addWeighted(1, lossWeight)
		e.trip(now)
	}
}

// recordFailure records that j failed on the engine that event names, and
// removes j.
func (s *Scheduler) recordFailure(now time.Time, j *job, event sardineknot.JobEvent) {
	e := s.engines[event.Server]
	if e != nil && e == j.prefill {
		e.lossRate.addWeighted(1, lossWeight)
	}
	if e != nil && e == j.decode && !j.firstEventAt.IsZero() {
		e.outlier.recordBroken(now, j.startedAt)
	}
	switch {
	case e == nil:
	case event.Unreachable:
		e.trip(now)
	default:
		e.recordFailure(now)
	}
	s.remove(j)
}

func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }
