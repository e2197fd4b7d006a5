package tracker

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"sardineknot.example/sardineknot"
)

func TestWindows(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	good := sardineknot.Outcome{Account: "verk", Work: "trip-summary", Kind: sardineknot.OutcomeGood, Objective: 0.95}
	slow := good
	slow.Kind = sardineknot.OutcomeSlow
	abandoned := good
	abandoned.Kind = sardineknot.OutcomeAbandoned

	t.Run("counts good and bad requests", func(t *testing.T) {
		k := NewTracker(metrics.NewRegistry())
		k.Record(start, good)
		k.Record(start, slow)
		assertWindows(t, k, start, sardineknot.BurnCount{Total: 2, Bad: 1}, sardineknot.BurnCount{Total: 2, Bad: 1})
	})
	t.Run("does not count abandoned requests", func(t *testing.T) {
		k := NewTracker(metrics.NewRegistry())
		k.Record(start, abandoned)
		is.New(t).Equal(len(k.Windows(start)), 0)
	})
	t.Run("expires the fast window before the slow one", func(t *testing.T) {
		k := NewTracker(metrics.NewRegistry())
		k.Record(start, slow)
		later := start.Add(sardineknot.FastBurnWindow + time.Second)
		assertWindows(t, k, later, sardineknot.BurnCount{}, sardineknot.BurnCount{Total: 1, Bad: 1})
	})
	t.Run("removes work without requests", func(t *testing.T) {
		k := NewTracker(metrics.NewRegistry())
		k.Record(start, slow)
		is.New(t).Equal(len(k.Windows(start.Add(sardineknot.SlowBurnWindow+time.Minute))), 0)
	})
}

func assertWindows(t *testing.T, k *Tracker, now time.Time, fast, slow sardineknot.BurnCount) {
	t.Helper()
	i := is.New(t)
	l := k.Windows(now)
	i.Equal(len(l), 1)
	i.Equal(l[0].Fast, fast)
	i.Equal(l[0].Slow, slow)
}
