package timed

import (
	"time"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/policy/circuit"
)

const (
	// silence is how long a sign of progress may be overdue before an engine
	// is given nothing new.
	silence = 700 * time.Millisecond
	// maxPrefills bounds the jobs on one prefill engine.
	maxPrefills = 4
)

// engine is the state of one engine as known from decisions and events.
type engine struct {
	server sardineknot.BackendServer
	// gone tells that the engine accepts no new work.
	gone    bool
	breaker circuit.Breaker
	// jobs lists the jobs that have or reserve something on the engine.
	jobs []*job
	// pieces is the sum of the pieces of jobs, on decode engines.
	pieces int
	// busy is the expected end of all prefills, and last the end of the one
	// that ended last.
	busy time.Time
	last time.Time
	// interval is the time between tokens that was seen last, in seconds. Zero
	// means none.
	interval float64
	// freeing is the number of slots that are expected to become free in a
	// second.
	freeing float64
	// short counts the load reports in a row that lack some of jobs.
	short int
}

// add puts j on e. side is the index into j.engineIndex.
func (e *engine) add(j *job, side int) {
	j.engineIndex[side] = len(e.jobs)
	e.jobs = append(e.jobs, j)
}

func (e *engine) remove(j *job, side int) {
	i, n := j.engineIndex[side], len(e.jobs)-1
	e.jobs[i] = e.jobs[n]
	e.jobs[i].engineIndex[side] = i
	e.jobs[n] = nil
	e.jobs = e.jobs[:n]
}

// usable reports whether e may be given a job at now.
func (e *engine) usable(now time.Time) bool {
	return !e.gone && e.breaker.Allow(now) && !e.silent(now)
}

// silent reports whether an expected event of a job on e is overdue.
func (e *engine) silent(now time.Time) bool {
	for _, j := range e.jobs {
		w := j.state == prefilling && j.prefill == e || j.state == importing && j.decode == e
		if w && now.After(j.due.Add(silence)) {
			return true
		}
	}
	return false
}

// fits reports whether e has a free slot and memory for j.
func (e *engine) fits(j *job) bool {
	if len(e.jobs) >= e.server.Slots {
		return false
	}
	m := e.server.MemoryPieces
	return m <= 0 || e.pieces+j.pieces <= m || len(e.jobs) == 0
}

// wouldFit reports whether e would have memory for j if one of its jobs of the
// mean size ended.
func (e *engine) wouldFit(j *job) bool {
	m, n := e.server.MemoryPieces, len(e.jobs)
	return m <= 0 || n == 0 || e.pieces-e.pieces/n+j.pieces <= m
}

// slow reports whether e would break the target between tokens of j.
func (e *engine) slow(j *job) bool {
	return j.PerToken > 0 && len(e.jobs) > 0 && e.interval > j.PerToken.Seconds()
}

// accepts reports whether a prefill may be sent to e before its other work has
// ended.
func (e *engine) accepts(now time.Time, ahead time.Duration) bool {
	if len(e.jobs) == 0 {
		return true
	}
	return len(e.jobs) < min(maxPrefills, max(1, e.server.Slots)) && e.busy.Sub(now) <= ahead
}

// replan works out when the prefills that are left on e will end.
func (e *engine) replan(now time.Time) {
	e.last = now
	e.busy = now
	for _, j := range e.jobs {
		e.busy = e.busy.Add(j.cost)
	}
}
