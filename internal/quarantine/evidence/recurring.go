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
	e.updateRecurring()
	if len(e.recurring) == 0 {
		return v
	}
	for _, c := range e.crashes {
		if c.survived() || now.Sub(c.at) > retention {
			continue
		}
		for _, s := range c.suspects {
			if slices.ContainsFunc(s.traits.Whole(), func(t sardineknot.Trait) bool { return e.recurring[t] }) {
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

// updateRecurring removes the traits from recurring whose requests were answered since,
// or whose crashes were refuted or dropped.
func (e *Evidence) updateRecurring() {
	for t := range e.recurring {
		if e.endedUnder(t).count < holdingCrashes {
			delete(e.recurring, t)
		}
	}
}
