package timed

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"sardineknot.example/sardineknot"
)

func TestSlots(t *testing.T) {
	t.Run("no prefill starts while no slot is expected to become free", func(t *testing.T) {
		v := newDriver(t, 1, 1, 1)
		v.submit(v.job("1"))
		v.generate("1")
		v.submit(v.job("2"))
		v.wait(time.Second)
		v.is.True(!v.prefilled("2"))
		v.finish("1", 0, 30)
		v.is.True(v.prefilled("2"))
	})
	t.Run("a prefill starts before an expected slot is free", func(t *testing.T) {
		v := newDriver(t, 1, 1, 12)
		v.learn(13)
		for i := range 12 {
			k := fmt.Sprint(i)
			v.submit(v.job(k))
			v.generate(k)
		}
		v.submit(v.job("next"))
		v.is.True(!v.prefilled("next"))
		v.wait(1600 * time.Millisecond)
		v.is.True(v.prefilled("next"))
		v.is.True(!v.decoded("next"))
	})
	t.Run("memory limits the jobs on an engine in addition to slots", func(t *testing.T) {
		v := newDriver(t, 1, 1, 20)
		v.servers[1].MemoryPieces = 10
		v.setServers()
		a, b := v.job("1"), v.job("2")
		a.PromptTokens, b.PromptTokens = 12000, 12000
		v.submit(a, b)
		v.generate("1")
		v.wait(time.Second)
		v.is.True(!v.prefilled("2"))
		v.finish("1", 0, 10)
		v.is.True(v.prefilled("2"))
	})
}

func TestCancel(t *testing.T) {
	for n, f := range map[string]func(*driver){
		"queued":     func(*driver) {},
		"prefilling": func(v *driver) { v.finish("0", 0, 100) },
		"decoding": func(v *driver) {
			v.finish("0", 0, 100)
			v.generate("1")
		},
	} {
		t.Run(n, func(t *testing.T) {
			v := newDriver(t, 1, 1, 1)
			v.submit(v.job("0"))
			v.generate("0")
			v.submit(v.job("1"))
			f(v)
			v.report("1", sardineknot.JobCancelled, "", 0)
			v.report("0", sardineknot.JobCancelled, "", 0)
			v.checkEmpty()
			v.submit(v.job("2"))
			v.is.True(v.prefilled("2"))
		})
	}
}

func TestRefusal(t *testing.T) {
	t.Run("a job is refused at once if its first token would be late", func(t *testing.T) {
		v := newDriver(t, 1, 1, 1)
		v.learn(1)
		j := v.job("1")
		j.FirstTokenDeadline = v.now.Add(50 * time.Millisecond)
		v.submit(j)
		v.is.True(!v.prefilled("1"))
		v.is.True(v.refused["1"].RetryAfter > 0)
		v.checkEmpty()
	})
	t.Run("retries are spaced out", func(t *testing.T) {
		v := newDriver(t, 1, 1, 1)
		v.learn(13)
		var l time.Duration
		for i := range 5 {
			k := fmt.Sprint(i)
			j := v.job(k)
			j.FirstTokenDeadline = v.now.Add(500 * time.Millisecond)
			v.submit(j)
			if i > 0 {
				v.is.True(v.refused[k].RetryAfter > l)
				l = v.refused[k].RetryAfter
			}
		}
	})
	t.Run("a queued job is refused when its latest start has passed", func(t *testing.T) {
		v := newDriver(t, 1, 1, 2)
		v.servers[0].Slots = 1
		v.setServers()
		v.submit(v.job("1"))
		j := v.job("2")
		j.FirstTokenDeadline = v.now.Add(5 * time.Second)
		v.submit(j)
		v.wait(4 * time.Second)
		v.is.Equal(len(v.refused), 0)
		v.wait(time.Second)
		v.is.Equal(v.refused["2"].Action, sardineknot.ActionRefuse)
	})
}

func TestUnknownRates(t *testing.T) {
	t.Run("retries are early before the first answer has ended", func(t *testing.T) {
		v := newDriver(t, 1, 1, 1)
		v.submit(v.job("0"))
		for i := range 5 {
			k := fmt.Sprint("late", i)
			j := v.job(k)
			j.FirstTokenDeadline = v.now.Add(50 * time.Millisecond)
			v.submit(j)
			v.is.True(v.refused[k].RetryAfter > 0)
			v.is.True(v.refused[k].RetryAfter < 2*time.Second)
		}
	})
	t.Run("jobs wait for a slot before the first answer has ended", func(t *testing.T) {
		v := newDriver(t, 1, 1, 1)
		v.submit(v.job("1"))
		j := v.job("2")
		j.FirstTokenDeadline = v.now.Add(2 * time.Second)
		v.submit(j)
		v.is.Equal(len(v.refused), 0)
		v.report("1", sardineknot.JobCancelled, "p0", 0)
		v.is.True(v.prefilled("2"))
	})
	t.Run("an overestimated prefill time is corrected within seconds", func(t *testing.T) {
		v := newDriver(t, 1, 1, 4)
		v.submit(v.job("slow"))
		v.wait(8 * time.Second)
		v.report("slow", sardineknot.JobPrefillDone, "p0", 0)
		v.report("slow", sardineknot.JobCancelled, "d0", 0)
		var n int
		for i := range 100 {
			k := fmt.Sprint(i)
			j := v.job(k)
			j.FirstTokenDeadline = v.now.Add(500 * time.Millisecond)
			v.submit(j)
			if v.prefilled(k) {
				n++
				v.generate(k)
				v.finish(k, 0, 10)
			}
			v.wait(50 * time.Millisecond)
		}
		v.is.True(n > 70)
	})
}

func TestIncapableEngines(t *testing.T) {
	t.Run("jobs are refused if all engines are too slow between tokens", func(t *testing.T) {
		v := newDriver(t, 1, 1, 2)
		v.submit(v.job("1"), v.job("2"))
		v.generate("1")
		v.generate("2")
		v.finish("1", 5*time.Second, 100)
		v.submit(v.job("3"))
		v.is.True(v.refused["3"].RetryAfter > 0)
	})
	t.Run("jobs are refused if there are no engines", func(t *testing.T) {
		v := newDriver(t, 1, 0, 0)
		v.submit(v.job("1"))
		v.is.True(v.refused["1"].RetryAfter > 0)
	})
}

func TestOrder(t *testing.T) {
	// hold occupies the only slot, so that later jobs wait.
	hold := func(t *testing.T) *driver {
		v := newDriver(t, 1, 1, 1)
		v.submit(v.job("0"))
		v.generate("0")
		return v
	}
	drain := func(v *driver) {
		for i := 0; i < len(v.order); i++ {
			v.generate(v.order[i])
			v.finish(v.order[i], 0, 10)
		}
	}
	t.Run("a burst of one account does not delay another account", func(t *testing.T) {
		v := hold(t)
		for i := range 10 {
			v.submit(v.job(fmt.Sprintf("burst%d", i)))
		}
		j := v.job("other")
		j.Key.Account = "b"
		j.FirstTokenDeadline = j.FirstTokenDeadline.Add(time.Second)
		v.submit(j)
		drain(v)
		v.is.Equal(v.order[1], "other")
	})
	t.Run("jobs are ordered by priority, then by deadline", func(t *testing.T) {
		v := hold(t)
		a, b, c := v.job("late"), v.job("soon"), v.job("first")
		a.Priority, b.Priority = 1, 1
		b.FirstTokenDeadline = b.FirstTokenDeadline.Add(-time.Second)
		c.FirstTokenDeadline = c.FirstTokenDeadline.Add(time.Second)
		v.submit(a, b, c)
		drain(v)
		v.is.Equal(v.order, []string{"0", "first", "soon", "late"})
	})
}

func TestFailingServer(t *testing.T) {
	t.Run("a server that fails fast receives few jobs", func(t *testing.T) {
		v := newDriver(t, 2, 1, 100)
		var n int
		for i := range 40 {
			k := fmt.Sprint(i)
			v.submit(v.job(k))
			v.wait(20 * time.Millisecond)
			if v.prefill[k] == "p0" {
				n++
				v.report(k, sardineknot.JobFailed, "p0", 0)
				continue
			}
			v.generate(k)
		}
		v.is.True(n <= 8) // failures up to the threshold, then probes with growing backoff
	})
	t.Run("a recovered server is used again within seconds", func(t *testing.T) {
		v := newDriver(t, 1, 1, 100)
		for i := range 3 {
			k := fmt.Sprint(i)
			v.submit(v.job(k))
			v.report(k, sardineknot.JobFailed, "p0", 0)
		}
		v.submit(v.job("next"))
		v.is.True(!v.prefilled("next"))
		v.wait(time.Second)
		v.is.True(v.prefilled("next"))
	})
}

func TestUnavailable(t *testing.T) {
	t.Run("a server with an overdue event receives no new jobs", func(t *testing.T) {
		v := newDriver(t, 2, 1, 100)
		v.submit(v.job("1"))
		s := v.prefill["1"]
		v.wait(2 * time.Second)
		for i := range 6 {
			k := fmt.Sprintf("x%d", i)
			v.submit(v.job(k))
			v.is.True(v.prefill[k] != s)
			v.generate(k)
		}
	})
	t.Run("a removed server receives no new jobs and finishes its own", func(t *testing.T) {
		v := newDriver(t, 2, 2, 1)
		v.submit(v.job("1"))
		v.generate("1")
		d := v.decode["1"]
		v.removeServer(d)
		v.submit(v.job("2"), v.job("3"))
		v.generate("2")
		v.is.True(v.decode["2"] != d)
		v.finish("1", 0, 10)
		v.wait(time.Second)
		v.is.True(!v.prefilled("3"))
	})
}

func TestLostEnd(t *testing.T) {
	lose := func(t *testing.T) *driver {
		v := newDriver(t, 1, 1, 1)
		v.submit(v.job("lost"))
		v.generate("lost")
		j := v.job("next")
		j.FirstTokenDeadline = v.now.Add(10 * time.Minute)
		v.submit(j)
		return v
	}
	t.Run("load reports reveal a lost job", func(t *testing.T) {
		v := lose(t)
		for range 4 {
			v.wait(2 * time.Second)
			v.s.ObserveLoad(v.now, sardineknot.LoadReport{Server: "d0", MeasuredAt: v.now.Add(-250 * time.Millisecond)})
		}
		v.wait(recheckInterval)
		v.is.True(v.prefilled("next"))
	})
	t.Run("a job that the engine reports is kept", func(t *testing.T) {
		v := lose(t)
		for range 4 {
			v.wait(2 * time.Second)
			v.s.ObserveLoad(v.now, sardineknot.LoadReport{Server: "d0", MeasuredAt: v.now, Running: 1})
		}
		v.is.True(!v.prefilled("next"))
	})
	t.Run("a job expires after the time of the longest answer", func(t *testing.T) {
		v := lose(t)
		v.wait(2 * time.Minute)
		v.is.True(v.prefilled("next"))
	})
}

func TestPlacement(t *testing.T) {
	t.Run("a prompt goes to the engine that received its prefix before", func(t *testing.T) {
		v := newDriver(t, 3, 1, 100)
		j := v.job("first")
		j.PromptTokens, j.PrefixHashes = 9000, []uint64{1, 2, 3, 4}
		v.submit(j)
		p := v.prefill["first"]
		v.generate("first")
		for i := range 5 {
			v.submit(v.job(fmt.Sprint(i)))
			j.Key = key(fmt.Sprintf("again%d", i))
			v.submit(j)
			v.is.Equal(v.prefill[fmt.Sprintf("again%d", i)], p)
			v.wait(100 * time.Millisecond)
			for _, k := range []string{fmt.Sprint(i), fmt.Sprintf("again%d", i)} {
				v.report(k, sardineknot.JobPrefillDone, v.prefill[k], 0)
			}
		}
	})
	t.Run("a faster link is preferred", func(t *testing.T) {
		v := newDriver(t, 1, 2, 100)
		v.setServers(
			sardineknot.Link{From: "z0", To: "z0", BytesPerSecond: 2e8},
			sardineknot.Link{From: "z0", To: "z1", BytesPerSecond: 1e9},
		)
		v.submit(v.job("1"))
		v.generate("1")
		v.is.Equal(v.decode["1"], sardineknot.BackendServerName("d1"))
	})
	t.Run("a job whose prefill result has expired is refused", func(t *testing.T) {
		v := newDriver(t, 1, 1, 1)
		v.submit(v.job("1"))
		v.s.releaseSlot(v.s.jobs[key("1")])
		v.s.pending = append(v.s.pending, v.s.jobs[key("1")])
		v.s.decode[0].server.Slots = 0
		v.report("1", sardineknot.JobPrefillDone, "p0", 0)
		v.wait(time.Second)
		v.is.True(!v.decoded("1"))
		v.is.Equal(v.refused["1"].Action, sardineknot.ActionRefuse)
		v.checkEmpty()
	})
}

// TestInvariants reports random events and checks the use of slots after each.
func TestInvariants(t *testing.T) {
	for n := range uint64(5) {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			r := rand.New(rand.NewPCG(n, 1))
			v := newDriver(t, 3, 3, 4)
			for i := range 1000 {
				step(v, r, i)
				checkSlots(v)
			}
			for _, k := range keys(v) {
				v.report(k, sardineknot.JobCancelled, "", 0)
			}
			v.checkEmpty()
		})
	}
}

func step(v *driver, random *rand.Rand, index int) {
	if random.IntN(2) == 0 {
		j := v.job(fmt.Sprint(index))
		j.Key.Account = sardineknot.ClientAccountName(fmt.Sprint(random.IntN(4)))
		j.FirstTokenDeadline = v.now.Add(time.Duration(random.IntN(3000)) * time.Millisecond)
		v.submit(j)
	}
	l := keys(v)
	if len(l) > 0 {
		k := l[random.IntN(len(l))]
		e := sardineknot.JobEventKind(1 + random.IntN(5))
		v.report(k, e, v.servers[random.IntN(len(v.servers))].Name, random.IntN(500))
	}
	v.wait(time.Duration(random.IntN(3)) * 30 * time.Millisecond)
}

func keys(v *driver) []string {
	var l []string
	for k := range v.s.jobs {
		l = append(l, string(k.ID))
	}
	slices.Sort(l)
	return l
}

func checkSlots(v *driver) {
	for _, e := range v.s.decode {
		v.is.True(len(e.jobs) <= e.server.Slots)
	}
	for _, j := range v.s.pending {
		v.is.True(j.state == prefilling || j.state == ready)
		v.is.True(j.decode == nil)
	}
}
