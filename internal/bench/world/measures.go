package world

import (
	"math"
	"slices"
	"sort"
	"time"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/bench/result"
)

const (
	// intervalStep is the resolution of times between tokens.
	intervalStep = 250 * time.Microsecond
	// intervalSteps bounds the times between tokens that are told apart.
	intervalSteps = 1000
)

// measures collects what a run gives.
type measures struct {
	result    result.Result
	firsts    []time.Duration
	intervals []float64
	delivered map[sardineknot.ClientAccountName]int
}

func newMeasures() measures {
	return measures{
		intervals: make([]float64, intervalSteps),
		delivered: make(map[sardineknot.ClientAccountName]int),
	}
}

// countTokens counts n tokens at the given interval.
func (m *measures) countTokens(interval time.Duration, n float64) {
	m.intervals[min(intervalSteps-1, int(interval/intervalStep))] += n
}

func (w *World) firstToken(t *try) {
	t.started = true
	if t.first.IsZero() {
		t.first = w.Now()
		if t.ask.counted {
			w.firsts = append(w.firsts, w.Now().Sub(t.began))
		}
	}
	w.report(t, sardineknot.JobDecodeStarted, t.decode.server.Name, t.prior)
}

// lastToken ends t and judges its answer.
func (w *World) lastToken(t *try) {
	s := t.decode.server.Name
	w.discard(t, &w.result.Waste.Failed)
	w.report(t, sardineknot.JobFinished, s, t.ask.answer)
	if t.ask.ended || t.orphan {
		return
	}
	t.ask.ended = true
	if !t.ask.counted {
		return
	}
	k := w.workload.Kinds[t.ask.kind]
	p := w.Now().Sub(t.first).Seconds() / math.Max(1, float64(t.ask.answer-1))
	if t.first.Sub(t.began) > k.FirstToken || p > k.PerToken.Seconds() {
		w.result.Late++
		return
	}
	w.result.Delivered++
	if t.returns == 0 {
		w.result.Direct++
	}
	w.delivered[t.ask.account]++
}

// triesInOrder returns the tries that go on, in a fixed order.
func (w *World) triesInOrder() []*try {
	var l []*try
	for _, t := range w.tries {
		l = append(l, t)
	}
	sort.Slice(l, func(i, j int) bool {
		if l[i].ask.id != l[j].ask.id {
			return l[i].ask.id < l[j].ask.id
		}
		return l[i].key.ID < l[j].key.ID
	})
	return l
}

// finish works out the result.
func (w *World) finish() result.Result {
	a := make(map[sardineknot.ClientAccountName]int)
	for _, k := range w.asks {
		if k.counted {
			w.result.Asks++
			a[k.account]++
		}
	}
	slices.Sort(w.firsts)
	w.result.FirstToken.P50 = quantile(w.firsts, 0.5)
	w.result.FirstToken.P95 = quantile(w.firsts, 0.95)
	w.result.FirstToken.P99 = quantile(w.firsts, 0.99)
	w.result.BetweenTokens.P50 = w.interval(0.5)
	w.result.BetweenTokens.P95 = w.interval(0.95)
	w.result.BetweenTokens.P99 = w.interval(0.99)
	w.result.SetFairness(a, w.delivered)
	return w.result
}

func quantile(l []time.Duration, q float64) time.Duration {
	if len(l) == 0 {
		return 0
	}
	return l[min(len(l)-1, int(q*float64(len(l))))]
}

// interval returns the time between tokens that a share q stays below.
func (m *measures) interval(q float64) time.Duration {
	var t float64
	for _, n := range m.intervals {
		t += n
	}
	t *= q
	for i, n := range m.intervals {
		t -= n
		if t < 0 {
			return time.Duration(i) * intervalStep
		}
	}
	return 0
}
