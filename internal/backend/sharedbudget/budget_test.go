package sharedbudget_test

import (
	"testing"
	"testing/synctest"
	"time"
	"unsafe"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot/internal/backend/sharedbudget"
	"sardineknot.example/sardineknot/internal/host/clock"
)

const service = "s"

// retries returns the number of retries that budgets allows now, up to 1000.
func retries(budgets *sharedbudget.Budgets) (count int) {
	for count < 1000 && budgets.AllowRetry(service) {
		count++
	}
	return count
}

func newBudgets(hosts int) *sharedbudget.Budgets {
	b := &sharedbudget.Budgets{Clock: clock.System{}, Hosts: func() int { return hosts }}
	b.SetBounds(0.2, 54)
	return b
}

// jumpingClock is a fake clock whose wall clock is ahead by jump and whose
// monotonic clock is correct.
type jumpingClock struct {
	jump time.Duration
}

// Now implements sardineknot.Clock.
func (c *jumpingClock) Now() time.Time {
	// This changes the wall clock reading of n, but not its monotonic reading.
	n := time.Now()
	*(*uint64)(unsafe.Pointer(&n)) += uint64(c.jump/time.Second) << 30
	return n
}

func TestBudgets(t *testing.T) {
	t.Run("hosts together make at most slack retries", func(t *testing.T) {
		is := is.New(t)
		n := retries(newBudgets(8))
		is.True(n >= 1)
		is.True(8*n <= 54)
	})
	t.Run("first attempts allow further retries", func(t *testing.T) {
		is := is.New(t)
		b := newBudgets(8)
		for range 100 {
			b.RecordCall(service)
		}
		n := retries(b)
		is.True(n > 10)
		is.True(n <= 20+54/8)
	})
	t.Run("a jump of the wall clock allows no further retries", func(t *testing.T) {
		is := is.New(t)
		c := &jumpingClock{}
		b := &sharedbudget.Budgets{Clock: c, Hosts: func() int { return 1 }}
		b.SetBounds(0.2, 54)
		is.True(retries(b) > 0)
		c.jump = 20 * time.Second
		is.Equal(retries(b), 0)
	})
	t.Run("retries are bounded over a sliding window", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			b := newBudgets(1)
			n := retries(b)
			time.Sleep(5 * time.Second)
			is.Equal(retries(b), 0)
			time.Sleep(6 * time.Second)
			is.Equal(retries(b), n)
		})
	})
}
