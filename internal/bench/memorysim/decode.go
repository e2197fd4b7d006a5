package memorysim

import (
	"slices"
	"time"

	"sardineknot.example/sardineknot"
)

// decodeEngine models a decode engine, which generates answers in steps.
type decodeEngine struct {
	simulation *Simulation
	server     sardineknot.BackendServer
	// speed is the number of engines that this engine represents. It is above
	// one only in an ideal simulation.
	speed int
	// running holds the answers that occupy memory. waiting holds those that
	// wait for memory or a slot, in the order in which they are admitted.
	running []*answer
	waiting []*answer
	// accepted is the number of answers accepted so far. It determines
	// answer.order.
	accepted int
	// stepping reports whether a batch of steps is running. begun is the start
	// of the batch, steps its number of steps, and stepTime the duration of each
	// step. If prefilling is not nil, the batch has a single step, which also
	// prefills chunkTokens tokens of that answer.
	stepping    bool
	begun       time.Time
	steps       int
	stepTime    time.Duration
	prefilling  *answer
	chunkTokens int
	// version is incremented to invalidate the scheduled end of the batch.
	version int
	dead    bool
	// changing is set once the engine has left its role.
	changing bool
	// slowness multiplies the duration of steps.
	slowness
}

// answer is the answer to a request, which a decode engine has queued or is
// generating.
type answer struct {
	attempt *attempt
	// order is the position of the answer in the order of acceptance.
	order int
	// uncached is the number of tokens that the decode engine itself has yet to
	// prefill.
	uncached int
	// memoryTokens is the number of tokens in memory, and remaining the number
	// of tokens to be generated.
	memoryTokens int
	remaining    int
	// eventTokens is the number of tokens generated for the next event.
	eventTokens int
}

// accept adds the answer of the attempt to the queue of the engine. If uncached
// is true, the engine prefills the prompt itself. accept returns false if the
// queue is full or the engine has crashed.
func (e *decodeEngine) accept(a *attempt, uncached bool) bool {
	if e.dead || len(e.waiting) >= e.simulation.pattern.Queue*e.speed {
		return false
	}
	e.accepted++
	p := a.job.PromptTokens
	x := &answer{attempt: a, order: e.accepted, memoryTokens: p, remaining: a.request.answer*e.simulation.pattern.EventTokens - (p - a.request.prompt)}
	if uncached {
		x.uncached = p
	}
	a.answer = x
	e.interrupt()
	e.waiting = append(e.waiting, x)
	e.admit()
	e.step()
	return true
}

// admit moves waiting answers to running while there are free slots and the
// next answer fits into memory. If no answer is running, the next one is
// admitted regardless of its size.
func (e *decodeEngine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.server.Slots {
		x := e.waiting[0]
		if len(e.running) > 0 && e.usedTokens()+e.roundToBlocks(x.memoryTokens+1) > e.server.MemoryTokens {
			return
		}
		e.waiting = e.waiting[1:]
		e.running = append(e.running, x)
	}
}

// usedTokens returns the memory in use, in tokens.
func (e *decodeEngine) usedTokens() int {
	var n int
	for _, x := range e.running {
		n += e.roundToBlocks(x.memoryTokens)
	}
	return n
}

// roundToBlocks rounds a number of tokens up to a multiple of the block size.
func (e *decodeEngine) roundToBlocks(tokens int) int {
	b := e.simulation.pattern.Block
	return (tokens + b - 1) / b * b
}

// step starts the next batch of steps unless one is running or there is nothing
// to do.
func (e *decodeEngine) step() {
	if e.stepping || e.dead || len(e.running) == 0 {
		return
	}
	e.stepping = true
	e.begun = e.simulation.Now()
	e.plan()
	v := e.version
	e.simulation.After(time.Duration(e.steps)*e.stepTime, func() {
		if e.version == v {
			e.complete(e.steps)
		}
	})
}

// interrupt ends the running batch at the last complete step, because the
// requests of the engine are about to change. A batch of one step is not
// interrupted.
func (e *decodeEngine) interrupt() {
	if !e.stepping || e.steps == 1 {
		return
	}
	e.version++
	e.complete(min(e.steps, int(e.simulation.Now().Sub(e.begun)/e.stepTime)))
}

// plan determines the next batch: the number of steps until an event is due, an
// answer ends or memory may run out; the duration of a step; and the answer, if
// any, whose prompt the engine prefills itself.
func (e *decodeEngine) plan() {
	p := e.simulation.pattern
	var m int
	e.prefilling, e.chunkTokens = nil, 0
	e.steps = p.EventTokens
	for _, x := range e.running {
		m += x.memoryTokens
		e.steps = min(e.steps, p.EventTokens-x.eventTokens, x.remaining)
		if e.prefilling == nil && x.uncached > 0 {
			e.prefilling = x
		}
	}
	e.stepTime = p.StepBase + time.Duration(len(e.running)/e.speed)*p.StepPerRequest + time.Duration(m/e.speed/1000)*p.StepPerThousand
	e.steps = max(1, min(e.steps, (e.server.MemoryTokens-e.usedTokens())/len(e.running)-p.Block))
	if e.prefilling != nil {
		e.chunkTokens = min(e.prefilling.uncached, p.LocalPrefillChunk)
		e.stepTime += time.Duration(e.chunkTokens*p.LocalPrefillFactor) * p.PrefillPerToken
		e.steps = 1
	}
	e.stepTime = e.scaled(e.stepTime)
}

// complete ends the running batch after count steps and starts the next one.
func (e *decodeEngine) complete(count int) {
	e.stepping = false
	for _, x := range slices.Clone(e.running) {
		if x.uncached == 0 && !x.attempt.ended {
			e.generate(x, count)
		}
	}
	if e.prefilling != nil {
		e.prefilling.uncached -= e.chunkTokens
		e.simulation.prefilledTokens += e.chunkTokens
	}
	e.preempt()
	e.admit()
	e.step()
}

// generate adds the given number of tokens to x. The number must not exceed
// that of the tokens until the next event.
func (e *decodeEngine) generate(x *answer, tokens int) {
	x.memoryTokens += tokens
	x.remaining -= tokens
	x.eventTokens += tokens
	if x.eventTokens < e.simulation.pattern.EventTokens && x.remaining > 0 {
		return
	}
	x.eventTokens = 0
	e.simulation.recordEvent(x.attempt)
	if x.remaining <= 0 {
		e.running = without(e.running, x)
		e.simulation.finishAttempt(x.attempt)
	}
}

// preempt moves the newest answers from memory to the front of the queue until
// the other answers fit. The prompt and the tokens of a preempted answer must
// be prefilled again.
func (e *decodeEngine) preempt() {
	for len(e.running) > 1 && e.usedTokens() > e.server.MemoryTokens {
		b := slices.MaxFunc(e.running, func(a, b *answer) int { return a.order - b.order })
		e.running = without(e.running, b)
		b.uncached = b.memoryTokens
		e.simulation.wastedTokens += b.memoryTokens
		if !b.attempt.request.preempted {
			b.attempt.request.preempted = true
			e.simulation.preempted++
		}
		e.waiting = append([]*answer{b}, e.waiting...)
	}
}

// remove removes x from e.
func (e *decodeEngine) remove(x *answer) {
	e.interrupt()
	e.running = without(e.running, x)
	e.waiting = without(e.waiting, x)
	e.admit()
	e.step()
}

// crash stops e and fails all its requests after connectionErrorDelay.
func (e *decodeEngine) crash() {
	e.dead = true
	e.version++
	e.stepping = false
	for _, x := range append(e.running, e.waiting...) {
		a := x.attempt
		a.answer = nil
		e.simulation.After(connectionErrorDelay, func() { e.simulation.failUnlessEnded(a, e.server, false) })
	}
	e.running, e.waiting = nil, nil
}

// without returns list without element. It modifies list.
func without[T comparable](list []T, element T) []T {
	return slices.DeleteFunc(list, func(y T) bool { return y == element })
}
