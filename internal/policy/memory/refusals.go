package memory

import "time"

const (
	// firstReturn and lastReturn bound the time after which a refused caller
	// comes back.
	firstReturn = 1500 * time.Millisecond
	lastReturn  = 4500 * time.Millisecond
	// returnGap is kept between two callers that come back.
	returnGap = 50 * time.Millisecond
)

// refusals spreads the callers that come back over time.
type refusals struct {
	// last is the latest time that a caller was told.
	last time.Time
}

// next returns the time after which a caller that is refused now comes back.
func (r *refusals) next(now time.Time) time.Duration {
	t := later(now.Add(firstReturn), r.last.Add(returnGap))
	if l := now.Add(lastReturn); t.After(l) {
		return lastReturn
	}
	r.last = t
	return t.Sub(now)
}
