package credit

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
)

// testWait is the longest wait of the calls of these tests.
const testWait = 100 * time.Millisecond

// source grants what is needed, with a delay, after the time delay. It records the
// requests.
type source struct {
	sardineknot.Registrations
	delay    time.Duration
	requests []sardineknot.CostRequest
}

func (s *source) Borrow(_ context.Context, request sardineknot.CostRequest) (sardineknot.CostGrant, error) {
	s.requests = append(s.requests, request)
	time.Sleep(s.delay)
	return sardineknot.CostGrant{Granted: request.Need, Delay: min(request.MaxWait, 50*time.Millisecond)}, nil
}

// suspended is a clock that counts a suspension of the host.
type suspended struct{ by atomic.Int64 }

func (s *suspended) Now() time.Time { return time.Now().Add(time.Duration(s.by.Load())) }

var account1 = &sardineknot.ClientAccount{Name: "verk", Limit: sardineknot.AccountLimit{PerSecond: 1000, Burst: 1000}}

// TestSuspended guards against cost that is used after the owner has given it up, by a
// host that was suspended while a call waited or with unused stock.
func TestSuspended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, s := &suspended{}, &source{}
		l := &Limiter{Clock: c, Source: s, Metrics: metrics.NewRegistry()}
		time.AfterFunc(20*time.Millisecond, func() { c.by.Store(int64(5 * time.Second)) })
		var d *sardineknot.LimitedError
		i := is.New(t)
		i.True(errors.As(l.Admit(t.Context(), account1, 1, testWait), &d))
		l.account("verk").stock = 10
		i.NoErr(l.Admit(t.Context(), account1, 1, testWait))
		i.Equal(len(s.requests), 2)
		i.Equal(s.requests[1].Returned, 10.0)
	})
}

// TestAbandoned guards against cost that is lost with a caller that leaves while it
// waits, and against calls that overtake others.
func TestAbandoned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &source{delay: 10 * time.Millisecond}
		l := &Limiter{Clock: clock.System{}, Source: s, Metrics: metrics.NewRegistry()}
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
		defer cancel()
		i := is.New(t)
		i.True(errors.Is(l.Admit(ctx, account1, 7, testWait), context.DeadlineExceeded))
		i.Equal(l.account("verk").stock, 7.0)
		o := make(chan int, 5)
		for n := range 5 {
			time.Sleep(time.Millisecond)
			go func() {
				i.NoErr(l.Admit(t.Context(), account1, 10+float64(n), testWait))
				o <- n
			}()
		}
		for n := range cap(o) {
			i.Equal(<-o, n)
		}
	})
}

// BenchmarkAdmit measures a call whose cost is in stock.
func BenchmarkAdmit(b *testing.B) {
	l := &Limiter{Clock: clock.System{}.SinceBootClock(), Source: &source{}, Lifetime: time.Hour, Metrics: metrics.NewRegistry()}
	a := l.account("verk")
	a.stock, a.expiresAt = 1e18, clock.System{}.SinceBootClock().Now().Add(time.Hour)
	for b.Loop() {
		_ = l.Admit(b.Context(), account1, 1, testWait)
	}
}
