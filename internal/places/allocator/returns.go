package allocator

import (
	"time"

	"sardineknot.example/sardineknot"
)

const (
	// keptTime is the time after a promised return for which the place is kept.
	keptTime = 100 * time.Millisecond
	// minRetryAfter is the shortest time after which a caller is asked to return.
	minRetryAfter = 10 * time.Millisecond
)

// returns holds the callers that were refused and told when to return. Their returns
// are spread, so that not more come at a time than places become free.
type returns struct {
	// at holds the time at which each caller was told to return.
	at map[sardineknot.Trait]time.Duration
	// last is the latest of these times.
	last time.Duration
}

func newReturns() returns { return returns{at: make(map[sardineknot.Trait]time.Duration)} }

// promise returns the time after which the caller of request is to return. Places
// are expected after wait, one each interval. A caller that stops waiting before its
// turn takes none.
func (r *returns) promise(now, wait, interval time.Duration, request sardineknot.PlaceRequest) time.Duration {
	d := max(minRetryAfter, wait, r.last+interval-now)
	if d < request.CallerDeadline {
		r.last = now + d
		r.at[request.Trait] = now + d
	}
	return d
}

// due reports whether the caller that trait identifies was told to return by now.
func (r *returns) due(now time.Duration, trait sardineknot.Trait) bool {
	t, ok := r.at[trait]
	return ok && now >= t
}

// count returns the number of callers that were told to return by now and have not
// come yet.
func (r *returns) count(now time.Duration) int {
	n := 0
	for _, t := range r.at {
		if now >= t {
			n++
		}
	}
	return n
}

// settle removes the promise to the caller that trait identifies.
func (r *returns) settle(trait sardineknot.Trait) { delete(r.at, trait) }

// sweep removes the promises to callers that did not return.
func (r *returns) sweep(now time.Duration) {
	for k, t := range r.at {
		if now >= t+keptTime {
			delete(r.at, k)
		}
	}
}
