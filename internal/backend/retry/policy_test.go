package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// retries returns the number of retries that policy allows in a row.
func retries(policy *Policy) int {
	for n := 0; ; n++ {
		_, ok := policy.Next(1)
		if !ok {
			return n
		}
	}
}

func TestBudget(t *testing.T) {
	p := NewPolicy(rand.NewPCG(1, 1))
	is.New(t).Equal(retries(p), 10)
	t.Run("adds a fraction of a retry for each first attempt", func(t *testing.T) {
		for range 51 {
			p.RecordCall()
		}
		is.New(t).Equal(retries(p), 5)
	})
	t.Run("bounds the budget", func(t *testing.T) {
		for range 10000 {
			p.RecordCall()
		}
		is.New(t).Equal(retries(p), 10)
	})
}

func TestBackoff(t *testing.T) {
	p := NewPolicy(rand.NewPCG(1, 1))
	for n, m := range map[int]time.Duration{1: 50 * time.Millisecond, 3: 200 * time.Millisecond, 60: time.Second} {
		var w time.Duration
		for range 1000 {
			w = max(w, p.Backoff(n))
		}
		is.New(t).True(w < m && w > m*9/10) // uniform between zero and the bound
	}
}
