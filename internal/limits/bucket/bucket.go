// Package bucket is a token bucket whose tokens can be given back.
package bucket

import (
	"math"
	"time"
)

// Bucket holds permits. The zero value is empty and never fills. It is not
// safe for concurrent use.
type Bucket struct {
	// rate is the number of permits that arrive in a second.
	rate float64
	// size is the number of permits that fit.
	size float64
	// level is in [0, size].
	level float64
	// at is the time of level.
	at time.Time
}

// NewBucket returns a full bucket.
func NewBucket(rate float64, size int, now time.Time) Bucket {
	return Bucket{rate: rate, size: float64(size), level: float64(size), at: now}
}

// Resize changes the rate and size from now on. It keeps the permits that fit.
func (b *Bucket) Resize(rate float64, size int, now time.Time) {
	b.fill(now)
	b.rate = rate
	b.size = float64(size)
	b.level = min(b.level, b.size)
}

// Take removes up to n permits and returns their number.
func (b *Bucket) Take(n int, now time.Time) int {
	b.fill(now)
	k := min(n, int(b.level))
	b.level -= float64(k)
	return k
}

// Return adds n permits that were not used.
func (b *Bucket) Return(n int, now time.Time) {
	b.fill(now)
	b.level = min(b.size, b.level+float64(n))
}

// Wait returns the time until the next permit. It is the longest duration if
// none ever arrives.
func (b *Bucket) Wait(now time.Time) time.Duration {
	b.fill(now)
	if b.level >= 1 {
		return 0
	}
	if b.rate <= 0 {
		return math.MaxInt64
	}
	return time.Duration((1 - b.level) / b.rate * float64(time.Second))
}

func (b *Bucket) fill(now time.Time) {
	if d := now.Sub(b.at); d > 0 {
		b.level = min(b.size, b.level+b.rate*d.Seconds())
		b.at = now
	}
}
