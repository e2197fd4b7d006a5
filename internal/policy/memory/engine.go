package memory

import (
	"math"
	"time"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/policy/growth"
)

const (
	// firstPrefillPerToken and firstTokensPerSecond are the estimates before
	// any observation.
	firstPrefillPerToken = 20 * time.Microsecond
	firstTokensPerSecond = 1300
	// failureLimit is the number of failures in a row that stops the use of an
	// engine.
	failureLimit = 2
	// firstRest and maxRest bound the time until a stopped engine is tried
	// again.
	firstRest = 500 * time.Millisecond
	// lostShare is the weight of a prefill in the part that is lost, and lostCost
	// what a lost one costs, in prefills: another one, and room that waits for it.
	lostShare = 0.2
	lostCost  = 3
	maxRest   = 4 * time.Second
)

// engine is the state of one engine as known from decisions and events.
type engine struct {
	server sardineknot.BackendServer
	// gone tells that the engine accepts no new work.
	gone bool
	// reading lists the jobs whose prompts the engine reads, and decoding those
	// that have memory reserved or in use.
	reading  []*job
	decoding []*job
	// busy is the expected end of all prefills.
	busy time.Time
	// rate is the number of tokens that an answer grows in a second.
	rate average
	// foreign lists the requests that others placed on the engine, and
	// foreignLength is the forecast length of their answers.
	foreign       []foreign
	foreignLength forecast
	// known holds the spans of all that is on the engine, as of knownAt. with is
	// room for one more.
	known   []growth.Span
	knownAt time.Time
	with    []growth.Span
	// lost is the part of the prefills whose results were lost.
	lost average
	// failures counts failures in a row. restsUntil is set from failureLimit
	// on, and rest is the length of that time.
	failures   int
	rest       time.Duration
	restsUntil time.Time
}

func (e *engine) idle() bool { return len(e.reading)+len(e.decoding) == 0 }

// usable reports whether e may be given a job at now.
func (e *engine) usable(now time.Time) bool {
	if e.gone {
		return false
	}
	if !e.probed() {
		return true
	}
	return !now.Before(e.restsUntil) && e.idle()
}

func (e *engine) succeeded() {
	e.failures = 0
	e.rest = 0
}

// probed reports whether the next job on e tells whether e works again.
func (e *engine) probed() bool { return e.failures >= failureLimit }

// stop notes a failure that says as much as several of other kinds: e takes no
// connections, or loses the results of prefills.
func (e *engine) stop(now time.Time) {
	e.failures = max(e.failures, failureLimit-1)
	e.failed(now)
}

func (e *engine) failed(now time.Time) {
	e.failures++
	if !e.probed() {
		return
	}
	e.rest = min(maxRest, max(firstRest, 2*e.rest))
	e.restsUntil = now.Add(e.rest)
}

// capacity returns the memory that forecasts may fill, in tokens.
func (e *engine) capacity() float64 {
	return fill * float64(e.server.MemoryTokens)
}

// peak returns the greatest memory that e is expected to need with the
// additional span p, and a reserve for answers that turn out longer.
func (e *engine) peak(now time.Time, p growth.Span) float64 {
	if !e.knownAt.Equal(now) {
		e.known = e.known[:0]
		for _, j := range e.decoding {
			e.known = append(e.known, j.span(now))
		}
		e.known = e.spans(now, e.known)
		e.knownAt = now
	}
	e.with = append(append(e.with[:0], e.known...), p)
	return growth.Peak(e.with) + reserve(e.with)
}

// reserve returns the memory to keep free for errors in the forecasts of l. Those
// of many answers make up for each other, and answers near their end leave little
// to err about.
func reserve(l []growth.Span) float64 {
	var q float64
	for _, a := range l {
		q += a.Left * a.Left
	}
	return doubt * math.Sqrt(q)
}

// changed notes that what e is expected to need is to be worked out again.
func (e *engine) changed() { e.knownAt = time.Time{} }

// average is an exponentially weighted mean.
type average struct {
	value float64
}

// averageShare is the weight of a new value.
const averageShare = 0.1

func (a *average) add(v float64) { a.addShare(v, averageShare) }

// addShare adds v with the weight w.
func (a *average) addShare(v, w float64) { a.value += w * (v - a.value) }
