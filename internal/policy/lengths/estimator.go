// Package lengths estimates the length of answers from those seen before, for
// each client account and kind of work.
package lengths

import (
	"math"

	"sardineknot.example/sardineknot"
)

const (
	// buckets is the number of histogram buckets. Bucket b holds lengths from
	// 2^(b/4) tokens on, up to the next bucket.
	buckets   = 72
	perOctave = 4
	// window is the weight at which a histogram is halved, so that old lengths
	// lose their influence.
	window = 512
	// enough is the weight from which a histogram is used for estimates.
	enough = 12
	// maxGroups bounds the number of histograms.
	maxGroups = 4096
)

// Estimator keeps one histogram for each pair of account and work, and one for
// each work over all accounts. It is not safe for concurrent use.
type Estimator struct {
	// groups has at most maxGroups entries. An empty account stands for all.
	groups map[group]*histogram
}

type group struct {
	account sardineknot.ClientAccountName
	work    sardineknot.WorkName
}

type histogram struct {
	counts [buckets]float32
	total  float32
}

// NewEstimator returns an estimator that has seen nothing.
func NewEstimator() *Estimator {
	return &Estimator{groups: make(map[group]*histogram)}
}

// Observe takes the length of a finished answer. Lengths below 1 count as 1.
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

// Quantile returns the length that a share q of answers stays below, at most
// limit. Without observations it returns q times limit.
func (e *Estimator) Quantile(account sardineknot.ClientAccountName, work sardineknot.WorkName, q float64, limit int) int {
	h := e.find(account, work)
	if h == nil {
		return int(q * float64(limit))
	}
	return min(limit, int(math.Ceil(h.quantile(q))))
}

// Finishing returns the probability that an answer that has done tokens ends
// within the next more tokens. limit bounds the length.
func (e *Estimator) Finishing(account sardineknot.ClientAccountName, work sardineknot.WorkName, done, more float64, limit int) float64 {
	if done+more >= float64(limit) {
		return 1
	}
	h := e.find(account, work)
	if h == nil {
		return more / (float64(limit) - done)
	}
	a, b := h.longer(done), h.longer(done+more)
	if a <= 0 {
		return more / (float64(limit) - done)
	}
	return 1 - b/a
}

// find returns the most specific histogram that has enough weight, or nil.
func (e *Estimator) find(account sardineknot.ClientAccountName, work sardineknot.WorkName) *histogram {
	h := e.groups[group{account, work}]
	if h != nil && h.total >= enough {
		return h
	}
	h = e.groups[group{"", work}]
	if h != nil && h.total >= enough {
		return h
	}
	return nil
}

func (h *histogram) add(tokens int) {
	h.counts[bucket(float64(tokens))]++
	h.total++
	if h.total < window {
		return
	}
	h.total /= 2
	for i := range h.counts {
		h.counts[i] /= 2
	}
}

// longer returns the weight of lengths above n, interpolated within a bucket.
func (h *histogram) longer(n float64) float64 {
	b := bucket(n)
	var s float32
	for _, c := range h.counts[b+1:] {
		s += c
	}
	l, u := lower(b), lower(b+1)
	f := min(1, max(0, (u-n)/(u-l)))
	return float64(s) + f*float64(h.counts[b])
}

func (h *histogram) quantile(q float64) float64 {
	w := float32(q) * h.total
	for b, c := range h.counts {
		if c > 0 && w <= c {
			l, u := lower(b), lower(b+1)
			return l + (u-l)*float64(w/c)
		}
		w -= c
	}
	return lower(buckets)
}

func bucket(n float64) int {
	if n <= 1 {
		return 0
	}
	return min(buckets-1, int(perOctave*math.Log2(n)))
}

func lower(b int) float64 { return math.Exp2(float64(b) / perOctave) }
