package backoff

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot"
)

var start = time.Unix(1000, 0)

func newTestSet() *Set { return NewSet(rand.NewPCG(1, 1)) }

func server(name sardineknot.BackendServerName, born int64) sardineknot.BackendServer {
	return sardineknot.BackendServer{Name: name, Born: born}
}

// assertLeft checks the time left of the server "a", born at 1, at a time after
// start.
func assertLeft(t *testing.T, s *Set, after, want time.Duration) {
	t.Helper()
	is.New(t).Equal(s.Left(start.Add(after), server("a", 1)), want)
}

func TestRecord(t *testing.T) {
	t.Run("a backoff ends after its time", func(t *testing.T) {
		is := is.New(t)
		s := newTestSet()
		is.True(s.Record(start, server("a", 1), 2500*time.Millisecond))
		assertLeft(t, s, time.Second, 1500*time.Millisecond)
		assertLeft(t, s, 2500*time.Millisecond, 0)
		is.True(s.Any(start))
		is.True(!s.Any(start.Add(2500 * time.Millisecond)))
	})
	t.Run("the later of two ends counts", func(t *testing.T) {
		is := is.New(t)
		s := newTestSet()
		s.Record(start, server("a", 1), 3*time.Second)
		is.True(!s.Record(start.Add(time.Second), server("a", 1), time.Second))
		assertLeft(t, s, time.Second, 2*time.Second)
		s.Record(start.Add(2*time.Second), server("a", 1), 4*time.Second)
		assertLeft(t, s, 2*time.Second, 4*time.Second)
	})
	t.Run("other processes are not affected", func(t *testing.T) {
		is := is.New(t)
		s := newTestSet()
		s.Record(start, server("a", 1), time.Second)
		is.Equal(s.Left(start, server("a", 2)), time.Duration(0))
		is.Equal(s.Left(start, server("b", 1)), time.Duration(0))
	})
	t.Run("ends that have passed are deleted", func(t *testing.T) {
		s := newTestSet()
		s.Record(start, server("a", 1), time.Second)
		s.Record(start.Add(time.Minute), server("b", 1), time.Second)
		is.New(t).Equal(len(s.until), 1)
	})
}

func TestAvailable(t *testing.T) {
	is := is.New(t)
	s := newTestSet()
	l := []sardineknot.BackendServer{server("a", 1), server("b", 1)}
	s.Record(start, l[0], 3*time.Second)
	a, d := s.Available(start, l)
	is.Equal(a, l[1:])
	is.Equal(d, time.Duration(0))
	s.Record(start, l[1], 2*time.Second)
	a, d = s.Available(start, l)
	is.Equal(len(a), 0)
	is.Equal(d, 2*time.Second)
	a, _ = s.Available(start.Add(2*time.Second), l)
	is.Equal(a, l[1:])
}

// TestRefusal guards against callers that are refused until the same time and
// then return together.
func TestRefusal(t *testing.T) {
	is := is.New(t)
	s := newTestSet()
	m := make(map[time.Duration]bool)
	for range 100 {
		d := s.Refusal(2 * time.Second).RetryAfter
		is.True(d >= 2*time.Second && d < 2500*time.Millisecond)
		m[d] = true
	}
	is.True(len(m) > 90)
}
