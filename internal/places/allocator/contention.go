package allocator

import "time"

const (
	// contentionTime is the time after the last sign of contention for which calls
	// are assigned.
	contentionTime = 2 * time.Second
	// minQuiet is the time after a contention that was never confirmed for which
	// uncertain signs are ignored. It doubles each time, up to maxQuiet, since calls of
	// some services differ much in their times without contention.
	minQuiet = 5 * time.Second
	maxQuiet = time.Minute
)

// contention is the state of contention of a service.
type contention struct {
	// until is the end of the current or the last contention.
	until time.Duration
	// confirmed is set if half of the slots were in use, or a server was full.
	confirmed bool
	// known is set once there was a contention.
	known bool
	// quiet is the time after until for which uncertain signs are ignored.
	quiet time.Duration
}

func (c *contention) lasts(now time.Duration) bool { return c.known && now < c.until }

// begin records a sign and reports whether contention begins with it.
func (c *contention) begin(now time.Duration, certain bool) bool {
	b := !c.lasts(now)
	if b && !certain && c.known && !c.confirmed && now < c.until+max(minQuiet, c.quiet) {
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

// confirm records that contention goes on.
func (c *contention) confirm(now time.Duration) {
	c.until, c.confirmed, c.known = now+contentionTime, true, true
}
