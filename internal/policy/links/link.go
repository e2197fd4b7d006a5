package links

import (
	"math"
	"time"

	"sardineknot.example/sardineknot"
)

// link is the network path between two zones, in both directions.
type link struct {
	delay time.Duration
	// rate is in bytes per second. Zero means unlimited.
	rate      float64
	transfers []*transfer
	// updatedAt is the time up to which the progress of the transfers is
	// computed.
	updatedAt time.Time
	// slowdown is the ratio of actual to declared transfer times as of
	// slowdownAt, at least 1.
	slowdown   float64
	slowdownAt time.Time
}

// transfer is a KV cache in transit.
type transfer struct {
	key sardineknot.RequestKey
	// remaining is the number of bytes still to be transferred. It is not
	// negative.
	remaining float64
	// expiry is the time at which the data is lost at its source.
	expiry time.Time
}

// advance updates the progress of the transfers up to now.
func (l *link) advance(now time.Time) {
	n := len(l.transfers)
	if n > 0 && l.rate > 0 {
		b := now.Sub(l.updatedAt).Seconds() * l.rate / l.currentSlowdown(now) / float64(n)
		for _, t := range l.transfers {
			t.remaining = max(0, t.remaining-b)
		}
	}
	l.updatedAt = now
}

func (l *link) remove(job sardineknot.RequestKey) {
	for i, t := range l.transfers {
		if t.key == job {
			l.transfers = append(l.transfers[:i], l.transfers[i+1:]...)
			return
		}
	}
}

// transferTime predicts the duration of a transfer of the given number of bytes
// that shares the link with the transfers in progress. The transfer except,
// which may be nil, is not counted among these.
func (l *link) transferTime(now time.Time, bytes float64, except *transfer) time.Duration {
	if l.rate <= 0 {
		return l.delay
	}
	b := bytes
	for _, t := range l.transfers {
		if t != except {
			b += min(bytes, t.remaining)
		}
	}
	return l.delay + time.Duration(b/l.rate*l.currentSlowdown(now)*float64(time.Second))
}

// safe reports whether an additional transfer of the given number of bytes
// would let all transfers in progress end before they expire. Transfers that
// would miss their expiry in any case are ignored.
func (l *link) safe(now time.Time, bytes float64) bool {
	for _, t := range l.transfers {
		a := t.expiry.Sub(now)
		d := l.transferTime(now, t.remaining, t)
		if l.rate <= 0 || d > a {
			continue
		}
		d += time.Duration(min(bytes, t.remaining) / l.rate * l.currentSlowdown(now) * float64(time.Second))
		if d > a {
			return false
		}
	}
	return true
}

// setSlowdown sets the slowdown as of now, limited to [1, maxSlowdown].
func (l *link) setSlowdown(now time.Time, slowdown float64) {
	l.slowdown = min(maxSlowdown, max(1, slowdown))
	l.slowdownAt = now
}

// currentSlowdown returns the slowdown at time now, after its decay.
func (l *link) currentSlowdown(now time.Time) float64 {
	if l.slowdown <= 1 {
		return 1
	}
	a := now.Sub(l.slowdownAt).Seconds() / slowdownHalfLife.Seconds()
	return 1 + (l.slowdown-1)*math.Exp2(-max(0, a))
}
