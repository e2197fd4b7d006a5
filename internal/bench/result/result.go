// Package result defines the measurements of one run of a scheduler on a
// workload.
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
	// Workload, Fault, Policy and Load identify the run. Policy is the name of
	// the scheduler. Load is the rate of new requests, relative to the capacity
	// of the workload.
	Workload string
	Fault    string
	Policy   string
	Load     float64
	// Asks is the number of requests, without those whose callers disconnect
	// early. A request that is submitted again counts once.
	Asks int
	// Delivered is the number of requests that were answered completely and
	// within the latency targets.
	Delivered int
	// Direct is the number of delivered requests whose callers did not have to
	// submit them again.
	Direct int
	// Late is the number of requests that were answered completely but missed a
	// latency target.
	Late int
	// Refusals is the number of refusals by the scheduler. Returns is the
	// number of times that callers submitted a request again.
	Refusals int
	Returns  int
	// Prefill is the total working time of the prefill engines.
	Prefill time.Duration
	// Waste is the part of Prefill whose KV cache was never used.
	Waste waste
	// FirstToken is the distribution, over requests, of the time to the first
	// token. BetweenTokens is the distribution, over tokens, of the time since
	// the previous token.
	FirstToken    quantiles
	BetweenTokens quantiles
	// Fairness is Jain's fairness index of the accounts' delivery ratios. The
	// delivery ratio of an account is the number of its delivered requests
	// divided by its max-min fair share of all delivered requests.
	Fairness float64
	// Lowest is the lowest delivery ratio of any account, and at most 1.
	Lowest float64
}

// waste is the time spent on prefills whose KV cache was not used, by reason.
type waste struct {
	// Evicted is the time spent on KV caches that expired before a decode engine
	// imported them.
	Evicted time.Duration
	// Cancelled is the time spent for callers that disconnected early.
	Cancelled time.Duration
	// Deadline is the time spent on jobs that were refused, or whose caller
	// timed out, because the first token was late.
	Deadline time.Duration
	// Failed is the time spent on prefills that were lost because a server or an
	// entry host failed.
	Failed time.Duration
}

// quantiles holds the 50th, 95th and 99th percentiles.
type quantiles struct{ P50, P95, P99 time.Duration }

// String returns the percentiles in milliseconds, separated by slashes.
func (q quantiles) String() string {
	return fmt.Sprintf("%d/%d/%d", q.P50.Milliseconds(), q.P95.Milliseconds(), q.P99.Milliseconds())
}

// Goodput returns the fraction of the requests that were answered completely and
// within the latency targets.
func (r Result) Goodput() float64 { return float64(r.Delivered) / float64(max(1, r.Asks)) }

// WasteShare returns the fraction of the prefill time that was wasted.
func (r Result) WasteShare() float64 {
	if r.Prefill == 0 {
		return 0
	}
	return r.Waste.Total().Seconds() / r.Prefill.Seconds()
}

// Total returns the sum of the wasted times over all reasons.
func (w waste) Total() time.Duration { return w.Evicted + w.Cancelled + w.Deadline + w.Failed }

// SetFairness sets Fairness and Lowest. asks and delivered are the numbers of
// requests and of delivered requests of each account.
func (r *Result) SetFairness(asks, delivered map[sardineknot.ClientAccountName]int) {
	s := fairShare(asks, delivered)
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

// fairShare returns the maximum number of delivered requests of an account if
// all delivered requests were distributed over the accounts with max-min
// fairness. It returns infinity if the delivered requests suffice for every
// account.
func fairShare(asks, delivered map[sardineknot.ClientAccountName]int) float64 {
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
