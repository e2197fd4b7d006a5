package pool

import (
	"time"

	"sardineknot.example/sardineknot"
)

// prefillEngine reads one prompt after the other.
type prefillEngine struct {
	pool   *Pool
	server sardineknot.BackendServer
	// speed is the number of engines that it stands for.
	speed int
	queue []*try
	// current is being read, or nil. version numbers the work.
	current *try
	version int
	dead    bool
	// lapsing tells that results are lost at once.
	lapsing bool
}

// read takes the prompt of t.
func (r *prefillEngine) read(t *try) {
	if r.dead {
		r.pool.After(brokenTime, func() { r.pool.failLive(t, r.server, true) })
		return
	}
	r.queue = append(r.queue, t)
	r.next()
}

// next begins with the next prompt if none is being read.
func (r *prefillEngine) next() {
	if r.current != nil || len(r.queue) == 0 {
		return
	}
	t := r.queue[0]
	r.queue = r.queue[1:]
	r.current = t
	r.version++
	v := r.version
	p := r.pool
	d := time.Duration(t.job.PromptTokens) * p.pattern.ReadPerToken / time.Duration(r.speed)
	p.After(d, func() {
		if r.version == v {
			r.done(t)
		}
	})
}

// done ends the work on t.
func (r *prefillEngine) done(t *try) {
	r.current = nil
	r.pool.read += t.job.PromptTokens
	t.lapsed = r.lapsing
	r.pool.prefilled(t)
	r.next()
}

// drop takes t off r. What was read of it is lost.
func (r *prefillEngine) drop(t *try) {
	if r.current == t {
		r.pool.read += t.job.PromptTokens
		r.pool.vain += t.job.PromptTokens
		r.current = nil
		r.version++
		r.next()
		return
	}
	r.queue = without(r.queue, t)
}

// crash ends r with all that it reads.
func (r *prefillEngine) crash() {
	r.dead = true
	l := r.queue
	if r.current != nil {
		l = append(l, r.current)
	}
	for _, t := range l {
		r.pool.After(brokenTime, func() { r.pool.failLive(t, r.server, false) })
	}
}

// failLive fails t if it goes on.
func (p *Pool) failLive(t *try, s sardineknot.BackendServer, gone bool) {
	if !t.ended {
		p.fail(t, s, gone)
	}
}
