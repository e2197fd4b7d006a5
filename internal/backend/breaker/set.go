// Package breaker picks backend servers of plain services and keeps away from
// those that fail.
//
// A server has a circuit. It opens after failures in a row, which keeps calls
// away for a time that doubles with each further failure. After that time the
// circuit is half-open: one call goes through, and its result closes or opens
// the circuit. Source: Nygard, "Release It!", 2nd edition, 2018, section 5.2.
//
// Each host keeps its own circuits and counts its own calls; BackendServer.Slots
// bounds the calls that one host has at a server.
package breaker

import (
	"math/rand/v2"
	"sync"
	"time"

	"sardineknot.example/sardineknot"
)

const (
	// threshold is the number of failures in a row that opens a circuit.
	threshold = 3
	// firstOpen is the time for which a circuit is open first. It doubles up
	// to maxOpen.
	firstOpen = time.Second
	maxOpen   = 30 * time.Second
	// maxTurn bounds the turn that a set starts from.
	maxTurn = 1 << 20
)

// outcome is the result of a call.
type outcome int

// The outcomes of a call.
const (
	// Succeeded closes the circuit.
	Succeeded outcome = iota + 1
	// Failed counts against the server.
	Failed
	// Abandoned says nothing about the server.
	Abandoned
)

// Set holds the circuits of one entry host. It is safe for concurrent use. It
// reads no clock; the time that its methods take must not decrease.
type Set struct {
	mu     sync.Mutex
	random *rand.Rand
	// turn moves the server that goes first among equals.
	turn int
	// circuits holds an entry for each server that was picked.
	circuits map[sardineknot.BackendServerName]*circuit
}

// circuit is the state of one server.
type circuit struct {
	// calls counts the calls in progress.
	calls int
	// failures counts the failures in a row.
	failures int
	// openUntil is the time at which an open circuit becomes half-open.
	openUntil time.Time
	// probing reports that the one call of a half-open circuit is in progress.
	probing bool
}

// NewSet returns a set of closed circuits. It panics if source is nil.
func NewSet(source rand.Source) *Set {
	if source == nil {
		panic(&sardineknot.InvalidError{What: "source", Got: "nil", Expected: "a source of random numbers"})
	}
	r := rand.New(source)
	return &Set{random: r, turn: r.IntN(maxTurn), circuits: make(map[sardineknot.BackendServerName]*circuit)}
}

// Pick picks a server of l for a call and counts the call, which must be ended
// by Done. It prefers servers that tried does not name, then the one with the
// smallest share of its slots in use, and takes equals in turn. If it finds none, ok is false and wait
// is the time after which to ask again.
func (s *Set) Pick(now time.Time, l []sardineknot.BackendServer, tried map[sardineknot.BackendServerName]bool) (b sardineknot.BackendServer, wait time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	wait = firstOpen
	m := 0.0
	s.turn++
	for j := range l {
		i := (s.turn + j) % len(l)
		c := s.circuitLocked(l[i].Name)
		if !c.admits(now, l[i].Slots) {
			wait = min(wait, max(c.openUntil.Sub(now), firstOpen/10))
			continue
		}
		w := c.weight(l[i].Slots, tried[l[i].Name])
		if !ok || w < m {
			b, m, ok = l[i], w, true
		}
	}
	if ok {
		c := s.circuitLocked(b.Name)
		c.calls++
		c.probing = c.failures >= threshold
	}
	return b, wait, ok
}

// Done ends a call that was picked.
func (s *Set) Done(now time.Time, n sardineknot.BackendServerName, o outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.circuitLocked(n)
	c.calls--
	c.probing = false
	switch o {
	case Succeeded:
		c.failures = 0
	case Failed:
		c.failures++
		c.openUntil = now.Add(s.openTimeLocked(c.failures))
	}
}

// openTimeLocked returns the time to stay open after a number of failures, of
// which a quarter is random so that hosts do not probe at once.
func (s *Set) openTimeLocked(failures int) time.Duration {
	d := firstOpen
	for i := threshold; i < failures && d < maxOpen; i++ {
		d *= 2
	}
	d = min(d, maxOpen)
	return d - time.Duration(s.random.Int64N(int64(d/4)))
}

func (s *Set) circuitLocked(n sardineknot.BackendServerName) *circuit {
	c := s.circuits[n]
	if c == nil {
		c = &circuit{}
		s.circuits[n] = c
	}
	return c
}

// admits reports whether a call may go to a server with that number of slots.
func (c *circuit) admits(now time.Time, slots int) bool {
	if c.calls >= slots {
		return false
	}
	return c.failures < threshold || !c.probing && !now.Before(c.openUntil)
}

// weight orders servers. Each recent failure weighs as much as all slots, so
// that a server that fails at once does not look idle.
func (c *circuit) weight(slots int, tried bool) float64 {
	w := float64(c.calls)/float64(slots) + float64(c.failures)
	if tried {
		w += threshold
	}
	return w
}
