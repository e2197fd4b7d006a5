package ramp_test

import (
	"testing"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot/internal/policy/ramp"
)

// full is the limit at which test servers are not limited any more.
const full = 16

// admitted returns the number of calls that r admits at a time, at most 2 x full.
func admitted(r *ramp.Ramp) int {
	for n := range 2 * full {
		if !r.Admit(n) {
			return n
		}
	}
	return 2 * full
}

func restarted(first int) *ramp.Ramp {
	r := &ramp.Ramp{}
	r.Restart(first, full)
	return r
}

// TestRamp guards against both ends of the load "a server has just recovered": full
// load after a single success, and a server that stays idle.
func TestRamp(t *testing.T) {
	t.Run("the limit doubles with each round of successes", func(t *testing.T) {
		is := is.New(t)
		r := restarted(1)
		for _, n := range []int{1, 2, 4, 8} {
			is.Equal(admitted(r), n)
			for range n {
				r.Succeeded(1)
			}
		}
		is.Equal(admitted(r), 2*full)
		is.True(!r.Limited())
	})
	t.Run("failures and slow answers halve the limit", func(t *testing.T) {
		is := is.New(t)
		r := restarted(8)
		r.Failed()
		is.Equal(admitted(r), 4)
		r.Succeeded(2.5)
		is.Equal(admitted(r), 2)
	})
	t.Run("a server that only fails still gets a call", func(t *testing.T) {
		r := restarted(2)
		for range 5 {
			r.Failed()
		}
		is.New(t).Equal(admitted(r), 1)
	})
	t.Run("a server at full load is not limited by one failure", func(t *testing.T) {
		r := restarted(full)
		r.Failed()
		is.New(t).Equal(admitted(r), 2*full)
	})
}
