package breaker

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot"
)

// giveUp sends a call to one of servers at start plus at, which its caller abandons a second
// later. It returns the name of the server, or "" if none is available.
func giveUp(set *Set, at time.Duration, servers []sardineknot.BackendServer) string {
	b, _, ok := set.Pick(start.Add(at), servers, nil)
	if !ok {
		return ""
	}
	set.Unanswered(start.Add(at+time.Second), start.Add(at), b.Name)
	return string(b.Name)
}

// TestUnansweredCalls guards against a server that never ends its answers and keeps its share
// of the calls, because their callers leave before the deadline, which counted as no failure.
// The load is 10 calls a second for a minute on four servers.
func TestUnansweredCalls(t *testing.T) {
	is := is.New(t)
	s := newTestSet()
	n := 0
	var until time.Duration
	for at := time.Duration(0); at < time.Minute; at += 100 * time.Millisecond {
		b, _, ok := s.Pick(start.Add(at), servers("a", "b", "c", "d"), nil)
		is.True(ok)
		if b.Name != "a" {
			s.Done(start.Add(at), b.Name, Succeeded)
			continue
		}
		n++
		until = max(at, until) + 900*time.Millisecond
		s.Unanswered(start.Add(until), start.Add(until-900*time.Millisecond), b.Name)
	}
	is.True(n > failureThreshold) // it is tried again
	is.True(n <= 12)              // 150 are its share
}

// TestGivenUpCalls guards against a sound server that is excluded because many callers leave
// at a time, or because some leave while it answers others.
func TestGivenUpCalls(t *testing.T) {
	l := servers("a")
	l[0].Slots = 100
	t.Run("50 calls together", func(t *testing.T) {
		s := newTestSet()
		for range 50 {
			_, _, ok := s.Pick(start, l, nil)
			is.New(t).True(ok)
		}
		for i := range 50 {
			s.Unanswered(start.Add(time.Second+time.Duration(i)*time.Millisecond), start, "a")
		}
		is.New(t).Equal(len(s.Blocked(start.Add(time.Second), l)), 0)
	})
	t.Run("half of the calls, one a second", func(t *testing.T) {
		s := newTestSet()
		for i := range 100 {
			n := time.Duration(i) * time.Second
			s.Pick(start.Add(n), l, nil)
			call(s, n+500*time.Millisecond, l, nil)
			s.Unanswered(start.Add(n+900*time.Millisecond), start.Add(n), "a")
			is.New(t).Equal(len(s.Blocked(start.Add(n+time.Second), l)), 0)
		}
	})
	t.Run("a success ends the exclusion", func(t *testing.T) {
		s := newTestSet()
		for i := range failureThreshold {
			is.New(t).Equal(giveUp(s, time.Duration(i)*2*time.Second, l), "a")
		}
		n := 2*failureThreshold*time.Second + minOpenTime
		is.New(t).Equal(call(s, n, l, nil), "a")
		is.New(t).Equal(len(s.Blocked(start.Add(n), l)), 0)
	})
}

// TestAllUnanswered guards against calls that are refused because no server of a service
// answers: the cause may lie outside of the servers. The load is one call each 1.3 s.
func TestAllUnanswered(t *testing.T) {
	s := newTestSet()
	m := make(map[string]int)
	for i := range 100 {
		m[giveUp(s, time.Duration(i)*1300*time.Millisecond, servers("a", "b"))]++
	}
	is.New(t).Equal(m[""], 0)
	is.New(t).True(m["a"] > 25 && m["b"] > 25)
}

// TestFullServers guards against calls to an excluded server because the others are full.
func TestFullServers(t *testing.T) {
	s := newTestSet()
	for i := range failureThreshold {
		giveUp(s, time.Duration(i)*2*time.Second, servers("a"))
	}
	n := start.Add(2*failureThreshold*time.Second - 500*time.Millisecond) // the circuit is open
	for range 4 {
		b, _, ok := s.Pick(n, servers("a", "b"), nil)
		is.New(t).True(ok && b.Name == "b")
	}
	_, _, ok := s.Pick(n, servers("a", "b"), nil)
	is.New(t).True(!ok)
}
