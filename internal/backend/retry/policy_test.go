package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// retries returns the retries that p allows in a row.
func retries(p *Policy) int {
	for n := 0; ; n++ {
		_, ok := p.Next(1)
		if !ok {
			return n
		}
	}
}

func TestBudget(t *testing.T) {
	p := NewPolicy(rand.NewPCG(1, 1))
	is.New(t).Equal(retries(p), 10)
	t.Run("earns a share of first tries", func(t *testing.T) {
		for range 51 {
			p.First()
		}
		is.New(t).Equal(retries(p), 5)
	})
	t.Run("saves up a bounded number", func(t *testing.T) {
		for range 10000 {
			p.First()
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
		is.New(t).True(w < m && w > m*9/10) // random up to the bound
	}
}
