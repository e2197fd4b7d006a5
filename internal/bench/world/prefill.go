package world

import (
	"container/list"
	"time"

	"sardineknot.example/sardineknot"
)

// prefillEngine works on one prompt after the other.
type prefillEngine struct {
	world  *World
	server sardineknot.BackendServer
	queue  []*try
	// current is being worked on since begun, or nil. version numbers the work.
	current *try
	begun   time.Time
	version int
	dead    bool
	// cache and order hold the cached pieces, the one used last in front.
	cache map[uint64]*list.Element
	order *list.List
}

func (w *World) startPrefill(t *try, n sardineknot.BackendServerName) {
	for _, e := range w.prefill {
		if e.server.Name != n {
			continue
		}
		if e.dead && !w.ideal {
			w.After(refusedConnection, func() { w.fail(t, n, &w.result.Waste.Failed) })
			return
		}
		t.prefill = e
		t.from = e.server.Zone
		e.queue = append(e.queue, t)
		e.next()
	}
}

// next begins the first job of the queue if nothing is worked on.
func (e *prefillEngine) next() {
	if e.current != nil || len(e.queue) == 0 {
		return
	}
	t := e.queue[0]
	e.queue = e.queue[1:]
	e.current = t
	e.begun = e.world.Now()
	e.version++
	v := e.version
	d := e.world.workload.Prefill(e.world.uncached(e, t))
	e.world.After(d, func() {
		if e.version == v && e.current == t {
			e.done(t)
		}
	})
}

func (e *prefillEngine) done(t *try) {
	w := e.world
	e.stop()
	e.keep(t.ask.prefixes)
	t.prefill = nil
	t.prefilled = w.Now()
	w.report(t, sardineknot.JobPrefillDone, e.server.Name, 0)
	if !w.ideal {
		w.After(w.workload.Life, func() { w.evict(t, e) })
	}
	e.next()
	if t.next != nil {
		w.After(w.hop(), func() {
			if !t.ended && t.decode == nil {
				w.startDecode(t)
			}
		})
	}
}

// stop ends the work on current.
func (e *prefillEngine) stop() {
	d := e.world.Now().Sub(e.begun)
	e.current.work += d
	e.world.result.Prefill += d
	e.current = nil
	e.version++
}

// remove takes t off e.
func (e *prefillEngine) remove(t *try) {
	t.prefill = nil
	if e.current == t {
		e.stop()
		e.next()
		return
	}
	for i, q := range e.queue {
		if q == t {
			e.queue = append(e.queue[:i:i], e.queue[i+1:]...)
			return
		}
	}
}

// evict drops the result of t's prefill unless it was read.
func (w *World) evict(t *try, e *prefillEngine) {
	if t.ended || t.used {
		return
	}
	if t.decode == nil && t.next == nil {
		// The entry host waits for an engine and learns of the loss when it
		// has one.
		return
	}
	n := t.next.server.Name
	if t.decode == nil {
		n = e.server.Name
	}
	w.fail(t, n, &w.result.Waste.Evicted)
}

// uncached returns the number of prompt tokens of t that e has not cached.
func (w *World) uncached(e *prefillEngine, t *try) int {
	n := t.promptTokens()
	for _, h := range t.ask.prefixes {
		ok := w.shared[h]
		if !w.ideal {
			_, ok = e.cache[h]
		}
		if !ok {
			break
		}
		n -= sardineknot.TokensPerMemoryPiece
	}
	return max(1, n)
}

// keep caches the pieces l.
func (e *prefillEngine) keep(l []uint64) {
	for i := len(l) - 1; i >= 0; i-- {
		h := l[i]
		e.world.shared[h] = true
		c := e.cache[h]
		if c != nil {
			e.order.MoveToFront(c)
			continue
		}
		e.cache[h] = e.order.PushFront(h)
		if e.order.Len() > e.world.workload.CachePieces {
			b := e.order.Back()
			delete(e.cache, b.Value.(uint64))
			e.order.Remove(b)
		}
	}
}
