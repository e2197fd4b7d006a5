package world

import (
	"time"

	"sardineknot.example/sardineknot"
)

// decodeEngine generates a token for each of its requests at a time.
type decodeEngine struct {
	world  *World
	server sardineknot.BackendServer
	// waiting holds requests without a slot, in order of arrival. running
	// holds those with one, which import or generate.
	waiting []*try
	running []*try
	// position counts the tokens that a request would have generated since the
	// start. It is valid at updated.
	position float64
	updated  time.Time
	interval time.Duration
	// version numbers the plans for the next event.
	version int
	dead    bool
}

func (w *World) findDecode(n sardineknot.BackendServerName) *decodeEngine {
	for _, e := range w.decode {
		if e.server.Name == n {
			return e
		}
	}
	return nil
}

// startDecode sends t to the engine that was decided for it.
func (w *World) startDecode(t *try) {
	e := t.next
	if !w.ideal && w.Now().Sub(t.prefilled) >= w.workload.Life {
		w.fail(t, e.server.Name, &w.result.Waste.Evicted)
		return
	}
	if e.dead && !w.ideal {
		w.After(refusedConnection, func() { w.fail(t, e.server.Name, &w.result.Waste.Failed) })
		return
	}
	t.decode = e
	e.waiting = append(e.waiting, t)
	e.admit()
}

// admit gives slots to waiting requests and begins their transfers.
func (e *decodeEngine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.server.Slots && e.room(e.waiting[0]) {
		t := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running = append(e.running, t)
		e.world.beginTransfer(t, func() { e.begin(t) })
	}
}

// room reports whether the prompt of t fits in memory.
func (e *decodeEngine) room(t *try) bool {
	return e.world.ideal || len(e.running) == 0 || e.pieces()+pieces(t.promptTokens()) <= e.server.MemoryPieces
}

// pieces returns the memory in use.
func (e *decodeEngine) pieces() int {
	var n int
	for _, t := range e.running {
		g := 0
		if t.imported {
			g = int(e.position - t.position)
		}
		n += pieces(t.promptTokens() + g)
	}
	return n
}

func pieces(tokens int) int {
	return (tokens + sardineknot.TokensPerMemoryPiece - 1) / sardineknot.TokensPerMemoryPiece
}

// begin starts the generation of t after its import.
func (e *decodeEngine) begin(t *try) {
	if t.ended {
		return
	}
	e.advance()
	t.used = true
	t.imported = true
	t.position = e.position
	e.plan()
}

// advance brings position up to date.
func (e *decodeEngine) advance() {
	n := e.world.Now()
	if e.interval > 0 {
		d := n.Sub(e.updated).Seconds() / e.interval.Seconds()
		e.position += d
		e.world.countTokens(e.interval, d*float64(e.generating()))
	}
	e.updated = n
}

func (e *decodeEngine) generating() int {
	var n int
	for _, t := range e.running {
		if t.imported {
			n++
		}
	}
	return n
}

// plan works out the interval and the next first or last token.
func (e *decodeEngine) plan() {
	e.version++
	w := e.world
	n := e.generating()
	if n == 0 {
		e.interval = 0
		return
	}
	e.interval = w.workload.Interval(n)
	if !w.ideal && e.pieces() > e.server.MemoryPieces && n > 1 {
		e.interval = time.Duration(float64(e.interval) * w.workload.OvercommitFactor)
	}
	d := e.remaining()
	v := e.version
	w.After(max(0, time.Duration(d*float64(e.interval)))+1, func() {
		if e.version == v {
			e.step()
		}
	})
}

// remaining returns the number of tokens until the next first or last one.
func (e *decodeEngine) remaining() float64 {
	m := 1e9
	for _, t := range e.running {
		if !t.imported {
			continue
		}
		g := e.position - t.position
		l := float64(t.left()) - g
		if !t.started {
			l = min(l, 1-g)
		}
		m = min(m, l)
	}
	return max(0, m)
}

// step handles the first and last tokens that are due.
func (e *decodeEngine) step() {
	const rounding = 1e-4
	e.advance()
	for _, t := range append([]*try(nil), e.running...) {
		g := e.position - t.position + rounding
		if !t.imported || t.ended {
			continue
		}
		if g >= 1 && !t.started {
			e.world.firstToken(t)
		}
		if g >= float64(t.left()) {
			e.world.lastToken(t)
		}
	}
	e.plan()
}

// remove takes t off e and lets the next request in.
func (e *decodeEngine) remove(t *try) {
	e.advance()
	e.world.endTransfer(t)
	t.decode = nil
	e.waiting = without(e.waiting, t)
	e.running = without(e.running, t)
	e.plan()
	if !e.dead {
		e.admit()
	}
}

func without(l []*try, t *try) []*try {
	for i, x := range l {
		if x == t {
			return append(l[:i:i], l[i+1:]...)
		}
	}
	return l
}

// freeing returns the number of running requests that end within d if no
// others join them.
func (w *World) freeing(d time.Duration) int {
	var n int
	for _, e := range w.decode {
		e.advance()
		for _, t := range e.running {
			if t.imported && (float64(t.left())-e.position+t.position)*e.interval.Seconds() <= d.Seconds() {
				n++
			}
		}
	}
	return n
}
