package timed

import (
	"time"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/policy/circuit"
)

const (
	// eventTimeout is the longest time by which an expected event of a job may
	// be overdue. If it is exceeded, the engine of the job receives no new jobs.
	eventTimeout = 700 * time.Millisecond
	// maxPrefills is the largest number of jobs on one prefill engine.
	maxPrefills = 4
)

// engine is the state of one engine as known from decisions and events.
type engine struct {
	server sardineknot.BackendServer
	// removed is set if the engine accepts no new work.
	removed bool
	breaker circuit.Breaker
	// jobs lists the jobs that run or have a reservation on the engine.
	jobs []*job
	// memoryPieces is the total memory of jobs, in pieces. It is zero on
	// prefill engines.
	memoryPieces int
	// busyUntil is the expected end of all prefills on the engine.
	// lastPrefillEnd is the time at which a prefill last left the engine.
	busyUntil      time.Time
	lastPrefillEnd time.Time
	// tokenInterval is the moving average of the time between tokens, in
	// seconds. Zero means that there was no observation.
	tokenInterval float64
	// freeingRate is the number of slots of this engine that are expected to
	// become free per second.
	freeingRate float64
	// missingReports counts the consecutive load reports that list fewer
	// requests than the engine has jobs.
	missingReports int
}

// add appends j to the jobs of e, as the engine of the given side of j.
func (e *engine) add(j *job, as side) {
	j.engineIndex[as] = len(e.jobs)
	e.jobs = append(e.jobs, j)
}

// remove removes j, which was added with the same side, from the jobs of e. The
// last job takes its position.
func (e *engine) remove(j *job, as side) {
	i, n := j.engineIndex[as], len(e.jobs)-1
	e.jobs[i] = e.jobs[n]
	e.jobs[i].engineIndex[as] = i
	e.jobs[n] = nil
	e.jobs = e.jobs[:n]
}

// usable reports whether e may receive a job at time now.
func (e *engine) usable(now time.Time) bool {
	return !e.removed && e.breaker.Allow(now) && !e.overdue(now)
}

// overdue reports whether an expected event of a job on e is overdue by more
// than eventTimeout.
func (e *engine) overdue(now time.Time) bool {
	for _, j := range e.jobs {
		w := j.state == prefilling && j.prefill == e || j.state == importing && j.decode == e
		if w && now.After(j.expectedEnd.Add(eventTimeout)) {
			return true
		}
	}
	return false
}

// fits reports whether e has a free slot and enough memory for j. An empty
// engine always has enough memory.
func (e *engine) fits(j *job) bool {
	if len(e.jobs) >= e.server.Slots {
		return false
	}
	m := e.server.MemoryPieces
	return m <= 0 || e.memoryPieces+j.memoryPieces <= m || len(e.jobs) == 0
}

// fitsAfterRelease reports whether e would have enough memory for j after the
// end of one job of average size.
func (e *engine) fitsAfterRelease(j *job) bool {
	m, n := e.server.MemoryPieces, len(e.jobs)
	return m <= 0 || n == 0 || e.memoryPieces-e.memoryPieces/n+j.memoryPieces <= m
}

// tooSlow reports whether e would miss the latency target between tokens of j.
func (e *engine) tooSlow(j *job) bool {
	return j.PerToken > 0 && len(e.jobs) > 0 && e.tokenInterval > j.PerToken.Seconds()
}

// accepts reports whether e may receive another prefill at time now: it is
// idle, or it has few jobs and its remaining work takes at most limit.
func (e *engine) accepts(now time.Time, limit time.Duration) bool {
	if len(e.jobs) == 0 {
		return true
	}
	return len(e.jobs) < min(maxPrefills, max(1, e.server.Slots)) && e.busyUntil.Sub(now) <= limit
}

// updateBusyUntil recomputes the expected end of the prefills on e, one of
// which has ended at time now.
func (e *engine) updateBusyUntil(now time.Time) {
	e.lastPrefillEnd = now
	e.busyUntil = now
	for _, j := range e.jobs {
		e.busyUntil = e.busyUntil.Add(j.prefillTime)
	}
}
