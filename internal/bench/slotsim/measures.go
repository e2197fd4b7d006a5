package slotsim

import (
	"math"
	"slices"
	"sort"
	"time"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/bench/result"
)

const (
	// intervalStep is the bucket width of the histogram of times between tokens.
	intervalStep = 250 * time.Microsecond
	// intervalSteps is the number of buckets. The last one also holds all longer
	// times.
	intervalSteps = 1000
)

// measures collects the measurements of a run. firstTokenTimes holds the times
// to the first token of the counted requests, intervals a histogram of the
// times between tokens, and delivered the number of delivered requests of each
// account.
type measures struct {
	result          result.Result
	firstTokenTimes []time.Duration
	intervals       []float64
	delivered       map[sardineknot.ClientAccountName]int
}

func newMeasures() measures {
	return measures{
		intervals: make([]float64, intervalSteps),
		delivered: make(map[sardineknot.ClientAccountName]int),
	}
}

// countTokens adds tokens, the number of tokens that were generated at the
// given interval, to the histogram.
func (m *measures) countTokens(interval time.Duration, tokens float64) {
	m.intervals[min(intervalSteps-1, int(interval/intervalStep))] += tokens
}

// recordFirstToken records the first token of the attempt and reports it to the
// scheduler.
func (s *Simulation) recordFirstToken(a *attempt) {
	a.started = true
	if a.firstTokenAt.IsZero() {
		a.firstTokenAt = s.Now()
		if a.request.counted {
			s.firstTokenTimes = append(s.firstTokenTimes, s.Now().Sub(a.startedAt))
		}
	}
	s.report(a, sardineknot.JobDecodeStarted, a.decode.server.Name, a.previousTokens)
}

// finishAnswer ends the attempt, whose answer is complete, and records whether
// the answer met the latency targets.
func (s *Simulation) finishAnswer(a *attempt) {
	n := a.decode.server.Name
	s.discard(a, &s.result.Waste.Failed)
	s.report(a, sardineknot.JobFinished, n, a.request.answer)
	if a.request.ended || a.orphaned {
		return
	}
	a.request.ended = true
	if !a.request.counted {
		return
	}
	k := s.workload.Kinds[a.request.kind]
	p := s.Now().Sub(a.firstTokenAt).Seconds() / math.Max(1, float64(a.request.answer-1))
	if a.firstTokenAt.Sub(a.startedAt) > k.FirstToken || p > k.PerToken.Seconds() {
		s.result.Late++
		return
	}
	s.result.Delivered++
	if a.resubmissions == 0 {
		s.result.Direct++
	}
	s.delivered[a.request.account]++
}

// sortedAttempts returns the attempts that have not ended, sorted by request
// and key. The order makes equal seeds give equal runs.
func (s *Simulation) sortedAttempts() []*attempt {
	var l []*attempt
	for _, a := range s.attempts {
		l = append(l, a)
	}
	sort.Slice(l, func(i, j int) bool {
		if l[i].request.id != l[j].request.id {
			return l[i].request.id < l[j].request.id
		}
		return l[i].key.ID < l[j].key.ID
	})
	return l
}

// finish returns the result of the run.
func (s *Simulation) finish() result.Result {
	a := make(map[sardineknot.ClientAccountName]int)
	for _, r := range s.requests {
		if r.counted {
			s.result.Asks++
			a[r.account]++
		}
	}
	slices.Sort(s.firstTokenTimes)
	s.result.FirstToken.P50 = quantile(s.firstTokenTimes, 0.5)
	s.result.FirstToken.P95 = quantile(s.firstTokenTimes, 0.95)
	s.result.FirstToken.P99 = quantile(s.firstTokenTimes, 0.99)
	s.result.BetweenTokens.P50 = s.intervalQuantile(0.5)
	s.result.BetweenTokens.P95 = s.intervalQuantile(0.95)
	s.result.BetweenTokens.P99 = s.intervalQuantile(0.99)
	s.result.SetFairness(a, s.delivered)
	return s.result
}

// quantile returns the p-quantile of sorted, for p in [0, 1], or zero if sorted
// is empty.
func quantile(sorted []time.Duration, p float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(p*float64(len(sorted))))]
}

// intervalQuantile returns the quantile of the time between tokens for
// fraction, which is from 0 to 1.
func (m *measures) intervalQuantile(fraction float64) time.Duration {
	var t float64
	for _, n := range m.intervals {
		t += n
	}
	t *= fraction
	for i, n := range m.intervals {
		t -= n
		if t < 0 {
			return time.Duration(i) * intervalStep
		}
	}
	return 0
}
