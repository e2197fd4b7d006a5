// Package score holds what a run of a pattern has given to its callers.
package score

import "time"

// Score is the outcome of one run, or the mean of several.
type Score struct {
	// Pattern, Scheduler and Seed identify the run.
	Pattern   string
	Scheduler string
	Seed      uint64
	// Asks counts the asks whose callers did not leave early.
	Asks int
	// InTime, Late, Refused and Broken are shares of Asks: answers in time, late
	// answers, asks refused in the end, and answers that broke off or were given
	// up by their callers.
	InTime  float64
	Late    float64
	Refused float64
	Broken  float64
	// Served is InTime and what Late is worth.
	Served float64
	// Worst is Served in the worst tenth of the windows of two seconds.
	Worst float64
	// Smallest is Served of the kind of work that is served least.
	Smallest float64
	// Largest is the share in time of the tenth of the asks that takes most
	// memory, relative to InTime.
	Largest float64
	// Waste is the share of the prompt tokens that were read in vain.
	Waste float64
	// Preempted is the share of the answers begun that were preempted.
	Preempted float64
	// First is the median time to the first event.
	First time.Duration
	// Read is the number of prompt tokens read, in thousands.
	Read float64
}

// Mean returns the mean of l, which is not empty. It keeps the identity of the
// first.
func Mean(l []Score) Score {
	m := l[0]
	for _, s := range l[1:] {
		m.Asks += s.Asks
		for i, f := range s.figures() {
			*m.figures()[i] += *f
		}
		m.First += s.First
	}
	n := len(l)
	m.Asks /= n
	for _, f := range m.figures() {
		*f /= float64(n)
	}
	m.First /= time.Duration(n)
	return m
}

func (s *Score) figures() []*float64 {
	return []*float64{
		&s.InTime, &s.Late, &s.Refused, &s.Broken, &s.Served, &s.Worst, &s.Smallest, &s.Largest, &s.Waste, &s.Preempted, &s.Read,
	}
}
