// Package result holds what was measured in one run of a scheduler.
package result

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"sort"
	"time"

	"sardineknot.example/sardineknot"
)

// Result is the outcome of one run.
type Result struct {
	// Workload, Fault, Policy and Load identify the run. Load is the rate of
	// first asks, relative to capacity.
	Workload string
	Fault    string
	Policy   string
	Load     float64
	// Asks counts first asks, without those whose callers disconnect early of
	// their own accord.
	Asks int
	// Delivered counts asks that were delivered whole and within the targets.
	Delivered int
	// Direct counts those of them whose callers did not have to come back.
	Direct int
	// Late counts asks that were delivered whole, but too late.
	Late int
	// Refusals counts refusals, and Returns the times that a caller came back.
	Refusals int
	Returns  int
	// Prefill is the time that prefill engines worked.
	Prefill time.Duration
	// Waste is the part of Prefill whose result was never used.
	Waste waste
	// FirstToken and BetweenTokens are distributions over delivered tokens.
	FirstToken    quantiles
	BetweenTokens quantiles
	// Fairness is the Jain index over accounts of the asks delivered, relative
	// to the account's fair share of all that were delivered.
	Fairness float64
	// Lowest is the smallest of these ratios.
	Lowest float64
}

// waste is prefill work by the reason why its result was not used.
type waste struct {
	// Evicted results lapsed before they were read.
	Evicted time.Duration
	// Cancelled ones belong to callers that disconnected of their own accord.
	Cancelled time.Duration
	// Deadline ones belong to jobs that were refused, or given up by their
	// callers, because the first token was late.
	Deadline time.Duration
	// Failed ones were lost with a server or an entry host.
	Failed time.Duration
}

// quantiles are the 50th, 95th and 99th percentile.
type quantiles struct{ P50, P95, P99 time.Duration }

// String returns the three in milliseconds.
func (q quantiles) String() string {
	return fmt.Sprintf("%d/%d/%d", q.P50.Milliseconds(), q.P95.Milliseconds(), q.P99.Milliseconds())
}

// Goodput returns the share of asks that were delivered in time.
func (r Result) Goodput() float64 { return float64(r.Delivered) / float64(max(1, r.Asks)) }

// WasteShare returns the share of prefill work that was wasted.
func (r Result) WasteShare() float64 {
	if r.Prefill == 0 {
		return 0
	}
	return r.Waste.Total().Seconds() / r.Prefill.Seconds()
}

// Total returns the sum over all reasons.
func (w waste) Total() time.Duration { return w.Evicted + w.Cancelled + w.Deadline + w.Failed }

// SetFairness works out Fairness and Lowest from the asks and deliveries of
// each account.
func (r *Result) SetFairness(asks, delivered map[sardineknot.ClientAccountName]int) {
	s := shares(asks, delivered)
	var t, q float64
	r.Lowest = 1
	for _, a := range slices.Sorted(maps.Keys(asks)) {
		n := asks[a]
		x := float64(delivered[a]) / max(1, min(float64(n), s))
		t += x
		q += x * x
		r.Lowest = min(r.Lowest, x)
	}
	r.Fairness = 1
	if q > 0 {
		r.Fairness = t * t / (float64(len(asks)) * q)
	}
}

// shares returns the largest number of deliveries that an account may have
// under max-min fairness of all deliveries.
func shares(asks, delivered map[sardineknot.ClientAccountName]int) float64 {
	var l []int
	var t float64
	for _, a := range slices.Sorted(maps.Keys(asks)) {
		l = append(l, asks[a])
		t += float64(delivered[a])
	}
	sort.Ints(l)
	for i, n := range l {
		s := t / float64(len(l)-i)
		if float64(n) >= s {
			return s
		}
		t -= float64(n)
	}
	return math.Inf(1)
}
