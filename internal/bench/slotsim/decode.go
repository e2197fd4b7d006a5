package slotsim

import (
	"time"

	"sardineknot.example/sardineknot"
)

// decodeEngine models a decode engine, which generates tokens for all its
// running requests at the same rate.
type decodeEngine struct {
	simulation *Simulation
	server     sardineknot.BackendServer
	// waiting holds the requests without a slot, in order of arrival. running
	// holds those with a slot, which import their KV cache or generate tokens.
	waiting []*attempt
	running []*attempt
	// position is the number of tokens that a request would have generated if
	// it had run since the start of the simulation. It was last computed at the
	// time updated. interval is the current time between tokens, or zero if no
	// tokens are generated.
	position float64
	updated  time.Time
	interval time.Duration
	// version is incremented to invalidate the scheduled call of step.
	version int
	dead    bool
}

func (s *Simulation) findDecode(name sardineknot.BackendServerName) *decodeEngine {
	for _, e := range s.decode {
		if e.server.Name == name {
			return e
		}
	}
	return nil
}

// startDecode sends the attempt to the decode engine that the scheduler has
// assigned. The attempt fails if its KV cache has expired or the engine is
// dead.
func (s *Simulation) startDecode(a *attempt) {
	e := a.assignedDecode
	if !s.ideal && s.Now().Sub(a.prefilledAt) >= s.workload.CacheLifetime {
		s.fail(a, e.server.Name, &s.result.Waste.Evicted)
		return
	}
	if e.dead && !s.ideal {
		s.After(refusedConnectionDelay, func() { s.fail(a, e.server.Name, &s.result.Waste.Failed) })
		return
	}
	a.decode = e
	e.waiting = append(e.waiting, a)
	e.admit()
}

// admit assigns free slots to waiting requests that fit into memory, and starts
// the transfers of their KV caches.
func (e *decodeEngine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.server.Slots && e.fits(e.waiting[0]) {
		a := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running = append(e.running, a)
		e.simulation.beginTransfer(a, func() { e.begin(a) })
	}
}

// fits reports whether the prompt of the attempt fits into the free memory. An
// engine without running requests accepts any prompt.
func (e *decodeEngine) fits(a *attempt) bool {
	return e.simulation.ideal || len(e.running) == 0 || e.usedPieces()+pieces(a.promptTokens()) <= e.server.MemoryPieces
}

// usedPieces returns the memory in use, in memory pieces.
func (e *decodeEngine) usedPieces() int {
	var n int
	for _, a := range e.running {
		g := 0
		if a.imported {
			g = int(e.position - a.position)
		}
		n += pieces(a.promptTokens() + g)
	}
	return n
}

// pieces returns the number of memory pieces that hold the given number of
// tokens.
func pieces(tokens int) int {
	return (tokens + sardineknot.TokensPerMemoryPiece - 1) / sardineknot.TokensPerMemoryPiece
}

// begin starts the generation of tokens for the attempt after the import of its
// KV cache.
func (e *decodeEngine) begin(a *attempt) {
	if a.ended {
		return
	}
	e.advance()
	a.cacheUsed = true
	a.imported = true
	a.position = e.position
	e.plan()
}

// advance updates position to the current time and counts the tokens generated
// since the last update.
func (e *decodeEngine) advance() {
	n := e.simulation.Now()
	if e.interval > 0 {
		d := n.Sub(e.updated).Seconds() / e.interval.Seconds()
		e.position += d
		e.simulation.countTokens(e.interval, d*float64(e.countGenerating()))
	}
	e.updated = n
}

// countGenerating returns the number of requests that are generating tokens.
func (e *decodeEngine) countGenerating() int {
	var n int
	for _, a := range e.running {
		if a.imported {
			n++
		}
	}
	return n
}

// plan computes the current interval between tokens and schedules step for the
// time at which a running request generates its first or last token.
func (e *decodeEngine) plan() {
	e.version++
	s := e.simulation
	n := e.countGenerating()
	if n == 0 {
		e.interval = 0
		return
	}
	e.interval = s.workload.Interval(n)
	if !s.ideal && e.usedPieces() > e.server.MemoryPieces && n > 1 {
		e.interval = time.Duration(float64(e.interval) * s.workload.OvercommitFactor)
	}
	d := e.intervalsLeft()
	v := e.version
	s.After(max(0, time.Duration(d*float64(e.interval)))+1, func() {
		if e.version == v {
			e.step()
		}
	})
}

// intervalsLeft returns the number of token intervals until a running request
// generates its first or last token.
func (e *decodeEngine) intervalsLeft() float64 {
	m := 1e9
	for _, a := range e.running {
		if !a.imported {
			continue
		}
		g := e.position - a.position
		l := float64(a.remainingTokens()) - g
		if !a.started {
			l = min(l, 1-g)
		}
		m = min(m, l)
	}
	return max(0, m)
}

// step processes the first and last tokens that are due.
func (e *decodeEngine) step() {
	const rounding = 1e-4
	e.advance()
	for _, a := range append([]*attempt(nil), e.running...) {
		g := e.position - a.position + rounding
		if !a.imported || a.ended {
			continue
		}
		if g >= 1 && !a.started {
			e.simulation.recordFirstToken(a)
		}
		if g >= float64(a.remainingTokens()) {
			e.simulation.finishAnswer(a)
		}
	}
	e.plan()
}

// remove removes the attempt from e and admits waiting requests.
func (e *decodeEngine) remove(a *attempt) {
	e.advance()
	e.simulation.endTransfer(a)
	a.decode = nil
	e.waiting = without(e.waiting, a)
	e.running = without(e.running, a)
	e.plan()
	if !e.dead {
		e.admit()
	}
}

// without returns list without element. It does not modify list.
func without(list []*attempt, element *attempt) []*attempt {
	for i, x := range list {
		if x == element {
			return append(list[:i:i], list[i+1:]...)
		}
	}
	return list
}

// slotsFreedWithin returns the number of running requests that will end within
// limit if no further requests are admitted.
func (s *Simulation) slotsFreedWithin(limit time.Duration) int {
	var n int
	for _, e := range s.decode {
		e.advance()
		for _, a := range e.running {
			if a.imported && (float64(a.remainingTokens())-e.position+a.position)*e.interval.Seconds() <= limit.Seconds() {
				n++
			}
		}
	}
	return n
}
