package breaker

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestReset guards against calls that are refused because of failures from before the way to
// the servers changed.
func TestReset(t *testing.T) {
	l := servers("a", "b")
	down := map[string]bool{"a": true, "b": true}
	open := func() *Set {
		s := newTestSet()
		for range 2 * failureThreshold {
			call(s, 0, l, down)
		}
		is.New(t).Equal(call(s, 0, l, nil), "")
		return s
	}
	t.Run("servers get calls at once", func(t *testing.T) {
		s := open()
		s.Reset()
		for range 4 {
			is.New(t).True(call(s, 0, l, nil) != "")
		}
	})
	t.Run("a server that goes on to fail is excluded again", func(t *testing.T) {
		s := open()
		s.Reset()
		for range 2 * failureThreshold {
			call(s, 0, l, down)
		}
		is.New(t).Equal(call(s, 0, l, nil), "")
	})
	t.Run("calls in progress keep their slots", func(t *testing.T) {
		s := newTestSet()
		for range 2 * l[0].Slots {
			_, _, ok := s.Pick(start, l, nil)
			is.New(t).True(ok)
		}
		s.Reset()
		is.New(t).Equal(call(s, 0, l, nil), "")
	})
	t.Run("a circuit that unanswered calls have opened", func(t *testing.T) {
		s := newTestSet()
		for i := range failureThreshold {
			giveUp(s, 2*time.Duration(i)*time.Second, l[:1])
		}
		s.Reset()
		is.New(t).Equal(len(s.Blocked(start, l)), 0)
	})
}
