package shared_test

import (
	"testing"
	"testing/synctest"
	"time"
	"unsafe"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot/internal/backend/shared"
	"sardineknot.example/sardineknot/internal/host/clock"
)

const service = "s"

// retries returns the number of retries that b allows now.
func retries(b *shared.Budgets) (n int) {
	for n < 1000 && b.Retry(service) {
		n++
	}
	return n
}

func newBudgets(hosts int) *shared.Budgets {
	b := &shared.Budgets{Clock: clock.System{}, Hosts: func() int { return hosts }}
	b.SetBounds(0.2, 54)
	return b
}

// jumping is a clock whose time of day jumps and whose steady time does not.
type jumping struct {
	jump time.Duration
}

// Now implements sardineknot.Clock.
func (c *jumping) Now() time.Time {
	// The wall clock of this time is off, its monotonic reading is not.
	n := time.Now()
	*(*uint64)(unsafe.Pointer(&n)) += uint64(c.jump/time.Second) << 30
	return n
}

func TestBudgets(t *testing.T) {
	t.Run("all hosts together stay below the slack", func(t *testing.T) {
		is := is.New(t)
		n := retries(newBudgets(8))
		is.True(n >= 1)
		is.True(8*n <= 54)
	})
	t.Run("first tries allow more", func(t *testing.T) {
		is := is.New(t)
		b := newBudgets(8)
		for range 100 {
			b.First(service)
		}
		n := retries(b)
		is.True(n > 10)
		is.True(n <= 20+54/8)
	})
	t.Run("a jump of the time of day allows no more", func(t *testing.T) {
		is := is.New(t)
		c := &jumping{}
		b := &shared.Budgets{Clock: c, Hosts: func() int { return 1 }}
		b.SetBounds(0.2, 54)
		is.True(retries(b) > 0)
		c.jump = 20 * time.Second
		is.Equal(retries(b), 0)
	})
	t.Run("no window allows twice the bound", func(t *testing.T) {
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
