// Package table prints the results of runs as a table and compares the scheduler
// Timed with its targets.
package table

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"sardineknot.example/sardineknot/internal/bench/result"
	"sardineknot.example/sardineknot/internal/bench/slotsim"
)

// The names of the schedulers.
const (
	RoundRobin  = "a round robin"
	LeastLoaded = "b least loaded"
	Timed       = "c timed"
	Oracle      = "d oracle"
	Shortest    = "e oracle, shortest first"
)

// The targets of the scheduler Timed.
const (
	// normalGoodputTarget and overloadGoodputTarget are the required fractions
	// of the goodput of Oracle, at loads up to 1 and above 1.
	normalGoodputTarget   = 0.95
	overloadGoodputTarget = 0.90
	// normalWasteTarget and faultWasteTarget are the fractions below which
	// wasted prefill time must stay, without and with faults.
	normalWasteTarget = 0.01
	faultWasteTarget  = 0.03
)

// Table holds results. Each combination of a workload, a fault and a load is a
// cell, which has one result for each scheduler.
type Table struct {
	// Results is ordered by cell.
	Results []result.Result
}

// Write writes one row for each result to output. The rows of Timed end with the
// targets that it missed, or with "met".
func (t Table) Write(output io.Writer) error {
	w := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "workload\tfault\tload\tscheduler\tasks\tgoodput\tdirect\tlate\trefusals\treturns\twaste\tevicted\tcancelled\tdeadline\tfailed\tttft 50/95/99\ttbt 50/95/99\tjain\tlowest\tverdict")
	for _, r := range t.Results {
		v := ""
		if r.Policy == Timed {
			v = strings.Join(t.MissedTargets(r), "; ")
			if v == "" {
				v = "met"
			}
		}
		writeRow(w, r, v)
	}
	return w.Flush()
}

func writeRow(w io.Writer, r result.Result, verdict string) {
	p := func(d time.Duration) string { return percent(d.Seconds() / max(1e-9, r.Prefill.Seconds())) }
	fmt.Fprintf(w, "%s\t%s\t%.1f\t%s\t%d\t%s\t%s\t%d\t%d\t%d\t", r.Workload, r.Fault, r.Load, r.Policy, r.Asks, percent(r.Goodput()),
		percent(float64(r.Direct)/float64(max(1, r.Asks))), r.Late, r.Refusals, r.Returns)
	fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t", percent(r.WasteShare()), p(r.Waste.Evicted), p(r.Waste.Cancelled), p(r.Waste.Deadline), p(r.Waste.Failed))
	fmt.Fprintf(w, "%s\t%s\t%.3f\t%.2f\t%s\n", r.FirstToken, r.BetweenTokens, r.Fairness, r.Lowest, verdict)
}

func percent(fraction float64) string { return fmt.Sprintf("%.2f%%", 100*fraction) }

// MissedTargets returns descriptions of the targets that r, a result of Timed,
// misses.
func (t Table) MissedTargets(r result.Result) []string {
	var l []string
	for _, o := range t.otherResults(r) {
		switch {
		case o.Policy == Shortest:
		case o.Policy == Oracle && r.Goodput() < GoodputTarget(r.Load)*o.Goodput():
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

// otherResults returns the results of the other schedulers in the cell of r.
func (t Table) otherResults(r result.Result) []result.Result {
	var l []result.Result
	for _, o := range t.Results {
		if o.Workload == r.Workload && o.Fault == r.Fault && o.Load == r.Load && o.Policy != r.Policy {
			l = append(l, o)
		}
	}
	return l
}

// GoodputTarget returns the fraction of the goodput of Oracle that is required
// at the given load.
func GoodputTarget(load float64) float64 {
	if load > 1 {
		return overloadGoodputTarget
	}
	return normalGoodputTarget
}

// WasteTarget returns the fraction below which wasted prefill time must stay
// under the fault with the given name.
func WasteTarget(fault string) float64 {
	if fault == slotsim.FaultNone {
		return normalWasteTarget
	}
	return faultWasteTarget
}
