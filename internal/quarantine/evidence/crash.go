package evidence

import (
	"slices"
	"time"

	"sardineknot.example/sardineknot"
)

const (
	// maxSuspects bounds the suspects of a crash.
	maxSuspects = 32
	// maxWholeTraits bounds the broad and the exact traits of a suspect.
	maxWholeTraits = 6
)

// crash is the end of one server, or what looks like it.
type crash struct {
	process sardineknot.ServerProcess
	// at is the time of the first report.
	at time.Time
	// restoredAt is the time at which the crash was read from where it outlived the hosts, or
	// zero if it was reported.
	restoredAt time.Time
	// suspects holds the requests that broke off, each with other traits.
	suspects []suspect
	// runningAt is the latest time at which the process is known to have run, or zero.
	// If it is not before at, the process did not end.
	runningAt time.Time
}

// suspect is a request that broke off when its server ended.
type suspect struct {
	traits sardineknot.RequestTraits
	// begun is the time at which the request was sent to the server.
	begun time.Time
}

// survived reports whether the process of c is known not to have ended.
func (c *crash) survived() bool { return !c.at.After(c.runningAt) }

// settledAt returns the time from which on c counts as evidence against requests.
func (c *crash) settledAt() time.Time {
	if c.restoredAt.After(c.at) {
		return c.restoredAt.Add(settlingTime)
	}
	return c.at.Add(settlingTime)
}

// partsSettledAt returns the time from which on c counts as evidence against parts of
// prompts, of which an answer is sound only after some time.
func (c *crash) partsSettledAt() time.Time {
	if c.restoredAt.After(c.at) {
		return c.restoredAt.Add(2 * settlingTime)
	}
	return c.settledAt()
}

// explainedBy reports whether quarantine bars a suspect of c.
func (c *crash) explainedBy(quarantine sardineknot.Quarantine) bool {
	return slices.ContainsFunc(c.suspects, func(s suspect) bool { return quarantine.Bars(s.traits.All()) })
}

// suspectsRequest reports whether a suspect of c has just the given traits.
func (c *crash) suspectsRequest(traits sardineknot.RequestTraits) bool {
	return slices.ContainsFunc(c.suspects, func(s suspect) bool {
		return slices.Equal(s.traits.Exact, traits.Exact) && slices.Equal(s.traits.Broad, traits.Broad) && slices.Equal(s.traits.Parts, traits.Parts)
	})
}

// has reports whether trait is a broad or exact trait of a suspect of c.
func (c *crash) has(trait sardineknot.Trait) bool {
	return slices.ContainsFunc(c.suspects, func(s suspect) bool { return s.has(trait) })
}

// has reports whether trait is a broad or exact trait of s.
func (s suspect) has(trait sardineknot.Trait) bool {
	return slices.Contains(s.traits.Exact, trait) || slices.Contains(s.traits.Broad, trait)
}

// parts returns the parts of the suspects of c, each once.
func (c *crash) parts() sardineknot.TraitList {
	var l sardineknot.TraitList
	for _, s := range c.suspects {
		l = append(l, s.traits.Parts...)
	}
	return sortedOnce(l)
}

// bounded returns a copy of traits of bounded size.
func bounded(traits sardineknot.RequestTraits) sardineknot.RequestTraits {
	return sardineknot.RequestTraits{
		Parts: slices.Clone(traits.Parts[:min(len(traits.Parts), sardineknot.MaxPromptParts)]),
		Broad: slices.Clone(traits.Broad[:min(len(traits.Broad), maxWholeTraits)]),
		Exact: slices.Clone(traits.Exact[:min(len(traits.Exact), maxWholeTraits)]),
	}
}
