package memory

import (
	"time"

	"sardineknot.example/sardineknot"
)

const (
	// brokenThreshold is the number of consecutive broken answers from which an engine
	// is an outlier.
	brokenThreshold = 3
	// minBrokenSpacing is the least time between two broken answers that count.
	minBrokenSpacing = 250 * time.Millisecond
	// minOutlierBackoff and maxOutlierBackoff bound the time between two jobs of an
	// outlier.
	minOutlierBackoff = time.Second
	maxOutlierBackoff = 8 * time.Second
	// soundTime is the time from the first event of an answer to a later one from which
	// the engine counts as sound, before the answer is whole.
	soundTime = time.Second
	// maxUnansweredTime is the time after the expected end of a prefill from which a job
	// without an event is overdue.
	maxUnansweredTime = 500 * time.Millisecond
	// stalledRate is the token rate, relative to the usual one, below which an answer
	// that its caller gave up counts as stalled, and minStalledTime the least age of
	// such an answer.
	stalledRate    = 0.125
	minStalledTime = 400 * time.Millisecond
)

// outlier detects an engine whose answers break off, although its first events are sound,
// or that gives no answer until the callers leave. A first event thus does not count as a
// success here: a whole answer does, or one that lasts for soundTime. While such an engine
// is an outlier, it gets one job after each backoff. The backoff doubles with each further
// broken answer.
//
// Several answers may break for one reason, such as a reset of the connections of their
// host, and callers may leave together. Answers that break within minBrokenSpacing count as
// one, and so do all that had begun before the engine became an outlier.
type outlier struct {
	// broken is the number of consecutive broken answers, and brokenAt the time of the
	// last one that counted.
	broken   int
	brokenAt time.Time
	// soundAt is the time at which the engine last counted as sound.
	soundAt time.Time
	// backoff is the time between two jobs, and until the time of the next one.
	backoff time.Duration
	until   time.Time
}

// detected reports whether the engine is an outlier.
func (o *outlier) detected() bool { return o.broken >= brokenThreshold }

// excluded reports whether the engine gets no job at the time now.
func (o *outlier) excluded(now time.Time) bool { return o.detected() && now.Before(o.until) }

// begin records that the engine gets a job.
func (o *outlier) begin(now time.Time) { o.until = now.Add(o.backoff) }

// recordSound records a sound answer of a job that was started at startedAt.
func (o *outlier) recordSound(now, startedAt time.Time) {
	if startedAt.Before(o.brokenAt) && o.detected() {
		return
	}
	*o = outlier{soundAt: now, brokenAt: o.brokenAt}
}

// recordBroken records a broken answer of a job that was started at startedAt.
func (o *outlier) recordBroken(now, startedAt time.Time) {
	if startedAt.Before(o.soundAt) || now.Sub(o.brokenAt) < minBrokenSpacing || o.detected() && startedAt.Before(o.brokenAt) {
		return
	}
	o.broken++
	o.brokenAt = now
	if !o.detected() {
		return
	}
	o.backoff = min(maxOutlierBackoff, max(minOutlierBackoff, 2*o.backoff))
	o.until = now.Add(o.backoff)
}

// allOutliers reports whether all of engines that may run j are excluded as outliers. None
// is excluded then: their answers may break off for a reason outside of them.
func allOutliers(now time.Time, engines []*engine, j *job) bool {
	for _, e := range engines {
		if !e.outlier.excluded(now) && (e.server.Role == sardineknot.RolePrefill || j.mayRunOn(e)) {
			return false
		}
	}
	return true
}

// recordCancelled records what event, the end of j by its caller, shows about the engine
// whose answer was awaited.
func (s *Scheduler) recordCancelled(now time.Time, j *job, event sardineknot.JobEvent) {
	if event.Leaving || j.startedAt.IsZero() {
		return
	}
	e := s.engines[event.Server]
	if e != nil && (j.unanswered(now) || s.stalled(now, j, event.Tokens)) {
		e.outlier.recordBroken(now, j.startedAt)
	}
}

// unanswered reports whether j has no event although it is overdue.
func (j *job) unanswered(now time.Time) bool {
	return j.firstEventAt.IsZero() && now.Sub(j.startedAt) >= j.prefillTime+maxUnansweredTime
}

// stalled reports whether the answer of j, which has begun, has far fewer tokens than
// usual for its age.
func (s *Scheduler) stalled(now time.Time, j *job, tokens int) bool {
	if j.firstEventAt.IsZero() {
		return false
	}
	d := now.Sub(j.firstEventAt)
	n := float64(tokens - j.decode.server.EventTokens)
	return s.typicalRate > 0 && d >= minStalledTime && n < stalledRate*s.typicalRate*d.Seconds()
}
