package timed

import (
	"fmt"
	"testing"
	"time"

	"sardineknot.example/sardineknot"
)

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
