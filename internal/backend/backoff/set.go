// Package backoff records for how long backend servers want no requests from
// this host.
//
// A server that turns a request away may say how long it is to be left alone. The
// host then sends it nothing until that time has passed: no calls, prefills, load
// queries or orders. A process that replaces the server under its name, with
// another BackendServer.Born, is not affected.
package backoff

import (
	"math/rand/v2"
	"sync"
	"time"

	"sardineknot.example/sardineknot"
)

const (
	// spreadDivisor and minSpread set the interval over which the retries of
	// callers are spread: the time that is left divided by spreadDivisor, but at
	// least minSpread.
	spreadDivisor = 4
	minSpread     = 100 * time.Millisecond
)

// Set holds the backoffs of one entry host. It is safe for concurrent use. It
// does not read a clock.
type Set struct {
	mu     sync.Mutex
	random *rand.Rand
	// until holds the end of each backoff. Ends that have passed are deleted by
	// Record.
	until map[sardineknot.ServerProcess]time.Time
	// last is the latest end ever recorded.
	last time.Time
}

// NewSet returns a set without backoffs. It panics if source is nil.
func NewSet(source rand.Source) *Set {
	if source == nil {
		panic(&sardineknot.InvalidError{What: "source", Got: "nil", Expected: "a source of random numbers"})
	}
	return &Set{random: rand.New(source), until: make(map[sardineknot.ServerProcess]time.Time)}
}

// Record records that server wants no requests for the duration wait from now on.
// A backoff that ends later stays. Record reports whether server had none before.
func (s *Set) Record(now time.Time, server sardineknot.BackendServer, wait time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for p, t := range s.until {
		if !now.Before(t) {
			delete(s.until, p)
		}
	}
	p, e := server.Process(), now.Add(wait)
	o, ok := s.until[p]
	if !ok || e.After(o) {
		s.until[p] = e
	}
	if e.After(s.last) {
		s.last = e
	}
	return !ok
}

// Left returns the time for which server still wants no requests, or zero.
func (s *Set) Left(now time.Time, server sardineknot.BackendServer) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leftLocked(now, server)
}

func (s *Set) leftLocked(now time.Time, server sardineknot.BackendServer) time.Duration {
	if !now.Before(s.last) {
		return 0
	}
	return max(0, s.until[server.Process()].Sub(now))
}

// Any reports whether some server wants no requests.
func (s *Set) Any(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.last)
}

// Available returns those of servers that may get requests. If there is none,
// earliest is the time until the first of the backoffs of servers ends.
func (s *Set) Available(now time.Time, servers []sardineknot.BackendServer) (available []sardineknot.BackendServer, earliest time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !now.Before(s.last) {
		return servers, 0
	}
	for _, b := range servers {
		d := s.leftLocked(now, b)
		switch {
		case d == 0:
			available = append(available, b)
		case earliest == 0 || d < earliest:
			earliest = d
		}
	}
	if len(available) > 0 {
		earliest = 0
	}
	return available, earliest
}

// Refusal returns the error of a call that no server takes until the duration
// left has passed. Its retry time is later by a random part, so that the callers
// that are refused meanwhile do not return at the same time.
func (s *Set) Refusal(left time.Duration) *sardineknot.NotRunError {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := left + time.Duration(s.random.Int64N(int64(max(minSpread, left/spreadDivisor))))
	return &sardineknot.NotRunError{Reason: "all backend servers have asked for no requests for some time", RetryAfter: d}
}
