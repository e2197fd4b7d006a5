package tracker

import (
	"time"

	"sardineknot.example/sardineknot"
)

// ring is a sliding window of counts, stored in a ring buffer.
type ring struct {
	// interval is the length of time that one bucket covers. It is positive.
	interval time.Duration
	// buckets holds the counts of interval i at position i modulo
	// bucketsPerWindow.
	buckets [bucketsPerWindow]bucket
}

// bucket holds the counts of one interval.
type bucket struct {
	// index is the number of the interval, counted from the Unix epoch.
	index int64
	count sardineknot.BurnCount
}

// add counts one request at now. It resets a bucket that holds an older
// interval.
func (r *ring) add(now time.Time, bad bool) {
	n := now.UnixNano() / int64(r.interval)
	b := &r.buckets[n%bucketsPerWindow]
	if b.index != n {
		*b = bucket{index: n}
	}
	b.count.Total++
	if bad {
		b.count.Bad++
	}
}

// sum returns the counts of the window that ends at now.
func (r *ring) sum(now time.Time) sardineknot.BurnCount {
	n := now.UnixNano() / int64(r.interval)
	var c sardineknot.BurnCount
	for _, b := range r.buckets {
		if b.index > n-bucketsPerWindow && b.index <= n {
			c.Total += b.count.Total
			c.Bad += b.count.Bad
		}
	}
	return c
}
