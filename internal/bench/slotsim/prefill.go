package slotsim

import (
	"container/list"
	"time"

	"sardineknot.example/sardineknot"
)

// prefillEngine models a prefill engine, which processes one prompt at a time
// and caches prompt pieces.
type prefillEngine struct {
	simulation *Simulation
	server     sardineknot.BackendServer
	queue      []*attempt
	// current is the attempt whose prompt is being processed, or nil. begun is
	// the time at which the processing began. version is incremented to
	// invalidate the scheduled end of the processing.
	current *attempt
	begun   time.Time
	version int
	dead    bool
	// cache and order hold the hashes of the cached pieces. order is sorted by
	// the time of the last use, the most recent first; cache holds its elements
	// by hash.
	cache map[uint64]*list.Element
	order *list.List
}

// startPrefill sends the attempt to the prefill engine called name. The attempt
// fails if the engine is dead.
func (s *Simulation) startPrefill(a *attempt, name sardineknot.BackendServerName) {
	for _, e := range s.prefill {
		if e.server.Name != name {
			continue
		}
		if e.dead && !s.ideal {
			s.After(refusedConnectionDelay, func() { s.fail(a, name, &s.result.Waste.Failed) })
			return
		}
		a.prefill = e
		a.prefillZone = e.server.Zone
		e.queue = append(e.queue, a)
		e.startNext()
	}
}

// startNext starts the next prefill in the queue unless a prefill is running.
func (e *prefillEngine) startNext() {
	if e.current != nil || len(e.queue) == 0 {
		return
	}
	a := e.queue[0]
	e.queue = e.queue[1:]
	e.current = a
	e.begun = e.simulation.Now()
	e.version++
	v := e.version
	d := e.simulation.workload.Prefill(e.simulation.uncachedTokens(e, a))
	e.simulation.After(d, func() {
		if e.version == v && e.current == a {
			e.complete(a)
		}
	})
}

// complete ends the prefill of the attempt. If a decode engine is assigned,
// decoding starts after the delay of a message.
func (e *prefillEngine) complete(a *attempt) {
	s := e.simulation
	e.stop()
	e.addToCache(a.request.prefixes)
	a.prefill = nil
	a.prefilledAt = s.Now()
	s.report(a, sardineknot.JobPrefillDone, e.server.Name, 0)
	if !s.ideal {
		s.After(s.workload.CacheLifetime, func() { s.evict(a, e) })
	}
	e.startNext()
	if a.assignedDecode != nil {
		s.After(s.messageDelay(), func() {
			if !a.ended && a.decode == nil {
				s.startDecode(a)
			}
		})
	}
}

// stop ends the prefill of current, complete or not, and records the time spent
// on it.
func (e *prefillEngine) stop() {
	d := e.simulation.Now().Sub(e.begun)
	e.current.prefillTime += d
	e.simulation.result.Prefill += d
	e.current = nil
	e.version++
}

// remove removes the attempt from e.
func (e *prefillEngine) remove(a *attempt) {
	a.prefill = nil
	if e.current == a {
		e.stop()
		e.startNext()
		return
	}
	for i, q := range e.queue {
		if q == a {
			e.queue = append(e.queue[:i:i], e.queue[i+1:]...)
			return
		}
	}
}

// evict drops the KV cache of the attempt, which has expired on engine. The
// attempt fails if a decode engine is assigned but has not imported the cache.
func (s *Simulation) evict(a *attempt, engine *prefillEngine) {
	if a.ended || a.cacheUsed {
		return
	}
	if a.decode == nil && a.assignedDecode == nil {
		// The entry host still waits for a decode engine. It detects the loss
		// when the scheduler assigns one.
		return
	}
	n := a.assignedDecode.server.Name
	if a.decode == nil {
		n = engine.server.Name
	}
	s.fail(a, n, &s.result.Waste.Evicted)
}

// uncachedTokens returns the number of prompt tokens of the attempt that are
// not in the cache of engine, but at least one. In an ideal simulation all
// prefill engines share one cache, and engine may be nil.
func (s *Simulation) uncachedTokens(engine *prefillEngine, a *attempt) int {
	n := a.promptTokens()
	for _, h := range a.request.prefixes {
		ok := s.shared[h]
		if !s.ideal {
			_, ok = engine.cache[h]
		}
		if !ok {
			break
		}
		n -= sardineknot.TokensPerMemoryPiece
	}
	return max(1, n)
}

// addToCache caches the pieces with the given hashes and evicts the least
// recently used pieces beyond the size of the cache.
func (e *prefillEngine) addToCache(hashes []uint64) {
	for i := len(hashes) - 1; i >= 0; i-- {
		h := hashes[i]
		e.simulation.shared[h] = true
		c := e.cache[h]
		if c != nil {
			e.order.MoveToFront(c)
			continue
		}
		e.cache[h] = e.order.PushFront(h)
		if e.order.Len() > e.simulation.workload.CachePieces {
			b := e.order.Back()
			delete(e.cache, b.Value.(uint64))
			e.order.Remove(b)
		}
	}
}
