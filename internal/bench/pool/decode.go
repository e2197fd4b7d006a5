package pool

import (
	"slices"
	"time"

	"sardineknot.example/sardineknot"
)

// decodeEngine generates answers in steps.
type decodeEngine struct {
	pool   *Pool
	server sardineknot.BackendServer
	// speed is the number of engines that it stands for.
	speed int
	// running lists the answers that have memory, and waiting those that wait
	// for it.
	running []*answer
	waiting []*answer
	// accepted counts the answers taken.
	accepted int
	// stepping tells that steps are under way since begun. Each takes stepTime,
	// and in the only one chunk tokens of reading are read, if that is set.
	stepping bool
	begun    time.Time
	steps    int
	stepTime time.Duration
	reading  *answer
	chunk    int
	// version numbers the plans.
	version int
	dead    bool
}

// answer is a request on a decode engine.
type answer struct {
	try *try
	// order is the place in the order of acceptance.
	order int
	// unread is the number of tokens still to be read.
	unread int
	// held is the number of tokens in memory, and left the number of tokens to
	// be generated.
	held int
	left int
	// pending is the number of tokens of the next event.
	pending int
}

// accept takes t, and reports false if the engine is full or gone.
func (r *decodeEngine) accept(t *try, unread bool) bool {
	if r.dead || len(r.waiting) >= r.pool.pattern.Queue*r.speed {
		return false
	}
	r.accepted++
	p := t.job.PromptTokens
	n := &answer{try: t, order: r.accepted, held: p, left: t.ask.answer*r.pool.pattern.EventTokens - (p - t.ask.prompt)}
	if unread {
		n.unread = p
	}
	t.answer = n
	r.interrupt()
	r.waiting = append(r.waiting, n)
	r.admit()
	r.step()
	return true
}

// admit moves answers that fit into memory.
func (r *decodeEngine) admit() {
	for len(r.waiting) > 0 && len(r.running) < r.server.Slots {
		a := r.waiting[0]
		if len(r.running) > 0 && r.used()+r.blocks(a.held+1) > r.server.MemoryTokens {
			return
		}
		r.waiting = r.waiting[1:]
		r.running = append(r.running, a)
	}
}

// used returns the memory in use.
func (r *decodeEngine) used() int {
	var n int
	for _, a := range r.running {
		n += r.blocks(a.held)
	}
	return n
}

// blocks rounds tokens up to whole blocks.
func (r *decodeEngine) blocks(tokens int) int {
	b := r.pool.pattern.Block
	return (tokens + b - 1) / b * b
}

// step begins the next steps unless some are under way.
func (r *decodeEngine) step() {
	if r.stepping || r.dead || len(r.running) == 0 {
		return
	}
	r.stepping = true
	r.begun = r.pool.Now()
	r.plan()
	v := r.version
	r.pool.After(time.Duration(r.steps)*r.stepTime, func() {
		if r.version == v {
			r.complete(r.steps)
		}
	})
}

// interrupt ends the steps that are under way after the present one, since the
// requests of the engine change.
func (r *decodeEngine) interrupt() {
	if !r.stepping || r.steps == 1 {
		return
	}
	r.version++
	r.complete(min(r.steps, int(r.pool.Now().Sub(r.begun)/r.stepTime)))
}

// plan works out the next steps: how many there are until something happens, the
// time of each, and what is read in them.
func (r *decodeEngine) plan() {
	p := r.pool.pattern
	var m int
	r.reading, r.chunk = nil, 0
	r.steps = p.EventTokens
	for _, x := range r.running {
		m += x.held
		r.steps = min(r.steps, p.EventTokens-x.pending, x.left)
		if r.reading == nil && x.unread > 0 {
			r.reading = x
		}
	}
	r.stepTime = p.Step + time.Duration(len(r.running)/r.speed)*p.StepPerRequest + time.Duration(m/r.speed/1000)*p.StepPerThousand
	r.steps = max(1, min(r.steps, (r.server.MemoryTokens-r.used())/len(r.running)-p.Block))
	if r.reading != nil {
		r.chunk = min(r.reading.unread, p.SelfChunk)
		r.stepTime += time.Duration(r.chunk*p.SelfFactor) * p.ReadPerToken
		r.steps = 1
	}
}

// complete ends n steps.
func (r *decodeEngine) complete(n int) {
	r.stepping = false
	for _, x := range slices.Clone(r.running) {
		if x.unread == 0 && !x.try.ended {
			r.generate(x, n)
		}
	}
	if r.reading != nil {
		r.reading.unread -= r.chunk
		r.pool.read += r.chunk
	}
	r.preempt()
	r.admit()
	r.step()
}

// generate adds n tokens to x, which end an event at most.
func (r *decodeEngine) generate(x *answer, n int) {
	x.held += n
	x.left -= n
	x.pending += n
	if x.pending < r.pool.pattern.EventTokens && x.left > 0 {
		return
	}
	x.pending = 0
	r.pool.event(x.try)
	if x.left <= 0 {
		r.running = without(r.running, x)
		r.pool.finished(x.try)
	}
}

// preempt takes the newest answers out of memory until the others fit.
func (r *decodeEngine) preempt() {
	for len(r.running) > 1 && r.used() > r.server.MemoryTokens {
		b := slices.MaxFunc(r.running, func(a, b *answer) int { return a.order - b.order })
		r.running = without(r.running, b)
		b.unread = b.held
		r.pool.vain += b.held
		if !b.try.ask.preempted {
			b.try.ask.preempted = true
			r.pool.preempted++
		}
		r.waiting = append([]*answer{b}, r.waiting...)
	}
}

// drop takes a off r.
func (r *decodeEngine) drop(a *answer) {
	r.interrupt()
	r.running = without(r.running, a)
	r.waiting = without(r.waiting, a)
	r.admit()
	r.step()
}

// crash ends r with all that runs on it.
func (r *decodeEngine) crash() {
	r.dead = true
	r.version++
	r.stepping = false
	for _, a := range append(r.running, r.waiting...) {
		t := a.try
		t.answer = nil
		r.pool.After(brokenTime, func() { r.pool.failLive(t, r.server, false) })
	}
	r.running, r.waiting = nil, nil
}

// without returns l without x.
func without[T comparable](l []T, x T) []T {
	return slices.DeleteFunc(l, func(y T) bool { return y == x })
}
