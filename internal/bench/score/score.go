// Package score defines the measurements of a run of a pattern.
package score

import "time"

// Score is the outcome of one run, or the mean of several.
type Score struct {
	// Pattern, Scheduler and Seed identify the run.
	Pattern   string
	Scheduler string
	Seed      uint64
	// Asks is the number of requests whose callers did not disconnect early.
	Asks int
	// InTime, Late, Refused and Broken are fractions of Asks: requests answered
	// within the latency targets, requests answered late, requests that were
	// finally refused, and requests whose answer was interrupted or whose caller
	// timed out.
	InTime  float64
	Late    float64
	Refused float64
	Broken  float64
	// Served is the mean value of the answers to all requests. The value is one
	// for an answer in time, the value that the pattern defines for a late
	// answer, and zero otherwise.
	Served float64
	// Worst is the mean of Served over one tenth of the windows of two seconds:
	// those in which it is lowest. A request belongs to the window in which it
	// arrived.
	Worst float64
	// Smallest is the minimum of Served over the kinds of work.
	Smallest float64
	// Largest is InTime among the tenth of the requests that need the most
	// memory, relative to InTime among all requests.
	Largest float64
	// Waste is the fraction of the prefilled tokens that were not used or had to
	// be prefilled again.
	Waste float64
	// Preempted is the fraction of the started answers that were preempted.
	Preempted float64
	// First is the median time to the first event.
	First time.Duration
	// Read is the number of prefilled tokens, in thousands.
	Read float64
}

// Mean returns the mean of scores, which must not be empty. Its Pattern,
// Scheduler and Seed are those of the first score.
func Mean(scores []Score) Score {
	m := scores[0]
	for _, s := range scores[1:] {
		m.Asks += s.Asks
		for i, f := range s.values() {
			*m.values()[i] += *f
		}
		m.First += s.First
	}
	n := len(scores)
	m.Asks /= n
	for _, f := range m.values() {
		*f /= float64(n)
	}
	m.First /= time.Duration(n)
	return m
}

// values returns pointers to all fields of the type float64.
func (s *Score) values() []*float64 {
	return []*float64{
		&s.InTime, &s.Late, &s.Refused, &s.Broken, &s.Served, &s.Worst, &s.Smallest, &s.Largest, &s.Waste, &s.Preempted, &s.Read,
	}
}
