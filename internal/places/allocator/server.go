package allocator

import (
	"math"
	"time"

	"sardineknot.example/sardineknot"
)

const (
	// learnShare is the weight of a new time of a call in the learned one.
	learnShare = 0.15
	// trustTime is the time without answers after which the time that was learned for
	// a server loses half of its difference from that of the fastest server. A
	// server that was slow gets calls again that way.
	trustTime = time.Second
	// depthInterval is the time after which one call more may queue at a server that
	// has refused a call.
	depthInterval = 200 * time.Millisecond
	// failureThreshold is the number of consecutive calls that did not reach a server,
	// from any host, after which it gets no calls for failedTime.
	failureThreshold = 3
	failedTime       = 500 * time.Millisecond
	// lossWeight is the disadvantage of a server that loses all calls, in times of a call.
	// A server that breaks calls off frees its slots early, and would get most calls
	// otherwise. It is not an expected time, so that no call is refused because of it.
	lossWeight = 16
	// forgetTime is the time after which an unused server is forgotten.
	forgetTime = time.Minute
)

// server is the state of one process of a server.
type server struct {
	// slots is the number of calls that run at the same time.
	slots int
	// placed counts the places in flight, and reported the calls that hosts have
	// reported.
	placed, reported int
	// time is the learned time of a call without a wait. Zero means unknown. It was
	// learned at learnedAt.
	time, learnedAt time.Duration
	// losses is the share of the last calls whose answers were lost.
	losses float64
	// depth is the number of calls at which the server refused one at depthAt. Zero
	// means unknown.
	depth   int
	depthAt time.Duration
	// failures counts the consecutive calls that did not reach the server, the last one
	// at failedAt.
	failures int
	failedAt time.Duration
	// usedAt is the time at which the server was last a candidate.
	usedAt time.Duration
}

// load returns the number of calls in flight.
func (s *server) load() int { return s.placed + s.reported }

// rounds returns how often a slot must become free before a call runs that finds the
// given number of others at the server, in units of a call's time.
func (s *server) rounds(load int) float64 {
	return float64(max(0, load-s.slots+1)) / float64(s.slots)
}

// learn records that a call took the given time, and found load others at the server.
func (s *server) learn(now, took time.Duration, load int) {
	t := float64(took) / (1 + s.rounds(load))
	if s.time > 0 {
		t = float64(s.time) + learnShare*(t-float64(s.time))
	}
	s.time, s.learnedAt, s.failures = time.Duration(t), now, 0
	s.losses -= learnShare * s.losses
}

// lose records that the answer to a call was lost after the server had got the call.
func (s *server) lose(now time.Duration) {
	s.losses += learnShare * (1 - s.losses)
	s.learnedAt = now
}

// fail records that a call did not reach the server.
func (s *server) fail(now time.Duration) {
	s.failures++
	s.failedAt = now
}

// failed reports whether the server is expected not to be reached.
func (s *server) failed(now time.Duration) bool {
	return s.failures >= failureThreshold && now < s.failedAt+failedTime
}

// learnDepth records that the server refused a call that found load others there.
func (s *server) learnDepth(now time.Duration, load int) {
	s.depth, s.depthAt = max(s.slots, load), now
}

// full reports whether the server is expected to refuse a call.
func (s *server) full(now time.Duration) bool {
	return s.depth > 0 && s.load() >= s.depth+int((now-s.depthAt)/depthInterval)
}

// candidate is a server that may get a call.
type candidate struct {
	process sardineknot.ServerProcess
	server  *server
	// time is the expected time of a call that runs, and wait the time before. penalty is
	// the disadvantage of a server that loses calls.
	time, wait, penalty time.Duration
	// free is set if no call waits at the server. ok is set if the server is expected to
	// be reached and to accept the call.
	free, ok bool
}

// candidates is the servers that may get a call.
type candidates struct {
	list []candidate
	// load and slots are sums over the servers.
	load, slots int
}

func (c *candidates) add(process sardineknot.ServerProcess, state *server) {
	c.list = append(c.list, candidate{process: process, server: state})
	c.load += state.load()
	c.slots += state.slots
}

// estimate sets the expected times of the servers. usual is assumed for servers of
// which no time is known.
func (c *candidates) estimate(now, usual time.Duration) {
	m := time.Duration(0)
	for _, e := range c.list {
		if t := e.server.time; t > 0 && (m == 0 || t < m) {
			m = t
		}
	}
	if m == 0 {
		m = usual
	}
	for i := range c.list {
		e := &c.list[i]
		s := e.server
		f := math.Exp2(-float64(now-s.learnedAt) / float64(trustTime))
		e.time = m
		if s.time > 0 {
			e.time += time.Duration(f * float64(s.time-m))
		}
		e.penalty = time.Duration(f * lossWeight * s.losses * float64(m))
		e.wait = time.Duration(s.rounds(s.load()) * float64(e.time))
		e.free, e.ok = s.load() <= s.slots, !s.full(now) && !s.failed(now)
	}
}

// best returns the server with the earliest expected completion, and of equal ones
// that with the smaller part of its slots in use. It returns one that is not ok only
// if there is no other.
func (c candidates) best() candidate {
	b := c.list[0]
	for _, e := range c.list[1:] {
		if e.before(b) {
			b = e
		}
	}
	return b
}

func (c candidate) before(other candidate) bool {
	if c.ok != other.ok {
		return c.ok
	}
	t, o := c.time+c.wait+c.penalty, other.time+other.wait+other.penalty
	if t != o {
		return t < o
	}
	return c.server.load()*other.server.slots < other.server.load()*c.server.slots
}

// interval returns the mean time between two ends of calls if all slots are in use.
// Zero means unknown.
func (c candidates) interval() time.Duration {
	r := 0.0
	for _, e := range c.list {
		if e.time > 0 {
			r += float64(e.server.slots) / float64(e.time)
		}
	}
	if r == 0 {
		return 0
	}
	return time.Duration(1 / r)
}
