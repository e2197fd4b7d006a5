package budget_test

import (
	"testing"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot/internal/backend/budget"
)

// retries returns the number of retries that b allows in a row.
func retries(b *budget.Budget) int {
	n := 0
	for b.AllowRetry() {
		n++
	}
	return n
}

func TestBudget(t *testing.T) {
	t.Run("starts full", func(t *testing.T) {
		is.New(t).Equal(retries(budget.NewBudget(0.25, 3)), 3)
	})
	t.Run("each first attempt adds a share of a retry", func(t *testing.T) {
		b := budget.NewBudget(0.25, 3)
		retries(b)
		for range 8 {
			b.RecordCall()
		}
		is.New(t).Equal(retries(b), 2)
	})
	t.Run("never exceeds the burst", func(t *testing.T) {
		b := budget.NewBudget(0.25, 3)
		for range 1000 {
			b.RecordCall()
		}
		is.New(t).Equal(retries(b), 3)
	})
}
