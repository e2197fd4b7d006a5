package circuit

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

// opened returns a breaker that has opened at start.
func opened() *Breaker {
	b := &Breaker{}
	for range threshold {
		b.Fail(start)
	}
	return b
}

func TestBreaker(t *testing.T) {
	t.Run("single failures do not open it", func(t *testing.T) {
		b := &Breaker{}
		for range 10 {
			b.Fail(start)
			b.Succeed()
		}
		is.New(t).True(b.Allow(start))
	})
	t.Run("failures in a row open it until the backoff has passed", func(t *testing.T) {
		b := opened()
		is.New(t).True(!b.Allow(start.Add(firstBackoff - 1)))
		is.New(t).True(b.Allow(start.Add(firstBackoff)))
	})
	t.Run("one probe at a time, with growing backoff", func(t *testing.T) {
		b := opened()
		n := start.Add(firstBackoff)
		b.Begin(n)
		is.New(t).True(!b.Allow(n))
		b.Fail(n)
		is.New(t).True(!b.Allow(n.Add(2*firstBackoff - 1)))
		is.New(t).True(b.Allow(n.Add(2 * firstBackoff)))
	})
	t.Run("jobs that began before it opened do not extend the backoff", func(t *testing.T) {
		b := opened()
		for range 20 {
			b.Fail(start)
		}
		is.New(t).True(b.Allow(start.Add(firstBackoff)))
	})
}
