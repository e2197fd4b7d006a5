package bench

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot/internal/bench/result"
	"sardineknot.example/sardineknot/internal/bench/slotsim"
	"sardineknot.example/sardineknot/internal/bench/table"
	"sardineknot.example/sardineknot/internal/bench/workload"
)

// TestTargets checks that the scheduler Timed meets its targets at two loads,
// in runs of one minute. Its goodput need not exceed that of a baseline,
// because a baseline may deliver every request as well; but if it delivers the
// same number of requests, it must waste less prefill time.
func TestTargets(t *testing.T) {
	for _, w := range []workload.Workload{workload.Akstursbok(), workload.Kessler()} {
		for _, f := range faults() {
			for _, l := range []float64{1.0, 2.0} {
				t.Run(fmt.Sprintf("%s/%s/%.1f", w.Name, f, l), func(t *testing.T) {
					checkCell(t, w, f, l)
				})
			}
		}
	}
}

// checkCell runs the schedulers a to d in one cell of the table, and reports
// the targets that Timed misses.
func checkCell(t *testing.T, w workload.Workload, fault string, load float64) {
	t.Parallel()
	c := &Command{duration: time.Minute, seed: 1}
	var b table.Table
	var r result.Result
	for _, s := range []string{"a", "b", "c", "d"} {
		m := c.measure(runSpec{workload: w, fault: fault, load: load, scheduler: s})
		b.Results = append(b.Results, m)
		if m.Policy == table.Timed {
			r = m
		}
	}
	for _, m := range b.MissedTargets(r) {
		t.Error(m)
	}
}

// TestDeterminism checks that runs with the same seed have the same result.
func TestDeterminism(t *testing.T) {
	c := &Command{duration: 30 * time.Second, seed: 3}
	e := runSpec{workload: workload.Kessler(), fault: slotsim.FaultEntryHostCrash, load: 1.3, scheduler: "c"}
	is.New(t).Equal(c.measure(e), c.measure(e))
}

func TestFlags(t *testing.T) {
	for n, c := range map[string]Command{
		"unknown workload":  {workloads: "x", faults: "none", loads: "1", schedulers: "c"},
		"unknown fault":     {workloads: "kessler", faults: "x", loads: "1", schedulers: "c"},
		"negative load":     {workloads: "kessler", faults: "none", loads: "-1", schedulers: "c"},
		"unknown scheduler": {workloads: "kessler", faults: "none", loads: "1", schedulers: "x"},
	} {
		t.Run(n, func(t *testing.T) {
			_, err := c.runSpecs()
			is.New(t).True(err != nil)
		})
	}
}
