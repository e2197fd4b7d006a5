package allocator

import (
	"time"

	"sardineknot.example/sardineknot"
)

const (
	// keptTime is the time after a promised return for which the place is kept.
	keptTime = 100 * time.Millisecond
	// earlyTime is the time before a promised return from which a caller counts as
	// having returned. One that comes earlier is another caller with the same request.
	earlyTime = 5 * time.Millisecond
	// minRetryAfter is the shortest time after which a caller may return.
	minRetryAfter = 10 * time.Millisecond
)

// returns holds the callers that were refused and given a retry time. Their returns
// are spread, so that not more come at a time than places become free.
type returns struct {
	promises map[sardineknot.Trait]promise
	// last is the latest time at which a caller was given a retry time.
	last time.Duration
}

// promise is what is known of a caller that was given a retry time.
type promise struct {
	// at is the time at which the caller returns.
	at time.Duration
	// first is the time at which it came first, and late the time after which its
	// answer is late.
	first, late time.Duration
}

func newReturns() returns { return returns{promises: make(map[sardineknot.Trait]promise)} }

// arrive returns the time at which the caller that trait identifies came first, which is
// now unless it was given a retry time by now. Its promise ends.
func (r *returns) arrive(now time.Duration, trait sardineknot.Trait) (first time.Duration, returned bool) {
	p, ok := r.promises[trait]
	if !ok || now < p.at-earlyTime {
		return now, false
	}
	delete(r.promises, trait)
	return p.first, true
}

// refuse returns the time after which the caller of request, which came first at the
// time first, is to return. Places are expected after wait, one each interval. A
// caller that stops waiting before its turn takes none.
func (r *returns) refuse(now, first, wait, interval time.Duration, request sardineknot.PlaceRequest) time.Duration {
	d := max(minRetryAfter, wait, r.last+interval-now)
	if d < request.CallerDeadline {
		r.last = now + d
		r.promises[request.Trait] = promise{at: now + d, first: first, late: now + request.Target}
	}
	return d
}

// awaited returns the number of callers that were given a retry time by now, have not come
// yet and can still get their answer in time.
func (r *returns) awaited(now time.Duration) int {
	n := 0
	for _, p := range r.promises {
		if now >= p.at && now < p.late {
			n++
		}
	}
	return n
}

// sweep removes the promises to callers that did not return.
func (r *returns) sweep(now time.Duration) {
	for k, p := range r.promises {
		if now >= p.at+keptTime {
			delete(r.promises, k)
		}
	}
}
