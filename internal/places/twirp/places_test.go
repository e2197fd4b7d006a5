package twirp_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/places/twirp"
)

// capacity is the number of calls that five servers answer in a second.
const capacity = 500

// compare runs test with hosts that decide alone and with hosts that share places, and
// logs both results.
func compare(t *testing.T, count int, test func(*testing.T, *fleet) result) (alone, shared result) {
	t.Helper()
	run(t, count, true, func(t *testing.T, f *fleet) { alone = test(t, f) })
	run(t, count, false, func(t *testing.T, f *fleet) {
		shared = test(t, f)
		f.assertSentOnce(t)
	})
	t.Logf("alone %+v, shared %+v", alone, shared)
	return alone, shared
}

// assertSentOnce checks that no call has reached two servers.
func (f *fleet) assertSentOnce(t *testing.T) {
	t.Helper()
	for _, n := range f.calls {
		is.New(t).Equal(n, 1)
	}
}

// bound returns the calls in time with perfect knowledge: all servers work all the
// time, until 300 ms after the last call.
func bound(r result, duration time.Duration, perSecond float64) float64 {
	return min(float64(r.inTime+r.late+r.failed), (duration.Seconds()+0.3)*perSecond)
}

// TestOverload guards against calls that queue behind others until they are late, and
// are refused while other servers have room, since each host counts only its own
// calls.
func TestOverload(t *testing.T) {
	for _, x := range []float64{0.5, 1, 1.3, 2} {
		t.Run(fmt.Sprintf("arrivals at %v of the capacity", x), func(t *testing.T) {
			a, s := compare(t, 86, func(t *testing.T, f *fleet) result { return f.load(t.Context(), 4*time.Second, x*capacity) })
			is := is.New(t)
			is.True(s.inTime >= a.inTime)
			is.True(float64(s.inTime) >= 0.95*bound(s, 4*time.Second, capacity))
		})
	}
}

// TestClasses guards against urgent calls, and calls of small accounts, that are
// refused or late because of others. The load is 1.3 times the capacity: two fifths of
// it are urgent, or from two small accounts beside a large one.
func TestClasses(t *testing.T) {
	s := [...]string{"preferred", "preferred", "other", "other", "other"}
	var l []sardineknot.ClientAccount
	for _, n := range []string{"a", "b", "large"} {
		l = append(l, sardineknot.ClientAccount{Name: sardineknot.ClientAccountName(n), Keys: []sardineknot.KeyDigest{sardineknot.DigestKey(n)}})
	}
	test := func(t *testing.T, class func(int, *sardineknot.Call)) {
		run(t, 86, false, func(t *testing.T, f *fleet) {
			f.current.SetAccounts(l)
			f.class = func(i int, c *sardineknot.Call) string {
				class(i%5, c)
				return s[i%5]
			}
			f.load(t.Context(), 4*time.Second, 1.3*capacity)
			p, o := f.byClass["preferred"], f.byClass["other"]
			t.Logf("preferred %+v, other %+v", *p, *o)
			is.New(t).True(p.share() >= 0.95)
			is.New(t).True(o.share() >= 0.6)
		})
	}
	t.Run("urgent", func(t *testing.T) {
		test(t, func(i int, c *sardineknot.Call) {
			r := *c.Route
			c.Route, r.Priority = &r, i/2
		})
	})
	t.Run("small accounts", func(t *testing.T) {
		test(t, func(i int, c *sardineknot.Call) {
			c.Account = &l[min(i, 2)]
			c.Key = c.Account.Keys[0]
		})
	})
}

// TestServersLost guards against an owner that goes on assigning calls to servers that
// no host reaches, in a burst of three times the usual load of 200 calls a second.
func TestServersLost(t *testing.T) {
	a, s := compare(t, 86, func(t *testing.T, f *fleet) result {
		f.servers["s1"].factor, f.servers["s3"].factor = 0, 0
		return f.load(t.Context(), 5*time.Second, 600)
	})
	is := is.New(t)
	is.True(s.inTime >= 2*a.inTime)
	is.True(float64(s.inTime) >= 0.9*bound(s, 5*time.Second, capacity*3/5))
}

// TestSlowServer guards against calls that queue at a server that takes longer for 600
// ms: 2.5 times as long at 0.9 of the capacity, or 20 times as long.
func TestSlowServer(t *testing.T) {
	test := func(t *testing.T, factor, load, least float64) {
		a, s := compare(t, 86, func(t *testing.T, f *fleet) result {
			go func() {
				for range 3 {
					f.slow("s2", factor)
					time.Sleep(600 * time.Millisecond)
					f.slow("s2", 1)
					time.Sleep(400 * time.Millisecond)
				}
			}()
			return f.load(t.Context(), 4*time.Second, load*capacity)
		})
		is.New(t).True(s.inTime >= a.inTime)
		is.New(t).True(float64(s.inTime) >= least*float64(s.inTime+s.late+s.failed))
	}
	t.Run("noise", func(t *testing.T) { test(t, 2.5, 0.9, 0.95) })
	t.Run("hardly any progress", func(t *testing.T) { test(t, 20, 0.9, 0.93) })
}

func (f *fleet) slow(name string, factor float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for n, s := range f.servers {
		if string(n) == name {
			s.factor = factor
		}
	}
}

// TestOwnerLost guards against calls that wait for an owner that does not answer, or
// run twice because of it, and against a new owner that assigns calls to servers that
// are full. The load is 1.3 times the capacity.
func TestOwnerLost(t *testing.T) {
	lose := func(t *testing.T, least float64, what func(*fleet)) {
		a, s := compare(t, 86, func(t *testing.T, f *fleet) result {
			go func() {
				time.Sleep(2 * time.Second)
				what(f)
			}()
			return f.load(t.Context(), 5*time.Second, 1.3*capacity)
		})
		is.New(t).True(float64(s.inTime) >= least*float64(a.inTime))
	}
	t.Run("silent", func(t *testing.T) { lose(t, 1.1, func(f *fleet) { f.silence(f.owner()) }) })
	t.Run("silent, and found dead after a second", func(t *testing.T) {
		lose(t, 1.6, func(f *fleet) {
			o := f.owner()
			f.silence(o)
			time.Sleep(time.Second)
			f.die(o)
		})
	})
	t.Run("started again", func(t *testing.T) { lose(t, 1.9, func(f *fleet) { f.restart(f.owner()) }) })
	t.Run("all hosts started again", func(t *testing.T) {
		lose(t, 1.9, func(f *fleet) {
			for n := range f.hosts {
				f.restart(n)
			}
		})
	})
}

// TestWithoutContention guards against messages between hosts although the servers have
// capacity to spare, at 0.4 of the capacity.
func TestWithoutContention(t *testing.T) {
	t.Run("before", func(t *testing.T) {
		run(t, 86, false, func(t *testing.T, f *fleet) {
			f.load(t.Context(), 5*time.Second, 0.4*capacity)
			is.New(t).Equal(f.sent(), 0)
		})
	})
	t.Run("after a burst", func(t *testing.T) {
		run(t, 86, false, func(t *testing.T, f *fleet) {
			f.load(t.Context(), time.Second, 2*capacity)
			f.load(t.Context(), 10*time.Second, 0.4*capacity)
			n := f.sent()
			f.load(t.Context(), 5*time.Second, 0.4*capacity)
			is.New(t).True(n > 0)
			is.New(t).Equal(f.sent(), n)
		})
	})
}

// TestMessages guards against more than three messages for a call, of which only one
// delays it, and against long ones. The load is twice the capacity.
func TestMessages(t *testing.T) {
	for _, n := range []int{86, 300} {
		t.Run(fmt.Sprintf("%d hosts", n), func(t *testing.T) {
			run(t, n, false, func(t *testing.T, f *fleet) {
				f.load(t.Context(), time.Second, 2*capacity)
				f.mu.Lock()
				f.messages, f.bytes, f.attempts = 0, 0, 0
				f.mu.Unlock()
				f.load(t.Context(), 4*time.Second, 2*capacity)
				f.mu.Lock()
				defer f.mu.Unlock()
				m, b := float64(f.messages)/float64(f.attempts), float64(f.bytes)/float64(f.attempts)
				t.Logf("%.2f messages and %.0f bytes an attempt, %d attempts", m, b, f.attempts)
				is.New(t).True(m < 2.1 && b < 200)
			})
		})
	}
}

// asker returns a host of f that is not the owner and has seen contention.
func (f *fleet) asker() *twirp.Places {
	p := f.places[(f.owner()+1)%len(f.places)]
	p.ReportFull("s")
	return p
}

// assertAlone checks whether p lets its host decide alone, and how many messages it
// sends in one second for that, if each of five calls is sent anyway.
func (f *fleet) assertAlone(t *testing.T, p *twirp.Places, alone bool, messages int) {
	t.Helper()
	is := is.New(t)
	time.Sleep(20 * time.Millisecond)
	m := f.sent()
	for range 5 {
		n := time.Now()
		c := &sardineknot.Call{Service: "s", Route: &sardineknot.Route{}, ArrivedAt: n, Deadline: n.Add(time.Second), CallerDeadline: n.Add(time.Second)}
		l, err := p.Take(t.Context(), c, nil)
		is.NoErr(err)
		is.Equal(l.Server.Name == "", alone)
		is.True(time.Since(n) <= 50*time.Millisecond)
	}
	is.Equal(f.sent()-m, messages)
}

// TestNoAnswer guards against calls that wait for an owner again and again, and against
// the use of a place after the time for which the host was suspended.
func TestNoAnswer(t *testing.T) {
	t.Run("an owner that answers", func(t *testing.T) {
		run(t, 2, false, func(t *testing.T, f *fleet) { f.assertAlone(t, f.asker(), false, 5) })
	})
	t.Run("a silent owner", func(t *testing.T) {
		run(t, 2, false, func(t *testing.T, f *fleet) {
			f.silence(f.owner())
			f.assertAlone(t, f.asker(), true, 1)
		})
	})
	t.Run("an owner of an older version", func(t *testing.T) {
		run(t, 2, false, func(t *testing.T, f *fleet) {
			o := f.owner()
			f.mu.Lock()
			f.muxes[f.hosts[o].PeerAddress.String()] = http.NewServeMux()
			f.mu.Unlock()
			f.assertAlone(t, f.asker(), true, 1)
		})
	})
	t.Run("a host that was suspended", func(t *testing.T) {
		run(t, 2, false, func(t *testing.T, f *fleet) {
			p := f.asker()
			time.Sleep(20 * time.Millisecond)
			f.mu.Lock()
			f.suspend = 100 * time.Millisecond
			f.mu.Unlock()
			f.assertAlone(t, p, true, 5)
		})
	})
}
