package timed

import (
	"fmt"
	"testing"
	"time"

	"sardineknot.example/sardineknot"
)

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
