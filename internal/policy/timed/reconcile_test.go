package timed

import (
	"testing"
	"time"

	"sardineknot.example/sardineknot"
)

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
