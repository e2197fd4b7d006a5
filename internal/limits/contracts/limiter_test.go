package contracts

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/host/clock"
	"sardineknot.example/sardineknot/internal/limits/credit"
	"sardineknot.example/sardineknot/internal/limits/owner"
	"sardineknot.example/sardineknot/internal/limits/rank"
)

const (
	rate  = 10
	burst = 5
	hosts = 4
)

var contract = sardineknot.Contract{Account: "verk", RequestsPerSecond: rate, Burst: burst}

// cluster holds one limiter for each host, and the owner of the limit, which all
// limiters share. It provides the configuration and the membership as well.
type cluster struct {
	sardineknot.ConfigurationSource
	owner    *owner.Owner
	calls    atomic.Int64
	down     atomic.Bool
	limiters []*Limiter
}

func (c *cluster) Current() *sardineknot.Configuration {
	return &sardineknot.Configuration{Contracts: []sardineknot.Contract{contract}}
}

func (c *cluster) Self() sardineknot.EntryHost { return sardineknot.EntryHost{} }

func (c *cluster) Registered() ([]sardineknot.EntryHost, uint64) {
	return make([]sardineknot.EntryHost, hosts), 0
}

// Borrow implements sardineknot.CostSource. It fails while c.down is set.
func (c *cluster) Borrow(ctx context.Context, request sardineknot.CostRequest) (sardineknot.CostGrant, error) {
	c.calls.Add(1)
	if c.down.Load() {
		return sardineknot.CostGrant{}, errors.New("down")
	}
	return c.owner.Borrow(ctx, request)
}

// run runs test in virtual time. The owner's bucket is full at the start of test.
func run(t *testing.T, name string, test func(*testing.T, *cluster)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c := &cluster{}
			c.owner = owner.NewOwner(clock.System{}, c, rank.NewRanker(c), Limits(c))
			ctx, cancel := context.WithCancel(t.Context())
			go c.owner.Run(ctx)
			for range hosts {
				l := &credit.Limiter{Clock: clock.System{}, Source: c, Hosts: c, Whole: true, Lifetime: 500 * time.Millisecond, Metrics: metrics.NewRegistry()}
				go l.Run(ctx)
				c.limiters = append(c.limiters, NewLimiter(l))
			}
			time.Sleep(time.Second)
			test(t, c)
			cancel()
			synctest.Wait()
		})
	})
}

// send sends requests for duration, one in each interval, at count hosts in turn. It
// returns the number of admitted requests.
func (c *cluster) send(duration, interval time.Duration, count int) int {
	var k int
	for i := range int(duration / interval) {
		if c.limiters[i%count].Admit(context.Background(), contract) == nil {
			k++
		}
		time.Sleep(interval)
	}
	return k
}

// TestAdmit guards against contracts whose limit is exceeded, or cannot be used, by
// requests at one or several hosts.
func TestAdmit(t *testing.T) {
	const seconds = 20
	run(t, "admits the limit across all hosts", func(t *testing.T, c *cluster) {
		c.assertUsed(t, hosts)
	})
	run(t, "admits the whole limit at a single host", func(t *testing.T, c *cluster) {
		c.assertUsed(t, 1)
	})
	run(t, "admits all requests below the limit", func(t *testing.T, c *cluster) {
		is.New(t).Equal(c.send(seconds*time.Second, 200*time.Millisecond, 1), seconds*5)
	})
	run(t, "sets RetryAfter when the limit is reached", func(t *testing.T, c *cluster) {
		e := make(chan error, 3*burst)
		for i := range cap(e) {
			go func() { e <- c.limiters[i%hosts].Admit(t.Context(), contract) }()
		}
		i, k := is.New(t), 0
		for range cap(e) {
			var n *sardineknot.NotRunError
			if errors.As(<-e, &n) {
				k++
				i.True(n.RetryAfter > 0)
				i.True(n.RetryAfter <= 3*burst*time.Second/rate)
			}
		}
		assertBetween(t, k, burst, 2*burst)
	})
	run(t, "uses only the excess while the owner is down", func(t *testing.T, c *cluster) {
		c.down.Store(true)
		n := c.send(4*seconds*time.Second, 25*time.Millisecond, hosts)
		assertBetween(t, n, 1, 4*rate*seconds/10+hosts)
	})
	run(t, "sends few requests to a failed owner", func(t *testing.T, c *cluster) {
		c.down.Store(true)
		c.send(10*time.Second, 10*time.Millisecond, 1)
		is.New(t).True(c.calls.Load() <= 34)
	})
	run(t, "borrows permits in bulk", func(t *testing.T, c *cluster) {
		n := c.send(seconds*time.Second, 110*time.Millisecond, 1)
		is.New(t).Equal(n, 181)
		is.New(t).True(c.calls.Load() <= int64(n/2))
	})
	run(t, "sends nothing without a limit", func(t *testing.T, c *cluster) {
		is.New(t).NoErr(c.limiters[0].Admit(t.Context(), sardineknot.Contract{Account: "verk"}))
		is.New(t).Equal(c.calls.Load(), int64(0))
	})
}

// assertUsed checks that requests at count hosts use the limit and do not exceed it.
// Each waits until it is admitted or refused.
func (c *cluster) assertUsed(t *testing.T, count int) {
	t.Helper()
	b := time.Now()
	n := c.send(20*time.Second, 50*time.Millisecond, count)
	s := time.Since(b).Seconds()
	assertBetween(t, n, int(rate*s*9/10), int(rate*s)+burst+1)
}

func assertBetween(t *testing.T, got, low, high int) {
	t.Helper()
	if got < low || got > high {
		t.Errorf("admitted %d, want %d to %d", got, low, high)
	}
}
