package breaker

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot"
)

var start = time.Unix(1000, 0)

func servers(n ...string) []sardineknot.BackendServer {
	var l []sardineknot.BackendServer
	for _, v := range n {
		l = append(l, sardineknot.BackendServer{Name: sardineknot.BackendServerName(v), Slots: 4})
	}
	return l
}

func newTestSet() *Set { return NewSet(rand.NewPCG(1, 2)) }

// call picks a server at a time after start, ends the call and returns the
// server, or "" if there is none.
func call(s *Set, after time.Duration, l []sardineknot.BackendServer, fails map[string]bool) string {
	b, _, ok := s.Pick(start.Add(after), l, nil)
	if !ok {
		return ""
	}
	o := Succeeded
	if fails[string(b.Name)] {
		o = Failed
	}
	s.Done(start.Add(after), b.Name, o)
	return string(b.Name)
}

func TestFastFailure(t *testing.T) {
	s := newTestSet()
	m := make(map[string]int)
	for i := range 1000 {
		m[call(s, time.Duration(i)*time.Millisecond, servers("a", "b"), map[string]bool{"a": true})]++
	}
	is.New(t).True(m["a"] <= threshold+1) // the failing server gets a few calls
	is.New(t).Equal(m["a"]+m["b"], 1000)
}

func TestHalfOpen(t *testing.T) {
	l := servers("a")
	down := map[string]bool{"a": true}
	open := func() *Set {
		s := newTestSet()
		for range threshold {
			call(s, 0, l, down)
		}
		return s
	}
	t.Run("stays open", func(t *testing.T) {
		is.New(t).Equal(call(open(), firstOpen/2, l, nil), "")
	})
	t.Run("lets one call through", func(t *testing.T) {
		s := open()
		_, _, ok := s.Pick(start.Add(firstOpen), l, nil)
		is.New(t).True(ok)
		is.New(t).Equal(call(s, firstOpen, l, nil), "")
	})
	t.Run("closes after a success", func(t *testing.T) {
		s := open()
		is.New(t).Equal(call(s, firstOpen, l, nil), "a")
		is.New(t).Equal(call(s, firstOpen, l, nil), "a")
	})
	t.Run("opens for longer after a failure", func(t *testing.T) {
		s := open()
		call(s, firstOpen, l, down)
		is.New(t).Equal(call(s, firstOpen+firstOpen, l, nil), "")
		is.New(t).Equal(call(s, 3*firstOpen, l, nil), "a")
	})
	t.Run("lets another through after an abandoned one", func(t *testing.T) {
		s := open()
		b, _, _ := s.Pick(start.Add(firstOpen), l, nil)
		s.Done(start.Add(firstOpen), b.Name, Abandoned)
		is.New(t).Equal(call(s, firstOpen, l, nil), "a")
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
