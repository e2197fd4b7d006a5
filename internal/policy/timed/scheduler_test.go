package timed

import (
	"fmt"
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
