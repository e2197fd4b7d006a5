package circuit

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

// newOpenBreaker returns a breaker that has opened at start.
func newOpenBreaker() *Breaker {
	b := &Breaker{}
	for range failureThreshold {
		b.Fail(start)
	}
	return b
}

func TestBreaker(t *testing.T) {
	t.Run("isolated failures do not open the circuit", func(t *testing.T) {
		b := &Breaker{}
		for range 10 {
			b.Fail(start)
			b.Succeed()
		}
		is.New(t).True(b.Allow(start))
	})
	t.Run("consecutive failures open the circuit until the backoff has passed", func(t *testing.T) {
		b := newOpenBreaker()
		is.New(t).True(!b.Allow(start.Add(minBackoff - 1)))
		is.New(t).True(b.Allow(start.Add(minBackoff)))
	})
	t.Run("probes are admitted one at a time with a growing backoff", func(t *testing.T) {
		b := newOpenBreaker()
		n := start.Add(minBackoff)
		b.Begin(n)
		is.New(t).True(!b.Allow(n))
		b.Fail(n)
		is.New(t).True(!b.Allow(n.Add(2*minBackoff - 1)))
		is.New(t).True(b.Allow(n.Add(2 * minBackoff)))
	})
	t.Run("failures of jobs started before the circuit opened do not extend the backoff", func(t *testing.T) {
		b := newOpenBreaker()
		for range 20 {
			b.Fail(start)
		}
		is.New(t).True(b.Allow(start.Add(minBackoff)))
	})
}
