package memorysim

import (
	"cmp"
	"slices"
	"time"

	"sardineknot.example/sardineknot/internal/bench/score"
)

const (
	// window is the length of the time windows over which Score.Worst is
	// computed.
	window = 2 * time.Second
	// worstDivisor determines the size of the sample for Score.Worst: one in
	// worstDivisor windows, namely those with the lowest values.
	worstDivisor = 10
	// largestDivisor determines the size of the sample for Score.Largest: one
	// in largestDivisor requests, namely those that need the most memory.
	largestDivisor = 10
)

// finish returns the score of the run.
func (s *Simulation) finish() score.Score {
	l := s.countedRequests()
	c := score.Score{
		Pattern: s.pattern.Name,
		Asks:    len(l),
		InTime:  share(l, outcomeInTime),
		Late:    share(l, outcomeLate),
		Refused: share(l, outcomeRefused),
		Served:  s.served(l),
		Worst:   s.worstWindows(l),
		Waste:   float64(s.wastedTokens) / float64(max(1, s.prefilledTokens)),
		Read:    float64(s.prefilledTokens) / 1000,
	}
	c.Broken = 1 - c.InTime - c.Late - c.Refused
	c.Smallest = s.worstKind(l)
	c.Preempted = float64(s.preempted) / float64(max(1, s.startedAnswers))
	slices.SortStableFunc(l, func(a, b *request) int { return cmp.Compare(s.size(b), s.size(a)) })
	c.Largest = share(l[:len(l)/largestDivisor], outcomeInTime) / max(0.01, c.InTime)
	c.First = medianFirstEvent(l)
	return c
}

// countedRequests returns the requests whose callers do not disconnect early.
func (s *Simulation) countedRequests() []*request {
	var l []*request
	for _, r := range s.requests {
		if r.disconnectAt.IsZero() {
			l = append(l, r)
		}
	}
	return l
}

// size returns the memory that r occupies at the end of its answer, in tokens.
func (s *Simulation) size(r *request) int { return r.prompt + r.answer*s.pattern.EventTokens }

// served returns the mean value of the answers to requests. The value is one
// for an answer in time, LateValue for a late one, and zero otherwise.
func (s *Simulation) served(requests []*request) float64 {
	return share(requests, outcomeInTime) + s.pattern.LateValue*share(requests, outcomeLate)
}

// share returns the fraction of requests whose outcome is wanted.
func share(requests []*request, wanted outcome) float64 {
	var n int
	for _, r := range requests {
		if r.outcome == wanted {
			n++
		}
	}
	return float64(n) / float64(max(1, len(requests)))
}

// worstWindows returns the mean of served over the windows with the lowest
// values. Each request belongs to the window in which it arrived.
func (s *Simulation) worstWindows(requests []*request) float64 {
	m := make([][]*request, s.pattern.Duration/window)
	for _, r := range requests {
		i := min(len(m)-1, int(r.arrivedAt.Sub(s.start)/window))
		m[i] = append(m[i], r)
	}
	var w []float64
	for _, k := range m {
		if len(k) > 0 {
			w = append(w, s.served(k))
		}
	}
	slices.Sort(w)
	n := max(1, len(w)/worstDivisor)
	var t float64
	for _, f := range w[:n] {
		t += f
	}
	return t / float64(n)
}

// worstKind returns the minimum of served over the kinds of work.
func (s *Simulation) worstKind(requests []*request) float64 {
	m := 1.0
	for k := range s.pattern.Kinds {
		var n []*request
		for _, r := range requests {
			if r.kind == k {
				n = append(n, r)
			}
		}
		if len(n) > 0 {
			m = min(m, s.served(n))
		}
	}
	return m
}

// medianFirstEvent returns the median time to the first event, over the
// requests that have received an event. It returns zero if there are no such
// requests.
func medianFirstEvent(requests []*request) time.Duration {
	var d []time.Duration
	for _, r := range requests {
		if r.events > 0 {
			d = append(d, r.firstEventAt.Sub(r.arrivedAt))
		}
	}
	if len(d) == 0 {
		return 0
	}
	slices.Sort(d)
	return d[len(d)/2]
}
