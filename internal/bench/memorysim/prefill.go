package memorysim

import (
	"time"

	"sardineknot.example/sardineknot"
)

// prefillEngine models a prefill engine, which processes one prompt at a time.
type prefillEngine struct {
	simulation *Simulation
	server     sardineknot.BackendServer
	// speed is the number of engines that this engine represents. It is above
	// one only in an ideal simulation.
	speed int
	queue []*attempt
	// current is the attempt whose prompt is being processed, or nil. version
	// is incremented to invalidate the scheduled end of the processing.
	current *attempt
	version int
	dead    bool
	// expiring reports whether the KV cache of each prefill is lost as soon as
	// it is complete.
	expiring bool
	// changing is set once the engine has left its role.
	changing bool
	// slowness multiplies the duration of prefills.
	slowness
}

// enqueue adds the attempt to the queue. If the engine has crashed, the attempt
// fails after connectionErrorDelay.
func (e *prefillEngine) enqueue(a *attempt) {
	if e.dead {
		e.simulation.After(connectionErrorDelay, func() { e.simulation.failUnlessEnded(a, e.server, true) })
		return
	}
	e.queue = append(e.queue, a)
	e.startNext()
}

// startNext starts the next prefill in the queue unless a prefill is running.
func (e *prefillEngine) startNext() {
	if e.current != nil || len(e.queue) == 0 {
		return
	}
	a := e.queue[0]
	e.queue = e.queue[1:]
	e.current = a
	e.version++
	v := e.version
	s := e.simulation
	d := e.scaled(time.Duration(a.job.PromptTokens) * s.pattern.PrefillPerToken / time.Duration(e.speed))
	s.After(d, func() {
		if e.version == v {
			e.complete(a)
		}
	})
}

// complete ends the prefill of the attempt and starts the next one.
func (e *prefillEngine) complete(a *attempt) {
	e.current = nil
	e.simulation.prefilledTokens += a.job.PromptTokens
	a.cacheExpired = e.expiring
	e.simulation.finishPrefill(a)
	e.startNext()
}

// remove removes the attempt from e. If its prefill is running, all tokens of
// the prompt count as prefilled and wasted.
func (e *prefillEngine) remove(a *attempt) {
	if e.current == a {
		e.simulation.prefilledTokens += a.job.PromptTokens
		e.simulation.wastedTokens += a.job.PromptTokens
		e.current = nil
		e.version++
		e.startNext()
		return
	}
	e.queue = without(e.queue, a)
}

// crash stops e and fails all its requests after connectionErrorDelay.
func (e *prefillEngine) crash() {
	e.dead = true
	l := e.queue
	if e.current != nil {
		l = append(l, e.current)
	}
	for _, a := range l {
		e.simulation.After(connectionErrorDelay, func() { e.simulation.failUnlessEnded(a, e.server, false) })
	}
}

// failUnlessEnded fails the attempt because of server, unless the attempt has
// ended.
func (s *Simulation) failUnlessEnded(a *attempt, server sardineknot.BackendServer, unreachable bool) {
	if !a.ended {
		s.fail(a, server, unreachable)
	}
}
