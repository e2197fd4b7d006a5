package tracker

import (
	"time"

	"sardineknot.example/sardineknot"
)

// ring is a sliding window of counts.
type ring struct {
	// step is the length of time of one bucket. It is positive.
	step time.Duration
	// buckets holds the counts of the step number modulo its length.
	buckets [bucketsPerWindow]bucket
}

type bucket struct {
	// number counts steps since the zero Unix time.
	number int64
	count  sardineknot.BurnCount
}

// add counts one request at the time now.
func (r *ring) add(now time.Time, bad bool) {
	n := now.UnixNano() / int64(r.step)
	b := &r.buckets[n%bucketsPerWindow]
	if b.number != n {
		*b = bucket{number: n}
	}
	b.count.Total++
	if bad {
		b.count.Bad++
	}
}

// sum returns the counts of the window that ends at now.
func (r *ring) sum(now time.Time) sardineknot.BurnCount {
	n := now.UnixNano() / int64(r.step)
	var c sardineknot.BurnCount
	for _, b := range r.buckets {
		if b.number > n-bucketsPerWindow && b.number <= n {
			c.Total += b.count.Total
			c.Bad += b.count.Bad
		}
	}
	return c
}
