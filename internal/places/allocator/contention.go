package allocator

import (
	"math"
	"time"
)

const (
	// contentionTime is the time after the last sign of contention for which calls
	// are assigned.
	contentionTime = 2 * time.Second
	// minQuiet is the time after a contention that was never confirmed for which
	// uncertain signs are ignored. It doubles each time, up to maxQuiet, since calls of
	// some services differ much in their times without contention.
	minQuiet = 5 * time.Second
	maxQuiet = time.Minute
	// contendedUse is the mean part of the slots in use above which a contention goes
	// on, and usedTime the time constant of the mean.
	contendedUse = 0.7
	usedTime     = time.Second
)

// contention is the state of contention of a service.
type contention struct {
	// until is the end of the current or the last contention.
	until time.Duration
	// confirmed is set if most of the slots were in use, or a server was full.
	confirmed bool
	// used is the mean part of the slots that are in use, at the time usedAt.
	used   float64
	usedAt time.Duration
	// known is set once there was a contention.
	known bool
	// quiet is the time after until for which uncertain signs are ignored.
	quiet time.Duration
}

func (c *contention) lasts(now time.Duration) bool { return c.known && now < c.until }

// begin records a sign and reports whether contention begins with it. Uncertain signs
// do not prolong a contention.
func (c *contention) begin(now time.Duration, certain bool) bool {
	b := !c.lasts(now)
	if !certain && (!b || c.calm(now) > 0) {
		return false
	}
	switch {
	case b && c.known && !c.confirmed:
		c.quiet = min(maxQuiet, max(minQuiet, 2*c.quiet))
	case b:
		c.quiet = 0
	}
	c.confirmed = certain || c.confirmed && !b
	c.until, c.known = max(c.until, now+contentionTime), true
	return b
}

// calm returns the time for which uncertain signs are ignored.
func (c *contention) calm(now time.Duration) time.Duration {
	if !c.known || c.confirmed || c.lasts(now) {
		return 0
	}
	return max(0, c.until+max(minQuiet, c.quiet)-now)
}

// observe records the calls in flight as a part of the slots.
func (c *contention) observe(now time.Duration, used float64) {
	c.used += (used - c.used) * -math.Expm1(-float64(now-c.usedAt)/float64(usedTime))
	c.usedAt = now
	if c.used >= contendedUse {
		c.confirm(now)
	}
}

// confirm records that contention goes on.
func (c *contention) confirm(now time.Duration) {
	c.until, c.confirmed, c.known = now+contentionTime, true, true
}
