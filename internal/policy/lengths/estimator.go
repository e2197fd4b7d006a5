// Package lengths estimates the lengths of answers from past observations, for
// each client account and kind of work.
package lengths

import (
	"math"

	"sardineknot.example/sardineknot"
)

const (
	// bucketCount is the number of histogram buckets. Bucket b holds lengths
	// from 2^(b/4) tokens up to the start of the next bucket.
	bucketCount      = 72
	bucketsPerOctave = 4
	// halvingWeight is the total count at which all counts of a histogram are
	// halved, so that old observations lose their influence.
	halvingWeight = 512
	// minWeight is the least total count of a histogram that is used for
	// estimates.
	minWeight = 12
	// maxGroups is the largest number of histograms.
	maxGroups = 4096
)

// Estimator keeps one histogram for each pair of account and work, and one for
// each work across all accounts. It is not safe for concurrent use.
type Estimator struct {
	// groups has at most maxGroups entries. The empty account stands for all
	// accounts.
	groups map[group]*histogram
}

type group struct {
	account sardineknot.ClientAccountName
	work    sardineknot.WorkName
}

type histogram struct {
	counts [bucketCount]float32
	total  float32
}

// NewEstimator returns an estimator without observations.
func NewEstimator() *Estimator {
	return &Estimator{groups: make(map[group]*histogram)}
}

// Observe adds the length of a complete answer. Lengths below 1 count as 1.
// Observations of new groups are dropped once there are maxGroups.
func (e *Estimator) Observe(account sardineknot.ClientAccountName, work sardineknot.WorkName, tokens int) {
	for _, g := range []group{{account, work}, {"", work}} {
		h := e.groups[g]
		if h == nil && len(e.groups) >= maxGroups {
			continue
		}
		if h == nil {
			h = &histogram{}
			e.groups[g] = h
		}
		h.add(tokens)
	}
}

// Quantile returns the q-quantile of the answer length, at most limit. Without
// enough observations it returns q times limit.
func (e *Estimator) Quantile(account sardineknot.ClientAccountName, work sardineknot.WorkName, q float64, limit int) int {
	h := e.find(account, work)
	if h == nil {
		return int(q * float64(limit))
	}
	return min(limit, int(math.Ceil(h.quantile(q))))
}

// EndProbability returns the probability that an answer that has reached the
// length done ends at a length of at most done+more. limit is the largest
// possible length. All lengths are in tokens.
func (e *Estimator) EndProbability(account sardineknot.ClientAccountName, work sardineknot.WorkName, done, more float64, limit int) float64 {
	if done+more >= float64(limit) {
		return 1
	}
	h := e.find(account, work)
	if h == nil {
		return more / (float64(limit) - done)
	}
	a, b := h.weightAbove(done), h.weightAbove(done+more)
	if a <= 0 {
		return more / (float64(limit) - done)
	}
	return 1 - b/a
}

// find returns the histogram of account and work, or the histogram of work
// across all accounts if the former has a total count below minWeight. It
// returns nil if both counts are too low.
func (e *Estimator) find(account sardineknot.ClientAccountName, work sardineknot.WorkName) *histogram {
	h := e.groups[group{account, work}]
	if h != nil && h.total >= minWeight {
		return h
	}
	h = e.groups[group{"", work}]
	if h != nil && h.total >= minWeight {
		return h
	}
	return nil
}

func (h *histogram) add(tokens int) {
	h.counts[bucketIndex(float64(tokens))]++
	h.total++
	if h.total < halvingWeight {
		return
	}
	h.total /= 2
	for i := range h.counts {
		h.counts[i] /= 2
	}
}

// weightAbove returns the number of observed lengths greater than tokens,
// interpolated within a bucket.
func (h *histogram) weightAbove(tokens float64) float64 {
	b := bucketIndex(tokens)
	var s float32
	for _, c := range h.counts[b+1:] {
		s += c
	}
	l, u := lowerBound(b), lowerBound(b+1)
	f := min(1, max(0, (u-tokens)/(u-l)))
	return float64(s) + f*float64(h.counts[b])
}

func (h *histogram) quantile(q float64) float64 {
	w := float32(q) * h.total
	for b, c := range h.counts {
		if c > 0 && w <= c {
			l, u := lowerBound(b), lowerBound(b+1)
			return l + (u-l)*float64(w/c)
		}
		w -= c
	}
	return lowerBound(bucketCount)
}

func bucketIndex(tokens float64) int {
	if tokens <= 1 {
		return 0
	}
	return min(bucketCount-1, int(bucketsPerOctave*math.Log2(tokens)))
}

func lowerBound(index int) float64 { return math.Exp2(float64(index) / bucketsPerOctave) }
