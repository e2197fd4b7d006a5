// Package growth forecasts the memory use of concurrent answers.
package growth

import "slices"

// Span describes the memory of one answer from now to its end, in tokens.
type Span struct {
	// InUse is the memory currently in use.
	InUse float64
	// Remaining is the number of tokens yet to be generated.
	Remaining float64
}

// Peak returns the largest total memory of the answers until all have ended.
// The answers are assumed to grow at the same rate, so the peak is reached at
// the end of one of them. Peak reorders spans.
func Peak(spans []Span) float64 {
	slices.SortFunc(spans, func(a, b Span) int {
		switch {
		case a.Remaining < b.Remaining:
			return -1
		case a.Remaining > b.Remaining:
			return 1
		default:
			return 0
		}
	})
	var held, peak float64
	for _, a := range spans {
		held += a.InUse
	}
	for i, a := range spans {
		peak = max(peak, held+a.Remaining*float64(len(spans)-i))
		held -= a.InUse
	}
	return peak
}
