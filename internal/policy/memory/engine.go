package memory

import (
	"math"
	"time"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/policy/growth"
	"sardineknot.example/sardineknot/internal/policy/ramp"
)

const (
	// initialPrefillPerToken and initialTokensPerSecond are the initial values
	// of Scheduler.prefillPerToken and engine.tokenRate, before any observation.
	initialPrefillPerToken = 20 * time.Microsecond
	initialTokensPerSecond = 1300
	// reportDelay is the time after the end of a prefill within which its host
	// usually reports it. After lostReportDelay the report is lost, for instance
	// because the host has failed.
	reportDelay     = 100 * time.Millisecond
	lostReportDelay = time.Second
	// failureThreshold is the number of consecutive failures that trips an
	// engine. Like an open circuit breaker, a tripped engine gets no jobs until
	// a backoff has passed, and then jobs as its ramp admits them, from one on.
	failureThreshold = 2
	// minBackoff and maxBackoff bound the time until a tripped engine is
	// probed.
	minBackoff = 500 * time.Millisecond
	// lossWeight is the weight of one prefill in the moving average of an
	// engine's loss rate. lossCost is the cost of a lost prefill in multiples
	// of its duration: the prefill is repeated, and reserved memory stays
	// unused meanwhile.
	lossWeight = 0.2
	lossCost   = 3
	maxBackoff = 4 * time.Second
	// fullRamp is the number of unproven jobs at which an engine is not limited any
	// more. Engines have more than a few only during bursts. firstJobs is the number
	// of jobs that an engine gets first after its start.
	fullRamp  = 16
	firstJobs = 2
)

// engine is the state of one engine, derived from decisions, events and load
// reports.
type engine struct {
	server sardineknot.BackendServer
	// removed is set if the engine accepts no new work.
	removed bool
	// prefills lists the jobs whose prompts the engine prefills, and decodes
	// those that have memory reserved or in use on it.
	prefills []*job
	decodes  []*job
	// busyUntil is the expected end of all prefills on the engine.
	busyUntil time.Time
	pace
	// foreignRequests lists the requests that were not placed by this
	// scheduler. foreignLength is the predicted length of their answers.
	foreignRequests []foreignRequest
	foreignLength   forecast
	// spans caches the memory spans of all requests on the engine as of
	// spansAt; the zero time marks the cache as invalid. candidateSpans is a
	// buffer that peak reuses. It holds spans and the span of the job to be
	// placed.
	spans          []growth.Span
	spansAt        time.Time
	candidateSpans []growth.Span
	// lossRate is the share of prefills whose results were lost.
	lossRate ewma
	// failures counts consecutive failures. From failureThreshold on,
	// backoffUntil is the time of the next probe, and backoff is the length of
	// the current backoff.
	failures     int
	backoff      time.Duration
	backoffUntil time.Time
	// ramp limits the jobs of an engine that has just started or recovered.
	ramp ramp.Ramp
	// outlier limits the jobs of an engine whose answers break off.
	outlier outlier
}

// prefillWait returns the time until e can start another prefill. A prefill that
// is late by more than reportDelay is expected to take as long again as it is
// late, unless its report is lost.
func (e *engine) prefillWait(now time.Time) time.Duration {
	w := e.busyUntil.Sub(now)
	if len(e.prefills) > 0 && w < -reportDelay && w > -lostReportDelay {
		return -w
	}
	return max(0, w)
}

func (e *engine) idle() bool { return len(e.prefills)+len(e.decodes) == 0 }

// usable reports whether e may receive a job at time now.
func (e *engine) usable(now time.Time) bool {
	if e.removed || e.tripped() && now.Before(e.backoffUntil) {
		return false
	}
	return !e.ramp.Limited() || e.ramp.Admit(e.unproven())
}

// unproven returns the number of jobs on e that have not succeeded yet: prefills that
// have not ended, and answers without a first event.
func (e *engine) unproven() int {
	if e.server.Role == sardineknot.RolePrefill {
		return len(e.prefills)
	}
	n := 0
	for _, j := range e.decodes {
		if j.tokensReportedAt.IsZero() {
			n++
		}
	}
	return n
}

func (e *engine) recordSuccess() {
	e.failures = 0
	e.backoff = 0
}

// tripped reports whether e has failed at least failureThreshold times in a
// row. The next job on a tripped engine is a probe.
func (e *engine) tripped() bool { return e.failures >= failureThreshold }

// trip records a failure and trips e at once, whatever its earlier successes.
// It is called after e has refused a connection or lost the result of a prefill.
func (e *engine) trip(now time.Time) {
	e.failures = max(e.failures, failureThreshold-1)
	e.recordFailure(now)
}

func (e *engine) recordFailure(now time.Time) {
	e.failures++
	e.ramp.Failed()
	if !e.tripped() {
		return
	}
	e.ramp.Restart(1, fullRamp)
	e.backoff = min(maxBackoff, max(minBackoff, 2*e.backoff))
	e.backoffUntil = now.Add(e.backoff)
}

// capacity returns the memory available to forecasts, in tokens.
func (e *engine) capacity() float64 {
	return maxUtilization * float64(e.server.MemoryTokens)
}

// peak returns the forecast peak memory of e in tokens if a job with the span
// extra is added. It includes a reserve for answers longer than forecast.
func (e *engine) peak(now time.Time, extra growth.Span) float64 {
	if !e.spansAt.Equal(now) {
		e.spans = e.spans[:0]
		for _, j := range e.decodes {
			e.spans = append(e.spans, j.span(now))
		}
		e.spans = e.appendForeignSpans(now, e.spans)
		e.spansAt = now
	}
	e.candidateSpans = append(append(e.candidateSpans[:0], e.spans...), extra)
	return growth.Peak(e.candidateSpans) + reserve(e.candidateSpans)
}

// reserve returns the memory to keep free for forecast errors of spans. It is
// proportional to the root of the sum of squared remaining lengths: errors of
// independent answers partly cancel out, and answers near their end add little.
func reserve(spans []growth.Span) float64 {
	var q float64
	for _, a := range spans {
		q += a.Remaining * a.Remaining
	}
	return reserveFactor * math.Sqrt(q)
}

// invalidateSpans makes the next call of peak recompute the cached spans.
func (e *engine) invalidateSpans() { e.spansAt = time.Time{} }

// ewma is an exponentially weighted moving average.
type ewma struct {
	value float64
}

// ewmaWeight is the default weight of a new observation.
const ewmaWeight = 0.1

func (a *ewma) add(sample float64) { a.addWeighted(sample, ewmaWeight) }

// addWeighted adds a sample. weight is in [0, 1].
func (a *ewma) addWeighted(sample, weight float64) { a.value += weight * (sample - a.value) }
