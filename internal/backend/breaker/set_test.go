package breaker

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot"
)

var start = time.Unix(1000, 0)

func servers(names ...string) []sardineknot.BackendServer {
	var l []sardineknot.BackendServer
	for _, v := range names {
		l = append(l, sardineknot.BackendServer{Name: sardineknot.BackendServerName(v), Slots: 4})
	}
	return l
}

func newTestSet() *Set { return NewSet(rand.NewPCG(1, 2)) }

// call picks one of servers and ends the call, which fails if the server is in
// fails. Both happen at the time start plus after. call returns the name of the
// server, or "" if none is available.
func call(set *Set, after time.Duration, servers []sardineknot.BackendServer, fails map[string]bool) string {
	b, _, ok := set.Pick(start.Add(after), servers, nil)
	if !ok {
		return ""
	}
	o := Succeeded
	if fails[string(b.Name)] {
		o = Failed
	}
	set.Done(start.Add(after), b.Name, o)
	return string(b.Name)
}

func TestFastFailure(t *testing.T) {
	s := newTestSet()
	m := make(map[string]int)
	for i := range 1000 {
		m[call(s, time.Duration(i)*time.Millisecond, servers("a", "b"), map[string]bool{"a": true})]++
	}
	is.New(t).True(m["a"] <= failureThreshold+1) // the circuit opens after a few failures
	is.New(t).Equal(m["a"]+m["b"], 1000)
}

func TestHalfOpen(t *testing.T) {
	l := servers("a")
	down := map[string]bool{"a": true}
	open := func() *Set {
		s := newTestSet()
		for range failureThreshold {
			call(s, 0, l, down)
		}
		return s
	}
	t.Run("stays open", func(t *testing.T) {
		is.New(t).Equal(call(open(), minOpenTime/2, l, nil), "")
	})
	t.Run("lets a single call through", func(t *testing.T) {
		s := open()
		_, _, ok := s.Pick(start.Add(minOpenTime), l, nil)
		is.New(t).True(ok)
		is.New(t).Equal(call(s, minOpenTime, l, nil), "")
	})
	t.Run("closes after a success", func(t *testing.T) {
		s := open()
		is.New(t).Equal(call(s, minOpenTime, l, nil), "a")
		is.New(t).Equal(call(s, minOpenTime, l, nil), "a")
	})
	t.Run("opens for longer after a failure", func(t *testing.T) {
		s := open()
		call(s, minOpenTime, l, down)
		is.New(t).Equal(call(s, minOpenTime+minOpenTime, l, nil), "")
		is.New(t).Equal(call(s, 3*minOpenTime, l, nil), "a")
	})
	t.Run("lets another call through after an abandoned one", func(t *testing.T) {
		s := open()
		b, _, _ := s.Pick(start.Add(minOpenTime), l, nil)
		s.Done(start.Add(minOpenTime), b.Name, Abandoned)
		is.New(t).Equal(call(s, minOpenTime, l, nil), "a")
	})
}

func TestSlots(t *testing.T) {
	s := newTestSet()
	m := make(map[sardineknot.BackendServerName]int)
	for range 8 {
		b, _, ok := s.Pick(start, servers("a", "b"), nil)
		is.New(t).True(ok)
		m[b.Name]++
	}
	is.New(t).Equal(m["a"], 4)
	is.New(t).Equal(m["b"], 4)
	_, w, ok := s.Pick(start, servers("a", "b"), nil)
	is.New(t).True(!ok && w > 0)
}

func TestTried(t *testing.T) {
	s := newTestSet()
	for range 20 {
		b, _, _ := s.Pick(start, servers("a", "b"), map[sardineknot.BackendServerName]bool{"a": true})
		is.New(t).Equal(string(b.Name), "b")
		s.Done(start, b.Name, Succeeded)
	}
}
