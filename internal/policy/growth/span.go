// Package growth forecasts the memory of answers that grow side by side.
package growth

import "slices"

// Span is the memory of one answer over time, in tokens.
type Span struct {
	// Held is the memory in use.
	Held float64
	// Left is the number of tokens that are still to come.
	Left float64
}

// Peak returns the greatest memory that the answers l need until all have
// ended. All grow at the same rate, so that the greatest need is at the end of
// one of them. Peak reorders l.
func Peak(l []Span) float64 {
	slices.SortFunc(l, func(a, b Span) int {
		switch {
		case a.Left < b.Left:
			return -1
		case a.Left > b.Left:
			return 1
		default:
			return 0
		}
	})
	var held, peak float64
	for _, a := range l {
		held += a.Held
	}
	for i, a := range l {
		peak = max(peak, held+a.Left*float64(len(l)-i))
		held -= a.Held
	}
	return peak
}
