// Package bucket implements a token bucket for costs of any size. Cost can be
// returned, and a cost may exceed what the bucket holds: the bucket is then in
// debt until the refill has made up for it.
package bucket

import (
	"math"
	"time"
)

// rounding is added to the level where it is compared with a cost, because the
// level is a sum of refills that are rounded.
const rounding = 1e-6

// Bucket is a token bucket. The zero value is empty and is never refilled. A Bucket
// is not safe for concurrent use.
type Bucket struct {
	// rate is the cost added per second.
	rate float64
	// capacity is the maximum level.
	capacity float64
	// level is the cost held at the time updatedAt. It is at most capacity, and
	// negative while the bucket is in debt.
	level float64
	// updatedAt is the time of the last refill.
	updatedAt time.Time
}

// NewBucket returns a bucket that was empty at time since. rate is added per second,
// up to capacity.
func NewBucket(rate, capacity float64, since time.Time) Bucket {
	return Bucket{rate: rate, capacity: capacity, updatedAt: since}
}

// Resize changes the rate and the capacity. A surplus over the new capacity is
// discarded.
func (b *Bucket) Resize(rate, capacity float64, now time.Time) {
	b.refill(now)
	b.rate = rate
	b.capacity = capacity
	b.level = min(b.level, b.capacity)
}

// Level returns the cost that the bucket holds. It is negative if the bucket is in
// debt.
func (b *Bucket) Level(now time.Time) float64 {
	b.refill(now)
	return b.level
}

// Take removes cost, even if the bucket holds less.
func (b *Bucket) Take(cost float64, now time.Time) {
	b.refill(now)
	b.level -= cost
}

// Return puts cost back, up to the capacity.
func (b *Bucket) Return(cost float64, now time.Time) {
	b.refill(now)
	b.level = min(b.capacity, b.level+cost)
}

// Wait returns the time until the bucket holds cost, which must not exceed the
// capacity. It returns the maximum time.Duration if the rate is not positive.
func (b *Bucket) Wait(cost float64, now time.Time) time.Duration {
	b.refill(now)
	d := cost - b.level
	if d <= rounding {
		return 0
	}
	if b.rate <= 0 {
		return math.MaxInt64
	}
	return time.Duration(min(math.Ceil(d/b.rate*float64(time.Second)), math.MaxInt64/2))
}

// refill adds the cost that accrued since updatedAt.
func (b *Bucket) refill(now time.Time) {
	if d := now.Sub(b.updatedAt); d > 0 {
		b.level = min(b.capacity, b.level+b.rate*d.Seconds())
		b.updatedAt = now
	}
}
