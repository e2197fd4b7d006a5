package evidence

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"sardineknot.example/sardineknot"
)

const (
	// maxKept bounds the suspects that Kept returns.
	maxKept = 64
	// maxKeptCauseless bounds the crashes among them that no request can have caused. Further
	// ones do not raise a threshold.
	maxKeptCauseless = maxThreshold - minThreshold
)

// keptSuspect is a suspect of a crash that must outlive this host.
type keptSuspect struct {
	crash   *crash
	suspect suspect
	// count is the greatest number of servers that ended under requests with one of its open
	// traits.
	count int
}

// report returns k as a report.
func (k keptSuspect) report() sardineknot.ServerCrash {
	return sardineknot.ServerCrash{Process: k.crash.process, Traits: k.suspect.traits, Begun: k.suspect.begun, At: k.crash.at}
}

// Kept returns the evidence at time now that must outlive this host, the first crash first:
// the crashes with open suspects, whose requests, or parts of whose prompts, were not answered
// since, what is known of the traits of these suspects, and some of the crashes that no request
// can have caused, as these raise thresholds. Of more than maxKept suspects it returns those
// under which most servers have ended, and the latest of them. It returns nothing if no suspect
// is open.
func (e *Evidence) Kept(now time.Time) sardineknot.CrashEvidence {
	var v sardineknot.CrashEvidence
	l, o := e.keptSuspects(now)
	if len(l) == 0 {
		return v
	}
	slices.SortFunc(l, func(a, b keptSuspect) int { return cmp.Or(cmp.Compare(b.count, a.count), compareKept(b, a)) })
	l = l[:min(len(l), maxKept)]
	slices.SortFunc(o, func(a, b keptSuspect) int { return compareKept(b, a) })
	l = append(l, o[:min(len(o), maxKeptCauseless, maxKept-len(l))]...)
	slices.SortFunc(l, compareKept)
	for _, k := range l {
		v.Crashes = append(v.Crashes, k.report())
		s, a := e.Known(k.suspect.traits)
		v.Sound, v.Answered = append(v.Sound, s...), append(v.Answered, a...)
	}
	v.Sound, v.Answered = distinct(v.Sound), distinct(v.Answered)
	return v
}

// compareKept orders suspects by the times of their crashes.
func compareKept(a, b keptSuspect) int {
	return cmp.Or(a.crash.at.Compare(b.crash.at), cmp.Compare(a.crash.process.Name, b.crash.process.Name), slices.Compare(a.suspect.traits.Exact, b.suspect.traits.Exact))
}

// keptSuspects returns the suspects with open traits at time now, and a suspect of each crash
// without such suspects.
func (e *Evidence) keptSuspects(now time.Time) (open, causeless []keptSuspect) {
	m := make(map[sardineknot.Trait]endCount)
	for _, c := range e.crashes {
		if !c.counts(now) {
			continue
		}
		n := len(open)
		for _, s := range c.suspects {
			k := false
			for t := range e.openTraits(c, s) {
				m[t] = m[t].add(c)
				k = true
			}
			if k {
				open = append(open, keptSuspect{crash: c, suspect: s})
			}
		}
		if len(open) == n {
			causeless = append(causeless, keptSuspect{crash: c, suspect: c.suspects[0]})
		}
	}
	for i := range open {
		k := &open[i]
		for t := range e.openTraits(k.crash, k.suspect) {
			k.count = max(k.count, m[t].count)
		}
	}
	return open, causeless
}

// endCount is the number of servers that ended under requests with a trait, and the last one
// of their crashes that was counted.
type endCount struct {
	count int
	last  *crash
}

// add adds c, unless it is the crash that was counted last.
func (n endCount) add(c *crash) endCount {
	if n.last == c {
		return n
	}
	return endCount{n.count + 1, c}
}

// openTraits returns the traits of s, a suspect of c, that no answer since c has refuted.
func (e *Evidence) openTraits(c *crash, s suspect) iter.Seq[sardineknot.Trait] {
	return func(yield func(sardineknot.Trait) bool) {
		for _, l := range []sardineknot.TraitList{s.traits.Exact, s.traits.Broad} {
			for _, t := range l {
				if !e.answered.at(t).After(c.at) && !yield(t) {
					return
				}
			}
		}
		for _, t := range s.traits.Parts {
			if !e.sound.at(t).After(c.at) && !yield(t) {
				return
			}
		}
	}
}

// counts reports whether c is recorded at time now, and its server has ended.
func (c *crash) counts(now time.Time) bool { return !c.survived() && now.Sub(c.at) <= retention }
