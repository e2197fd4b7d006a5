package memory_test

import (
	"testing"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot/internal/backend/memory"
)

// TestBudget guards against memory that grows with the number of answers, and
// against memory that is never given back.
func TestBudget(t *testing.T) {
	t.Run("short answers cost nothing", func(t *testing.T) {
		is := is.New(t)
		b := &memory.Budget{Bytes: 1}
		for range 100 {
			var h int64
			is.True(b.Grow(&h, 64<<10))
		}
	})
	t.Run("all answers share the budget", func(t *testing.T) {
		is := is.New(t)
		b := &memory.Budget{Bytes: 1 << 20}
		var h, o int64
		is.True(b.Grow(&h, 1<<20))
		is.True(b.Grow(&h, 1<<20)) // nothing more than it has
		is.True(!b.Grow(&o, 1<<20))
		b.Release(&h)
		is.True(b.Grow(&o, 1<<20))
		is.True(!b.Grow(&o, 2<<20))
		b.Release(&o)
		is.True(b.Grow(&h, 1<<20))
	})
	t.Run("the zero value has a limit", func(t *testing.T) {
		is := is.New(t)
		b := &memory.Budget{}
		var h, o int64
		is.True(b.Grow(&h, 8<<20))
		is.True(!b.Grow(&o, 8<<20))
	})
}
