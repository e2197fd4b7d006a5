package table_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/serverlimits/table"
)

var (
	start  = time.Unix(1000, 0)
	server = sardineknot.ServerProcess{Name: "a", Born: 1}
)

// after returns the time d after start.
func after(d time.Duration) time.Time { return start.Add(d) }

// assertLimit checks the limit that is known at time at.
func assertLimit(t *testing.T, b *table.Table, at time.Duration, perSecond float64) {
	t.Helper()
	is.New(t).Equal(b.Known(after(at), server).PerSecond, perSecond)
}

// TestObserve guards against limits that are missed, or that hold although the
// server names them no more.
func TestObserve(t *testing.T) {
	named := func() *table.Table {
		b := table.New()
		b.Observe(after(0), server, 4.4, after(-time.Second))
		return b
	}
	t.Run("a limit", func(t *testing.T) { assertLimit(t, named(), time.Second, 4.4) })
	t.Run("another limit", func(t *testing.T) {
		b := named()
		_, c := b.Observe(after(time.Second), server, 3, after(0))
		is.New(t).True(c)
		assertLimit(t, b, time.Second, 3)
	})
	t.Run("ends with an answer to a later request", func(t *testing.T) {
		b := named()
		_, c := b.Observe(after(time.Second), server, 0, after(time.Millisecond))
		is.New(t).True(c)
		assertLimit(t, b, time.Second, 0)
	})
	t.Run("stays with an answer to an earlier request", func(t *testing.T) {
		b := named()
		b.Observe(after(time.Second), server, 0, after(-time.Millisecond))
		assertLimit(t, b, time.Second, 4.4)
	})
	t.Run("ends if no answer confirms it", func(t *testing.T) { assertLimit(t, named(), 61*time.Second, 0) })
	t.Run("is that of one process", func(t *testing.T) {
		is.New(t).Equal(named().Known(after(0), sardineknot.ServerProcess{Name: "a", Born: 2}).PerSecond, 0.0)
	})
	t.Run("lets some requests pass that may end it", func(t *testing.T) {
		b := table.New()
		b.Observe(after(0), server, 1e-300, after(0))
		is.New(t).True(b.TakeOwned(after(5*time.Second), server) <= 4*time.Second)
	})
	t.Run("memory is bounded", func(t *testing.T) {
		b := table.New()
		n := 0
		for i := range 10_000 {
			b.Observe(after(time.Duration(i)), sardineknot.ServerProcess{Name: sardineknot.BackendServerName(fmt.Sprint(i))}, 1, start)
		}
		for i := range 10_000 {
			if b.Known(after(time.Second), sardineknot.ServerProcess{Name: sardineknot.BackendServerName(fmt.Sprint(i))}).PerSecond > 0 {
				n++
			}
		}
		is.New(t).Equal(n, 4096)
	})
}

// TestMerge guards against news of other hosts that outlive newer ones.
func TestMerge(t *testing.T) {
	told := func(perSecond float64, at time.Duration) sardineknot.ServerLimit {
		return sardineknot.ServerLimit{PerSecond: perSecond, At: after(at)}
	}
	t.Run("newer", func(t *testing.T) {
		b := table.New()
		b.Merge(after(0), server, told(4, 0))
		assertLimit(t, b, 0, 4)
		b.Merge(after(0), server, told(0, time.Second))
		assertLimit(t, b, 0, 0)
		b.Merge(after(0), server, told(5, 2*time.Second))
		assertLimit(t, b, 0, 5)
	})
	t.Run("older", func(t *testing.T) {
		b := table.New()
		b.Merge(after(0), server, told(4, 2*time.Second))
		b.Merge(after(0), server, told(0, time.Second))
		assertLimit(t, b, 0, 4)
	})
	t.Run("the end is noticed while hosts send each other the same limit", func(t *testing.T) {
		b := table.New()
		b.Observe(after(0), server, 4, after(0))
		b.Merge(after(time.Second), server, told(4, 5*time.Millisecond)) // what this host has sent, seen as newer
		b.Observe(after(time.Second), server, 0, after(2*time.Millisecond))
		assertLimit(t, b, time.Second, 0)
	})
}

// TestTake guards against more requests than a limit allows, and fewer.
func TestTake(t *testing.T) {
	// count returns how many permits are taken in ten seconds, tried once a
	// millisecond.
	count := func(take func(time.Time) time.Duration) (n int) {
		for i := range 10_000 {
			if take(after(time.Duration(i)*time.Millisecond)) == 0 {
				n++
			}
		}
		return n
	}
	limited := func(perSecond float64) *table.Table {
		b := table.New()
		b.Observe(after(0), server, perSecond, after(0))
		return b
	}
	for _, r := range []float64{0.6, 4.4, 60} {
		t.Run(fmt.Sprintf("%.1f a second", r), func(t *testing.T) {
			b := limited(r)
			n := count(func(a time.Time) time.Duration { return b.TakeOwned(a, server) })
			is.New(t).True(float64(n) >= 0.85*10*r-1)
			is.New(t).True(float64(n) <= 10*r+1)
		})
	}
	t.Run("the share of a host without the owner", func(t *testing.T) {
		b := limited(4.4)
		n := count(func(a time.Time) time.Duration { return b.TakeShare(a, server, 8) })
		is.New(t).True(n <= 6)
	})
	t.Run("no limit", func(t *testing.T) {
		b := table.New()
		is.New(t).Equal(count(func(a time.Time) time.Duration { return b.TakeOwned(a, server) }), 10_000)
	})
}

// TestLatePermits guards against permits that are lost because hosts request them late.
func TestLatePermits(t *testing.T) {
	// late counts the permits that are taken in ten seconds by hosts that request them late after each
	// wait, as they do when calls, processors or messages between hosts are late.
	late := func(b *table.Table, lateness time.Duration) (n int) {
		for at := time.Duration(0); at < 10*time.Second; {
			d := b.TakeOwned(after(at), server)
			if d == 0 {
				n++
				continue
			}
			at += d + lateness
		}
		return n
	}
	for _, r := range []float64{0.6, 3.2, 3.9, 4.4, 60} {
		t.Run(fmt.Sprintf("%.1f a second", r), func(t *testing.T) {
			b := table.New()
			b.Observe(after(0), server, r, after(0))
			n := late(b, 100*time.Millisecond)
			is.New(t).True(float64(n) >= 0.95*10*r-1)
			is.New(t).True(float64(n) <= 10*r+1)
		})
	}
}

// TestMalformedReport guards against a limit in a malformed message of another host that
// keeps a server without requests for good.
func TestMalformedReport(t *testing.T) {
	for _, n := range []float64{-1, math.NaN(), math.Inf(1), math.Inf(-1), -math.MaxFloat64} {
		b := table.New()
		_, c := b.Merge(start, server, sardineknot.ServerLimit{PerSecond: n, At: start})
		is.New(t).True(!c)
		assertLimit(t, b, 0, 0)
		b.Observe(start, server, 4, start)
		_, c = b.Merge(after(time.Second), server, sardineknot.ServerLimit{PerSecond: n, At: after(time.Second)})
		is.New(t).True(!c)
		assertLimit(t, b, time.Second, 4)
	}
	t.Run("a wait without end expires", func(t *testing.T) {
		b := table.New()
		b.Observe(start, server, 4, start)
		b.Block(start, server, math.MaxInt64)
		is.New(t).Equal(b.Blocked(after(2*time.Minute), server), time.Duration(0))
		is.New(t).Equal(b.Block(start, server, -time.Hour), time.Duration(0))
	})
}
