// Package breaker selects backend servers of plain services for calls, with a
// circuit breaker for each server.
//
// A circuit opens after consecutive failures of its server. While it is open,
// the server gets no calls; the open time doubles with each further failure.
// Afterwards the circuit is half-open: a single probe call is let through, and
// its result closes or opens the circuit. See Nygard, "Release It!", 2nd
// edition, 2018, section 5.2. Calls that callers abandon count too if the server
// answers none meanwhile (Set.Unanswered): a server that never ends its answers would
// otherwise keep its share of the calls.
//
// Each host has its own circuits and counts only its own calls.
// BackendServer.Slots bounds the concurrent calls of one host to a server.
package breaker

import (
	"math/rand/v2"
	"sync"
	"time"

	"sardineknot.example/sardineknot"
)

const (
	// failureThreshold is the number of consecutive failures that opens a
	// circuit.
	failureThreshold = 3
	// minOpenTime is the time for which a circuit is open at first. It doubles
	// with each further failure, up to maxOpenTime.
	minOpenTime = time.Second
	maxOpenTime = 30 * time.Second
	// maxOffset bounds the random initial offset of a set.
	maxOffset = 1 << 20
)

// callOutcome is the result of a call.
type callOutcome int

// The outcomes of a call.
const (
	// Succeeded closes the circuit.
	Succeeded callOutcome = iota + 1
	// Failed counts as a failure of the server.
	Failed
	// Abandoned means that the caller gave up the call. It leaves the failure
	// count of the server unchanged.
	Abandoned
)

// Set holds the circuits of one entry host. It is safe for concurrent use. It
// does not read a clock; the times passed to its methods must not decrease.
type Set struct {
	mu     sync.Mutex
	random *rand.Rand
	// offset is the position from which servers are examined. Each Pick
	// advances it, so that servers of equal cost are picked in turn.
	offset int
	// circuits holds the circuit of each server that Pick has examined.
	circuits map[sardineknot.BackendServerName]*circuit
}

// circuit is the circuit breaker of one server.
type circuit struct {
	// calls is the number of calls in progress.
	calls int
	// failures is the number of consecutive failures.
	failures int
	// openUntil is the time at which an open circuit becomes half-open.
	openUntil time.Time
	// probing is set while the probe call of a half-open circuit is in
	// progress.
	probing bool
	// succeededAt is the time of the last success. unansweredAt is the time of the last
	// unanswered call that counted as a failure, and unanswered is set if there was one
	// since the last success.
	succeededAt  time.Time
	unansweredAt time.Time
	unanswered   bool
}

// NewSet returns a set in which all circuits are closed. It panics if source
// is nil.
func NewSet(source rand.Source) *Set {
	if source == nil {
		panic(&sardineknot.InvalidError{What: "source", Got: "nil", Expected: "a source of random numbers"})
	}
	r := rand.New(source)
	return &Set{random: r, offset: r.IntN(maxOffset), circuits: make(map[sardineknot.BackendServerName]*circuit)}
}

// Pick selects one of servers for a call and counts the call, which must be
// ended by Done. It prefers servers that are not in tried, then servers with
// few recent failures and a small fraction of their slots in use, and takes
// equal ones in turn. If all servers are excluded, those whose circuits were opened by
// unanswered calls are not. If no server is available, ok is false and wait is the time
// after which to call Pick again.
func (s *Set) Pick(now time.Time, servers []sardineknot.BackendServer, tried map[sardineknot.BackendServerName]bool) (server sardineknot.BackendServer, wait time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	wait = minOpenTime
	m := 0.0
	s.offset++
	for j := range servers {
		i := (s.offset + j) % len(servers)
		c := s.circuitLocked(servers[i].Name)
		if !c.admits(now, servers[i].Slots) {
			wait = min(wait, max(c.openUntil.Sub(now), minOpenTime/10))
			continue
		}
		w := c.cost(now, servers[i].Slots, tried[servers[i].Name])
		if !ok || w < m {
			server, m, ok = servers[i], w, true
		}
	}
	if !ok {
		server, ok = s.pickUnansweredLocked(servers)
	}
	if ok {
		c := s.circuitLocked(server.Name)
		c.calls++
		c.probing = c.failures >= failureThreshold
	}
	return server, wait, ok
}

// Done ends a call to a server that Pick returned, and records its outcome.
func (s *Set) Done(now time.Time, server sardineknot.BackendServerName, outcome callOutcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.doneLocked(now, server, outcome)
}

func (s *Set) doneLocked(now time.Time, server sardineknot.BackendServerName, outcome callOutcome) {
	c := s.circuitLocked(server)
	c.calls--
	c.probing = false
	switch outcome {
	case Succeeded:
		c.failures = 0
		c.succeededAt, c.unanswered = now, false
	case Failed:
		c.failures++
		c.openUntil = now.Add(s.openTimeLocked(c.failures))
	}
}

// openTimeLocked returns the time for which a circuit stays open after a
// number of consecutive failures. Up to a quarter of it is subtracted at
// random, so that hosts do not probe a server at the same time.
func (s *Set) openTimeLocked(failures int) time.Duration {
	d := minOpenTime
	for i := failureThreshold; i < failures && d < maxOpenTime; i++ {
		d *= 2
	}
	d = min(d, maxOpenTime)
	return d - time.Duration(s.random.Int64N(int64(d/4)))
}

// circuitLocked returns the circuit of server, and creates it if needed.
func (s *Set) circuitLocked(server sardineknot.BackendServerName) *circuit {
	c := s.circuits[server]
	if c == nil {
		c = &circuit{}
		s.circuits[server] = c
	}
	return c
}

// admits reports whether a call may be sent to the server, which has the given
// number of slots.
func (c *circuit) admits(now time.Time, slots int) bool {
	if c.calls >= slots {
		return false
	}
	return c.failures < failureThreshold || !c.probing && !now.Before(c.openUntil)
}

// cost returns the cost of a call to the server, by which servers are compared.
// Each consecutive failure counts as much as the use of all slots, so that a
// server whose calls fail quickly is not mistaken for an idle one. After unanswered calls,
// one call at a time is let through at no such cost once the open time has passed.
func (c *circuit) cost(now time.Time, slots int, tried bool) float64 {
	w := float64(c.calls) / float64(slots)
	if !c.unanswered || c.calls > 0 || now.Before(c.openUntil) {
		w += float64(c.failures)
	}
	if tried {
		w += failureThreshold
	}
	return w
}
