package evidence

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"sardineknot.example/sardineknot"
)

const (
	// minRequestThreshold is the number of crashes that put a trait of a request into
	// quarantine. Each crash that no request can have caused raises it by one, up to
	// maxRequestThreshold, which also applies to exact traits that were answered before.
	minRequestThreshold = 4
	maxRequestThreshold = 5
	// certainCrashes is the number of crashes that put a trait into quarantine whatever
	// else may explain them.
	certainCrashes = 6
	// broadThreshold is the number of crashes that put a broad trait into quarantine that
	// was answered in the time before. Requests of many callers may have it.
	broadThreshold = 8
	// recentTime is the time before a crash in which an answer to a request with a broad
	// trait shows that it is common. The path and the body of a request that ends servers
	// may have been sound before.
	recentTime = 3 * time.Second
	// clockDifference bounds the error of times that other hosts have reported.
	clockDifference = 20 * time.Millisecond
	// maxJudged bounds the candidates that are judged, those with the most crashes
	// first.
	maxJudged = 16
)

// requestCandidate is a broad or exact trait with the crashes that are evidence
// against it, the first crash first.
type requestCandidate struct {
	trait sardineknot.Trait
	exact bool
	// common is set if a request with the trait was answered in the time before the
	// first crash.
	common bool
	// crashes holds the crashes that no quarantine explains and that are independent
	// of each other.
	crashes []*crash
	// shared is the number of other crashes, which a quarantine explains.
	shared int
	// countedAt is the time of the last crash that was counted.
	countedAt time.Time
}

// total returns the number of crashes against k.
func (k *requestCandidate) total() int { return len(k.crashes) + k.shared }

// add adds a crash that is not earlier than the crashes of k. The request was sent
// to the server at time begun. explained is set if a quarantine explains the crash.
// Crashes of servers that ended together count once, unless the same request was sent
// to one of them after the other had ended.
func (k *requestCandidate) add(c *crash, begun time.Time, explained bool) {
	a := (k.exact || !k.common) && !begun.Before(k.countedAt.Add(-clockDifference))
	if k.total() > 0 && c.at.Sub(k.countedAt) < minGap && !a {
		return
	}
	k.countedAt = c.at
	if explained {
		k.shared++
		return
	}
	k.crashes = append(k.crashes, c)
}

// nextRequest returns the quarantine of the request with the most evidence against
// it. ok is false if there is not enough against any request.
func (e *Evidence) nextRequest(now time.Time) (quarantine sardineknot.Quarantine, ok bool) {
	m := e.accuseRequests(now)
	l := slices.DeleteFunc(slices.Collect(maps.Values(m)), func(k *requestCandidate) bool { return weight(len(k.crashes), k.shared) < minRequestThreshold })
	if len(l) == 0 {
		return sardineknot.Quarantine{}, false
	}
	slices.SortFunc(l, func(a, b *requestCandidate) int {
		return cmp.Or(cmp.Compare(b.total(), a.total()), -compareBool(a.exact, b.exact), cmp.Compare(a.trait, b.trait))
	})
	p, _ := e.accuse(now)
	for _, k := range l[:min(len(l), maxJudged)] {
		if e.convicts(now, k, m, p) {
			return sardineknot.Quarantine{Traits: k.inseparable(), Until: now.Add(quarantineTime), Strikes: 1}, true
		}
	}
	return sardineknot.Quarantine{}, false
}

// compareBool compares a and b, of which false is the lesser.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

// accuseRequests returns the broad and exact traits against which there is evidence
// at time now.
func (e *Evidence) accuseRequests(now time.Time) map[sardineknot.Trait]*requestCandidate {
	m := make(map[sardineknot.Trait]*requestCandidate)
	for _, c := range e.settled(now) {
		x := e.explained(c)
		b := make(map[sardineknot.Trait]time.Time)
		for _, s := range c.suspects {
			for i, t := range s.traits.Whole() {
				if !c.at.After(e.answered.at(t)) {
					continue
				}
				if m[t] == nil {
					m[t] = &requestCandidate{trait: t, exact: i < len(s.traits.Exact), common: e.isCommon(t, c.at)}
				}
				if s.begun.After(b[t]) {
					b[t] = s.begun
				}
			}
		}
		for t, n := range b {
			m[t].add(c, n, x)
		}
	}
	return m
}

// convicts reports whether there is enough evidence at time now against k, one of
// candidates. parts holds the parts of prompts against which there is evidence.
func (e *Evidence) convicts(now time.Time, k *requestCandidate, candidates map[sardineknot.Trait]*requestCandidate, parts map[sardineknot.Trait]*candidate) bool {
	if (k.exact || !k.common) && len(k.crashes) >= certainCrashes {
		return true
	}
	n := 0
	for _, c := range k.crashes {
		if !e.hasRival(c, k, candidates, parts) {
			n++
		}
	}
	return weight(n, k.shared) >= e.requestThreshold(now, k)
}

// requestThreshold returns the weight of the evidence that convicts k.
func (e *Evidence) requestThreshold(now time.Time, k *requestCandidate) int {
	switch {
	case k.common && !k.exact:
		return broadThreshold
	case k.common:
		return maxRequestThreshold
	}
	n := minRequestThreshold
	for _, c := range e.settled(now) {
		if e.causeless(c) {
			n++
		}
	}
	return min(n, maxRequestThreshold)
}

// causeless reports whether no request can have caused c: all suspects were answered
// since.
func (e *Evidence) causeless(c *crash) bool {
	return !slices.ContainsFunc(c.suspects, func(s suspect) bool {
		return slices.ContainsFunc(s.traits.Exact, func(t sardineknot.Trait) bool { return c.at.After(e.answered.at(t)) })
	})
}

// hasRival reports whether something else explains c as well as k does: another
// request with as many crashes, or a part of a prompt with more.
func (e *Evidence) hasRival(c *crash, k *requestCandidate, candidates map[sardineknot.Trait]*requestCandidate, parts map[sardineknot.Trait]*candidate) bool {
	for _, s := range c.suspects {
		n := k.total()
		if s.has(k.trait) {
			n++ // a part of the request itself explains no more crashes than the request
		} else if slices.ContainsFunc(s.traits.Whole(), func(t sardineknot.Trait) bool { return e.isRival(c, k, candidates[t]) }) {
			return true
		}
		if slices.ContainsFunc(s.traits.Parts, func(p sardineknot.Trait) bool {
			return e.sound.at(p).IsZero() && parts[p] != nil && parts[p].count >= n
		}) {
			return true
		}
	}
	return false
}

// isRival reports whether r, a trait of another request that c broke off, explains c as
// well as k does. r is nil if there is no evidence against the trait.
func (e *Evidence) isRival(c *crash, k, r *requestCandidate) bool {
	return r != nil && (r.exact || !r.common) && c.at.After(e.answered.at(r.trait)) && r.total() >= k.total()
}

// inseparable returns the broad and exact traits that a suspect of each crash of k
// has together with k.trait, in order.
func (k *requestCandidate) inseparable() sardineknot.TraitList {
	var l sardineknot.TraitList
	for i, c := range k.crashes {
		var o sardineknot.TraitList
		for _, s := range c.suspects {
			if s.has(k.trait) {
				o = append(o, s.traits.Whole()...)
			}
		}
		if i == 0 {
			l = o
		}
		l = slices.DeleteFunc(l, func(t sardineknot.Trait) bool { return !slices.Contains(o, t) })
	}
	return sortedOnce(l)
}
