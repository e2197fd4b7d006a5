// Package bucket implements a token bucket to which unused tokens, here called
// permits, can be returned.
package bucket

import (
	"math"
	"time"
)

// Bucket is a token bucket. The zero value has no permits and is never
// refilled. A Bucket is not safe for concurrent use.
type Bucket struct {
	// rate is the number of permits added per second.
	rate float64
	// capacity is the maximum number of permits.
	capacity float64
	// permits is the number of permits at the time updatedAt. It is in
	// [0, capacity].
	permits float64
	// updatedAt is the time of the last refill.
	updatedAt time.Time
}

// NewBucket returns a full bucket for size permits, to which rate permits are
// added per second.
func NewBucket(rate float64, size int, now time.Time) Bucket {
	return Bucket{rate: rate, capacity: float64(size), permits: float64(size), updatedAt: now}
}

// Resize changes the rate and the size of the bucket. If the bucket holds more
// permits than the new size, the surplus is discarded.
func (b *Bucket) Resize(rate float64, size int, now time.Time) {
	b.refill(now)
	b.rate = rate
	b.capacity = float64(size)
	b.permits = min(b.permits, b.capacity)
}

// Take removes at most want permits and returns the number of permits that it
// removed.
func (b *Bucket) Take(want int, now time.Time) int {
	b.refill(now)
	k := min(want, int(b.permits))
	b.permits -= float64(k)
	return k
}

// Return puts back a number of unused permits, up to the size of the bucket.
func (b *Bucket) Return(unused int, now time.Time) {
	b.refill(now)
	b.permits = min(b.capacity, b.permits+float64(unused))
}

// Wait returns the time until at least one permit is available. It returns the
// maximum time.Duration if no permit is available and the rate is not positive.
func (b *Bucket) Wait(now time.Time) time.Duration {
	b.refill(now)
	if b.permits >= 1 {
		return 0
	}
	if b.rate <= 0 {
		return math.MaxInt64
	}
	return time.Duration((1 - b.permits) / b.rate * float64(time.Second))
}

// refill adds the permits that accrued since updatedAt.
func (b *Bucket) refill(now time.Time) {
	if d := now.Sub(b.updatedAt); d > 0 {
		b.permits = min(b.capacity, b.permits+b.rate*d.Seconds())
		b.updatedAt = now
	}
}
