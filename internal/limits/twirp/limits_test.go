package twirp_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"sardineknot.example/sardineknot"
)

const (
	// window, factor and slack are the bound that operators check: in every window,
	// what the limit allows times factor, and slack tokens more.
	window = 8 * time.Second
	factor = 1.1
	slack  = 73_000
	// use is the part of the limit that is used while callers request more.
	use = 0.9
	// small and large are limits in tokens per second. hot is how much more than its
	// limit an account requests.
	small, large = 18_000, 400_000
	hot          = 8
	// lease is the time after which the service drops a host, of a large fleet.
	lease = 3500 * time.Millisecond
)

func limited(err error) *sardineknot.LimitedError {
	var l *sardineknot.LimitedError
	if errors.As(err, &l) {
		return l
	}
	return nil
}

// everywhere picks any host of f, and at host n.
func (f *fleet) everywhere(r *rand.Rand) int { return r.IntN(len(f.hosts)) }

func at(n int) func(*rand.Rand) int { return func(*rand.Rand) int { return n } }

// assertBound checks all windows of the calls that were admitted since begin.
// perSecond is the limit.
func (f *fleet) assertBound(begin time.Time, perSecond float64) {
	f.t.Helper()
	synctest.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	var s, m float64
	i := 0
	for j, e := range f.sends {
		if e.at.Before(begin) {
			i = j + 1
			continue
		}
		s += e.cost
		for e.at.Sub(f.sends[i].at) > window {
			s -= f.sends[i].cost
			i++
		}
		m = max(m, s)
	}
	b := (perSecond*window.Seconds()+perSecond)*factor + slack
	f.t.Logf("at most %.0f in a window, bound %.0f", m, b)
	if m > b {
		f.t.Errorf("%.0f in a window, bound is %.0f", m, b)
	}
}

// assertUsed checks that the calls admitted since begin used the limit.
func (f *fleet) assertUsed(begin time.Time, perSecond float64) {
	f.t.Helper()
	synctest.Wait()
	s := f.used(begin) / perSecond / time.Since(begin).Seconds()
	f.t.Logf("%.3f of the limit used", s)
	if s < use {
		f.t.Errorf("%.3f of the limit used, want %.1f", s, use)
	}
}

// used returns the cost admitted since begin.
func (f *fleet) used(begin time.Time) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	var s float64
	for _, e := range f.sends {
		if !e.at.Before(begin) {
			s += e.cost
		}
	}
	return s
}

// messages returns the number of messages that all hosts sent.
func (f *fleet) messages() int64 {
	var n int64
	for _, h := range f.hosts {
		n += metrics.GetOrRegisterCounter("limits.borrows", h.metrics).Count()
	}
	return n
}

// TestLimit guards against hosts that exceed a limit together, and against a limit
// that is not used because cost lies at hosts that do not need it.
func TestLimit(t *testing.T) {
	for _, n := range []int{8, 86, 300} {
		for _, r := range []float64{small, large} {
			for _, one := range []bool{false, true} {
				t.Run(fmt.Sprintf("%d hosts, %.0f a second, one %t", n, r, one), func(t *testing.T) {
					run(t, n, r, func(f *fleet) {
						p := f.everywhere
						if one {
							p = at(3)
						}
						f.load(2*time.Second, r/2, p)
						time.Sleep(2 * time.Second)
						b := time.Now()
						f.load(12*time.Second, hot*r, p)
						f.assertBound(time.Time{}, r)
						f.assertUsed(b, r)
						f.load(8*time.Second, 1.2*r, f.everywhere)
						f.assertUsed(b, r)
					})
				})
			}
		}
	}
}

// TestBurst guards against calls that arrive at once at all hosts and are all admitted
// before the owner has seen them.
func TestBurst(t *testing.T) {
	run(t, 300, large, func(f *fleet) {
		time.Sleep(3 * time.Second)
		b := time.Now()
		for n := range 3000 {
			go f.call(n%len(f.hosts), 5300)
		}
		time.Sleep(time.Second)
		synctest.Wait()
		i := is.New(f.t)
		i.True(f.used(b) <= large*1.11+5300) // the burst, and what accrues in 100 ms
		i.True(f.used(b) >= large)
		i.True(len(f.refused) > 2000)
	})
}

// failures holds what happens to owners while callers request more than the limit.
var failures = map[string]func(*fleet){
	"killed and started again": func(f *fleet) {
		for range 4 {
			n := f.order()[0]
			f.kill(n, 0)
			f.load(time.Second, hot*large, f.everywhere)
			f.start(n)
			f.load(time.Second, hot*large, f.everywhere)
		}
	},
	"killed for good": func(f *fleet) {
		for range 3 {
			f.kill(f.order()[0], lease)
			f.load(4*time.Second, hot*large, f.everywhere)
		}
	},
	"two killed": func(f *fleet) {
		o := f.order()
		f.kill(o[0], lease)
		f.kill(o[1], lease)
		f.load(6*time.Second, hot*large, f.everywhere)
	},
	"paused": func(f *fleet) {
		f.pause(f.order()[0], 5*time.Second, lease)
		f.load(8*time.Second, hot*large, f.everywhere)
	},
	"paused and killed": func(f *fleet) {
		o := f.order()
		f.pause(o[0], 5*time.Second, lease)
		f.kill(o[1], lease)
		f.load(8*time.Second, hot*large, f.everywhere)
	},
	"cut off": func(f *fleet) {
		f.set(func() {
			for n, h := range f.hosts {
				h.group = n % 2
			}
		})
		f.load(10*time.Second, hot*large, f.everywhere)
	},
}

// TestOwnerFails guards against owners that grant at the full rate at the same time,
// and against cost that an owner remembers from before it was replaced.
func TestOwnerFails(t *testing.T) {
	for name, fail := range failures {
		for _, n := range []int{8, 300} {
			t.Run(fmt.Sprint(name, ", hosts: ", n), func(t *testing.T) {
				run(t, n, large, func(f *fleet) {
					f.load(3*time.Second, hot*large, f.everywhere)
					fail(f)
					f.load(4*time.Second, hot*large, f.everywhere)
					f.assertBound(time.Time{}, large)
				})
			})
		}
	}
}

// TestOwnerKilled guards against a limit that is unused until the service drops the
// owner, although refused connections prove that it is gone.
func TestOwnerKilled(t *testing.T) {
	run(t, 86, large, func(f *fleet) {
		f.load(2*time.Second, hot*large, f.everywhere)
		o := f.order()
		f.kill(o[0], 0)
		f.kill(o[1], 0)
		b := time.Now()
		f.load(6*time.Second, hot*large, f.everywhere)
		f.assertUsed(b, large)
	})
}

// TestOwnerLeaves guards against a limit that is unused while only the owner has that
// it is leaving, and against two owners at that time.
func TestOwnerLeaves(t *testing.T) {
	run(t, 86, large, func(f *fleet) {
		f.load(2*time.Second, hot*large, f.everywhere)
		o := f.order()[0]
		f.set(func() { f.hosts[o].stale = slices.Delete(slices.Clone(f.registered), o, o+1) })
		b := time.Now()
		f.load(3*time.Second, hot*large, f.everywhere)
		f.register(o, false)
		f.load(3*time.Second, hot*large, f.everywhere)
		f.assertUsed(b, large)
		f.assertBound(time.Time{}, large)
	})
}

// TestRelay guards against a host that can reach the owner only through another host,
// and is refused everything.
func TestRelay(t *testing.T) {
	run(t, 8, large, func(f *fleet) {
		o := f.order()
		f.load(2*time.Second, large, f.everywhere)
		f.set(func() { f.hosts[o[2]].cut = f.hosts[o[0]] })
		b := time.Now()
		f.load(4*time.Second, hot*large, at(o[2]))
		f.assertUsed(b, large)
		f.assertBound(time.Time{}, large)
	})
}

// TestAllKilled guards against a fleet that starts with full buckets.
func TestAllKilled(t *testing.T) {
	run(t, 8, large, func(f *fleet) {
		for range 4 {
			f.load(2*time.Second, hot*large, f.everywhere)
			for n := range f.hosts {
				f.kill(n, 0)
				f.start(n)
			}
		}
		f.assertBound(time.Time{}, large)
		i := is.New(f.t)
		i.True(f.used(time.Time{}) <= 8*large*1.05+slack) // nothing beyond the rate
	})
}

// TestLowered guards against a bucket that keeps what it held under a higher limit.
func TestLowered(t *testing.T) {
	run(t, 86, large, func(f *fleet) {
		time.Sleep(2 * time.Second)
		f.load(time.Second, large/2, f.everywhere)
		f.set(func() { f.account.Limit.PerSecond, f.account.Limit.Burst = small, small })
		b := time.Now()
		f.load(10*time.Second, large, f.everywhere)
		f.assertBound(b, small)
		is.New(f.t).True(f.used(b) <= small*11*factor+slack)
	})
}

// TestBelowLimit guards against an account below its limit that is refused, and
// against more messages than calls.
func TestBelowLimit(t *testing.T) {
	for _, c := range []struct{ hosts, calls int }{{8, 100}, {86, 100}, {300, 100}, {1, 100}} {
		t.Run(fmt.Sprint(c.hosts), func(t *testing.T) {
			run(t, max(8, c.hosts), large, func(f *fleet) {
				time.Sleep(time.Second)
				m := f.messages()
				r := rand.New(rand.NewPCG(2, 2))
				for range c.calls * 10 {
					go f.call(r.IntN(c.hosts), 2000)
					time.Sleep(time.Second / time.Duration(c.calls))
				}
				synctest.Wait()
				is.New(f.t).Equal(len(f.refused), 0)
				f.t.Logf("%.2f messages a call", float64(f.messages()-m)/float64(c.calls*10))
				is.New(f.t).True(f.messages()-m <= int64(c.calls*10)*5/4)
			})
		})
	}
}

// TestRefund guards against an account that pays for calls which did not run.
func TestRefund(t *testing.T) {
	run(t, 8, small, func(f *fleet) {
		time.Sleep(2 * time.Second)
		for range 40 {
			f.call(2, 5000)
			f.hosts[2].limiter.Refund(&f.account, 5000)
			time.Sleep(50 * time.Millisecond)
		}
		is.New(f.t).Equal(len(f.refused), 0)
		time.Sleep(time.Second)
		f.call(5, 18_000) // fits only if another host has given everything back
		is.New(f.t).Equal(len(f.refused), 0)
	})
}

// TestRetryAfter guards against callers that are given a retry time at the same time, and
// against calls of more than the burst that never fit.
func TestRetryAfter(t *testing.T) {
	run(t, 8, small, func(f *fleet) {
		time.Sleep(3 * time.Second)
		i := is.New(f.t)
		f.call(1, 20_000)
		i.Equal(len(f.sends), 1)
		for n := range 8 {
			f.call(n, 9000)
		}
		i.Equal(len(f.refused), 8)
		for n := 1; n < 8; n++ {
			i.True(f.refused[n]-f.refused[n-1] > 400*time.Millisecond) // 9,000 at 18,000 a second
		}
		time.Sleep(f.refused[0])
		f.call(0, 9000)
		i.Equal(len(f.sends), 2)
	})
}
