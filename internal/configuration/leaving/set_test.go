package leaving

import (
	"testing"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot"
)

// server returns a server that accepts work by its entry in the store.
func server(name sardineknot.BackendServerName, born int64) sardineknot.BackendServer {
	return sardineknot.BackendServer{Name: name, Born: born, State: sardineknot.BackendJoining}
}

// assertStates checks the states that s lays over servers.
func assertStates(t *testing.T, s *Set, servers []sardineknot.BackendServer, want ...sardineknot.BackendState) {
	t.Helper()
	is := is.New(t)
	l := s.Overlay(servers)
	is.Equal(len(l), len(want))
	for i, b := range l {
		is.Equal(b.State, want[i])
	}
}

func TestOverlay(t *testing.T) {
	const joining, left = sardineknot.BackendJoining, sardineknot.BackendLeaving
	t.Run("only the recorded process is leaving", func(t *testing.T) {
		s := NewSet()
		s.Add("a", 1)
		l := []sardineknot.BackendServer{server("a", 1), server("a", 2), server("b", 1)}
		assertStates(t, s, l, left, joining, joining)
		assertStates(t, NewSet(), l, joining, joining, joining) // the servers passed in are not modified
	})
	t.Run("an empty list stays empty", func(t *testing.T) {
		assertStates(t, NewSet(), nil)
	})
	t.Run("a process is recorded once", func(t *testing.T) {
		is := is.New(t)
		s := NewSet()
		is.True(s.Add("a", 1))
		is.True(!s.Add("a", 1))
		is.True(s.Add("a", 2))
	})
	t.Run("the earliest record is evicted", func(t *testing.T) {
		s := NewSet()
		for i := range int64(maxProcesses + 1) {
			s.Add("a", i)
		}
		assertStates(t, s, []sardineknot.BackendServer{server("a", 0), server("a", 1)}, joining, left)
	})
}
