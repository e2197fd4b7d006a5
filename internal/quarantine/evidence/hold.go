package evidence

import (
	"time"

	"sardineknot.example/sardineknot"
)

// holdingCrashes is the number of crashes from which on a request is not sent to servers
// until its last crash is settled. Meanwhile the servers answer the requests that have
// only run beside it, and those of others that end them are found.
const holdingCrashes = 3

// hold holds requests with one of traits, which c has, if enough servers have ended
// under them. Broad traits that are common are not held.
func (e *Evidence) hold(c *crash, traits sardineknot.RequestTraits) {
	for i, t := range traits.Whole() {
		if e.isRecurring(t, i < len(traits.Exact), e.endedUnder(t)) {
			e.held[t] = c.at.Add(holdingTime(t))
		}
	}
}

// isCommon reports whether a request with trait was answered in the time before a crash
// at time at.
func (e *Evidence) isCommon(trait sardineknot.Trait, at time.Time) bool {
	return at.Sub(e.answered.at(trait)) < recentTime
}

// release ends the hold of requests that c, which was refuted, had caused.
func (e *Evidence) release(c *crash) {
	for _, s := range c.suspects {
		for _, t := range s.traits.Whole() {
			if e.endedUnder(t).count < holdingCrashes {
				delete(e.held, t)
			}
		}
	}
}

// ended is what has ended under requests with a trait since such a request was answered.
type ended struct {
	// count is the number of servers.
	count int
	// first is the time of the first end.
	first time.Time
}

// add adds the end of a server at time at.
func (n ended) add(at time.Time) ended {
	if n.count == 0 || at.Before(n.first) {
		n.first = at
	}
	n.count++
	return n
}

// isRecurring reports whether n, what has ended under requests with trait, is enough to
// hold such requests. Broad traits, which are not exact, are no proof if they are common.
func (e *Evidence) isRecurring(trait sardineknot.Trait, exact bool, n ended) bool {
	return n.count >= holdingCrashes && (exact || !e.isCommon(trait, n.first))
}

// endedUnder returns what has ended under requests with the broad or exact trait.
func (e *Evidence) endedUnder(trait sardineknot.Trait) ended {
	var n ended
	for _, c := range e.crashes {
		if !c.survived() && c.at.After(e.answered.at(trait)) && c.has(trait) {
			n = n.add(c.at)
		}
	}
	return n
}

// holdingTime returns the time for which a request with trait is held after a crash.
// It differs between requests, so that they do not come again together.
func holdingTime(trait sardineknot.Trait) time.Duration {
	const parts = 256 // a trait is a hash, whose low bits are as good as any
	n := trait % parts
	return settlingTime + settlingTime*time.Duration(n)/parts
}
