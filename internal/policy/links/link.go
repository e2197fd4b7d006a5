package links

import (
	"math"
	"time"

	"sardineknot.example/sardineknot"
)

// link is the path between two zones.
type link struct {
	delay time.Duration
	// rate is in bytes a second. Zero means unlimited.
	rate      float64
	transfers []*transfer
	// advanced is the time up to which the transfers have been moved.
	advanced time.Time
	// slowdown is at least 1. It was learned at learned.
	slowdown float64
	learned  time.Time
}

// transfer is KV cache under way.
type transfer struct {
	key sardineknot.RequestKey
	// bytes is what is left. It is not negative.
	bytes  float64
	expiry time.Time
}

// advance moves the transfers up to now.
func (k *link) advance(now time.Time) {
	n := len(k.transfers)
	if n > 0 && k.rate > 0 {
		b := now.Sub(k.advanced).Seconds() * k.rate / k.slowed(now) / float64(n)
		for _, t := range k.transfers {
			t.bytes = max(0, t.bytes-b)
		}
	}
	k.advanced = now
}

func (k *link) drop(j sardineknot.RequestKey) {
	for i, t := range k.transfers {
		if t.key == j {
			k.transfers = append(k.transfers[:i], k.transfers[i+1:]...)
			return
		}
	}
}

// finish returns the time in which bytes move beside all transfers but except.
func (k *link) finish(now time.Time, bytes float64, except *transfer) time.Duration {
	if k.rate <= 0 {
		return k.delay
	}
	b := bytes
	for _, t := range k.transfers {
		if t != except {
			b += min(bytes, t.bytes)
		}
	}
	return k.delay + time.Duration(b/k.rate*k.slowed(now)*float64(time.Second))
}

// safe reports whether all transfers still end in time if bytes move as well.
func (k *link) safe(now time.Time, bytes float64) bool {
	for _, t := range k.transfers {
		l := t.expiry.Sub(now)
		d := k.finish(now, t.bytes, t)
		if k.rate <= 0 || d > l {
			continue
		}
		d += time.Duration(min(bytes, t.bytes) / k.rate * k.slowed(now) * float64(time.Second))
		if d > l {
			return false
		}
	}
	return true
}

func (k *link) learn(now time.Time, slowdown float64) {
	k.slowdown = min(maxSlowdown, max(1, slowdown))
	k.learned = now
}

func (k *link) slowed(now time.Time) float64 {
	if k.slowdown <= 1 {
		return 1
	}
	a := now.Sub(k.learned).Seconds() / halfLife.Seconds()
	return 1 + (k.slowdown-1)*math.Exp2(-max(0, a))
}
