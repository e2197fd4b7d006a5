// Package table prints the results of runs side by side, with a verdict on the
// chosen scheduler in each cell.
package table

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"sardineknot.example/sardineknot/internal/bench/result"
	"sardineknot.example/sardineknot/internal/bench/world"
)

// The names of the schedulers.
const (
	RoundRobin  = "a round robin"
	LeastLoaded = "b least loaded"
	Timed       = "c timed"
	Oracle      = "d oracle"
	Shortest    = "e oracle, shortest first"
)

// The targets of Timed.
const (
	// goodputTarget and overloadTarget are shares of the goodput of Oracle, up
	// to full load and above.
	goodputTarget  = 0.95
	overloadTarget = 0.90
	// wasteTarget and faultWasteTarget are shares of prefill work, without
	// faults and with.
	wasteTarget      = 0.01
	faultWasteTarget = 0.03
)

// Table holds results. Each cell, which is a workload with a fault and a load,
// has one result for each scheduler.
type Table struct {
	// Results is ordered by cell.
	Results []result.Result
}

// Write prints all results, and after each cell its verdict.
func (t Table) Write(o io.Writer) error {
	w := tabwriter.NewWriter(o, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "workload\tfault\tload\tscheduler\tasks\tgoodput\tdirect\tlate\trefusals\treturns\twaste\tevicted\tcancelled\tdeadline\tfailed\tttft 50/95/99\ttbt 50/95/99\tjain\tlowest\tverdict")
	for _, r := range t.Results {
		v := ""
		if r.Policy == Timed {
			v = strings.Join(t.Missed(r), "; ")
			if v == "" {
				v = "met"
			}
		}
		row(w, r, v)
	}
	return w.Flush()
}

func row(w io.Writer, r result.Result, verdict string) {
	p := func(d time.Duration) string { return percent(d.Seconds() / max(1e-9, r.Prefill.Seconds())) }
	fmt.Fprintf(w, "%s\t%s\t%.1f\t%s\t%d\t%s\t%s\t%d\t%d\t%d\t", r.Workload, r.Fault, r.Load, r.Policy, r.Asks, percent(r.Goodput()),
		percent(float64(r.Direct)/float64(max(1, r.Asks))), r.Late, r.Refusals, r.Returns)
	fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t", percent(r.WasteShare()), p(r.Waste.Evicted), p(r.Waste.Cancelled), p(r.Waste.Deadline), p(r.Waste.Failed))
	fmt.Fprintf(w, "%s\t%s\t%.3f\t%.2f\t%s\n", r.FirstToken, r.BetweenTokens, r.Fairness, r.Lowest, verdict)
}

func percent(f float64) string { return fmt.Sprintf("%.2f%%", 100*f) }

// Missed returns the targets that r, a result of Timed, misses in its cell.
func (t Table) Missed(r result.Result) []string {
	var l []string
	for _, o := range t.cell(r) {
		switch {
		case o.Policy == Shortest:
		case o.Policy == Oracle && r.Goodput() < Target(r.Load)*o.Goodput():
			l = append(l, fmt.Sprintf("goodput is %s of d", percent(r.Goodput()/o.Goodput())))
		case o.Policy != Oracle && r.Goodput() < o.Goodput():
			l = append(l, "goodput below "+o.Policy)
		case o.Policy != Oracle && r.Delivered == o.Delivered && r.WasteShare() >= o.WasteShare():
			l = append(l, "equal to "+o.Policy)
		}
	}
	if r.WasteShare() >= WasteTarget(r.Fault) {
		l = append(l, "waste "+percent(r.WasteShare()))
	}
	return l
}

// cell returns the results of other schedulers in the cell of r.
func (t Table) cell(r result.Result) []result.Result {
	var l []result.Result
	for _, o := range t.Results {
		if o.Workload == r.Workload && o.Fault == r.Fault && o.Load == r.Load && o.Policy != r.Policy {
			l = append(l, o)
		}
	}
	return l
}

// Target returns the share of the bound's goodput that is required at load.
func Target(load float64) float64 {
	if load > 1 {
		return overloadTarget
	}
	return goodputTarget
}

// WasteTarget returns the share of prefill work that may be wasted.
func WasteTarget(fault string) float64 {
	if fault == world.FaultNone {
		return wasteTarget
	}
	return faultWasteTarget
}
