package evidence

import (
	"cmp"
	"slices"
	"time"

	"sardineknot.example/sardineknot"
)

// maxRecurring bounds the crashes that Recurring returns.
const maxRecurring = 64

// Recurring returns the crashes at time now under requests that holdingCrashes servers
// or more have ended under, the first crash first, and what is known of the traits of
// these requests. Of more than maxRecurring it returns the latest.
func (e *Evidence) Recurring(now time.Time) sardineknot.CrashEvidence {
	var v sardineknot.CrashEvidence
	if len(e.crashes) < holdingCrashes {
		return v
	}
	n := e.endedUnderAll()
	for _, c := range e.crashes {
		if c.survived() || now.Sub(c.at) > retention {
			continue
		}
		for _, s := range c.suspects {
			if e.recurs(s, n) {
				v.Crashes = append(v.Crashes, sardineknot.ServerCrash{Process: c.process, Traits: s.traits, Begun: s.begun, At: c.at})
			}
		}
	}
	slices.SortFunc(v.Crashes, func(a, b sardineknot.ServerCrash) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Process.Name, b.Process.Name), slices.Compare(a.Traits.Exact, b.Traits.Exact))
	})
	v.Crashes = v.Crashes[max(0, len(v.Crashes)-maxRecurring):]
	for _, c := range v.Crashes {
		s, a := e.Known(c.Traits)
		v.Sound, v.Answered = append(v.Sound, s...), append(v.Answered, a...)
	}
	v.Sound, v.Answered = distinct(v.Sound), distinct(v.Answered)
	return v
}

// endedUnderAll returns the result of endedUnder for each broad and exact trait of the
// recorded crashes.
func (e *Evidence) endedUnderAll() map[sardineknot.Trait]ended {
	m := make(map[sardineknot.Trait]ended)
	for _, c := range e.crashes {
		if c.survived() {
			continue
		}
		for _, t := range c.wholeTraits() {
			if c.at.After(e.answered.at(t)) {
				m[t] = m[t].add(c.at)
			}
		}
	}
	return m
}

// wholeTraits returns the broad and exact traits of the suspects of c, each once.
func (c *crash) wholeTraits() sardineknot.TraitList {
	var l sardineknot.TraitList
	for _, s := range c.suspects {
		l = append(l, s.traits.Whole()...)
	}
	return sortedOnce(l)
}

// recurs reports whether holdingCrashes servers have ended under requests like s. all is
// the result of endedUnderAll.
func (e *Evidence) recurs(s suspect, all map[sardineknot.Trait]ended) bool {
	for i, t := range s.traits.Whole() {
		if e.isRecurring(t, i < len(s.traits.Exact), all[t]) {
			return true
		}
	}
	return false
}
