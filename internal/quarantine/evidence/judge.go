package evidence

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"sardineknot.example/sardineknot"
)

// candidate is a part with the crashes that are evidence against it, the first
// crash first.
type candidate struct {
	part    sardineknot.Trait
	crashes []*crash
	// count is the number of crashes that are at least minGap apart, and shared the
	// number of those that a quarantine of another part explains as well. countedAt
	// is the time of the last one that was counted.
	count, shared int
	countedAt     time.Time
	// threshold is the weight of evidence that is needed.
	threshold int
	// unexplained is set if no quarantine explains one of the crashes.
	unexplained bool
}

// minOwn is the number of crashes that no quarantine explains from which on the
// others count as well.
const minOwn = 2

// weight returns the weight of the evidence against k.
func (k candidate) weight() int { return weight(k.count, k.shared) }

// weight returns the weight of own crashes, which no quarantine explains, and of
// shared ones, which one explains as well: these count half.
func weight(own, shared int) int {
	if own < minOwn {
		return own
	}
	return own + shared/2
}

// compare compares the evidence against k and b, as cmp.Compare does.
func (k candidate) compare(b candidate) int {
	return cmp.Or(cmp.Compare(k.weight()*b.threshold, b.weight()*k.threshold), cmp.Compare(b.part, k.part))
}

// Judge returns the quarantines that the evidence at time now requires in
// addition to those known, and records them. Quarantines whose probation has
// ended are dropped.
func (e *Evidence) Judge(now time.Time) []sardineknot.Quarantine {
	e.quarantines = slices.DeleteFunc(e.quarantines, func(q sardineknot.Quarantine) bool { return now.Sub(q.Until) > probation })
	maps.DeleteFunc(e.held, func(_ sardineknot.Trait, t time.Time) bool { return !t.After(now) })
	if e.judgeAt.IsZero() || now.Before(e.judgeAt) {
		return nil
	}
	e.dropCrashes(now)
	e.judgeAt = time.Time{}
	for _, c := range e.crashes {
		for _, t := range []time.Time{c.settledAt(), c.partsSettledAt()} {
			if now.Before(t) {
				e.schedule(t)
			}
		}
	}
	l := e.renew(now)
	for {
		q, ok := e.nextRequest(now)
		if !ok {
			q, ok = e.nextPart(now)
		}
		if !ok {
			return l
		}
		e.AddQuarantine(q)
		l = append(l, q)
	}
}

// renew extends the quarantines that have ended and that explain a later crash.
func (e *Evidence) renew(now time.Time) []sardineknot.Quarantine {
	var l []sardineknot.Quarantine
	for i, q := range e.quarantines {
		if now.Before(q.Until) {
			continue
		}
		for _, c := range e.settled(now) {
			if c.at.After(q.Until) && c.explainedBy(q) && !e.isSound(q, c.at) {
				d := min(maxQuarantineTime, quarantineTime<<min(q.Strikes, 10))
				q.Until, q.Strikes = now.Add(d), q.Strikes+1
				e.quarantines[i] = q
				l = append(l, q)
				break
			}
		}
	}
	return l
}

// isSound reports whether an answer to a request with one of the traits of
// quarantine has begun after time after without a crash, and another one for each
// of its other traits.
func (e *Evidence) isSound(quarantine sardineknot.Quarantine, after time.Time) bool {
	return !slices.ContainsFunc(quarantine.Traits, func(t sardineknot.Trait) bool {
		return !e.sound.at(t).After(after) && !e.answered.at(t).After(after)
	})
}

// settled returns the crashes whose suspects are known at time now, the first
// crash first. It leaves out those of servers that did not end.
func (e *Evidence) settled(now time.Time) []*crash {
	l := slices.Collect(maps.Values(e.crashes))
	l = slices.DeleteFunc(l, func(c *crash) bool { return now.Before(c.settledAt()) || c.survived() })
	slices.SortFunc(l, func(a, b *crash) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.process.Name, b.process.Name), cmp.Compare(a.process.Born, b.process.Born))
	})
	return l
}

// nextPart returns the quarantine of the part with the most evidence against it. ok
// is false if there is not enough against any part.
func (e *Evidence) nextPart(now time.Time) (quarantine sardineknot.Quarantine, ok bool) {
	l := e.candidates(now)
	if len(l) == 0 {
		return sardineknot.Quarantine{}, false
	}
	b := slices.MaxFunc(l, candidate.compare)
	if b.weight() < b.threshold {
		return sardineknot.Quarantine{}, false
	}
	q := sardineknot.Quarantine{Until: now.Add(quarantineTime), Strikes: 1}
	for _, c := range l {
		if slices.Equal(c.crashes, b.crashes) && inseparable(b, c) {
			q.Traits = append(q.Traits, c.part)
		}
	}
	slices.Sort(q.Traits)
	return q, true
}

// threshold returns the number of crashes that put a part into quarantine, if the
// first of them was at time first and no answer on the part is known. causeless
// holds the crashes that no part can have caused.
func threshold(causeless []*crash, first time.Time) int {
	var k candidate
	for _, c := range causeless {
		if !c.at.Before(first) {
			k.add(c)
		}
	}
	return min(maxThreshold, minThreshold+k.count)
}

// refuted reports whether all parts of all suspects of c are sound.
func (e *Evidence) refuted(c *crash) bool {
	return !slices.ContainsFunc(c.parts(), func(p sardineknot.Trait) bool { return !e.sound.at(p).After(c.at) })
}

// inseparable reports whether a suspect of each crash of a has the parts of both
// candidates.
func inseparable(a, b candidate) bool {
	q := sardineknot.Quarantine{Traits: sardineknot.TraitList{a.part, b.part}}
	return !slices.ContainsFunc(a.crashes, func(c *crash) bool { return !c.explainedBy(q) })
}

// candidates returns the parts against which there is evidence that no
// quarantine explains.
func (e *Evidence) candidates(now time.Time) []candidate {
	m, u := e.accuse(now)
	var l []candidate
	for p, k := range m {
		if !k.unexplained {
			continue
		}
		k.threshold = threshold(u, k.crashes[0].at)
		if !e.sound.at(p).IsZero() {
			k.threshold *= soundFactor
		}
		l = append(l, *k)
	}
	return l
}

// accuse returns the parts against which there is evidence at time now, and the
// crashes that no part can have caused.
func (e *Evidence) accuse(now time.Time) (accused map[sardineknot.Trait]*candidate, causeless []*crash) {
	accused = make(map[sardineknot.Trait]*candidate)
	for _, c := range e.settled(now) {
		if len(c.parts()) == 0 || now.Before(c.partsSettledAt()) {
			continue
		}
		if e.refuted(c) {
			causeless = append(causeless, c)
			continue
		}
		x := e.explained(c)
		for _, p := range c.parts() {
			if !c.at.After(e.sound.at(p)) {
				continue
			}
			if accused[p] == nil {
				accused[p] = &candidate{part: p}
			}
			if x && !e.sharesQuarantine(p) {
				accused[p].addShared(c)
				continue
			}
			accused[p].add(c)
			accused[p].unexplained = accused[p].unexplained || !x
		}
	}
	return accused, causeless
}

// add adds a crash that is not earlier than the crashes of k.
func (k *candidate) add(c *crash) {
	if k.isApart(c) {
		k.count++
		k.countedAt = c.at
	}
	k.crashes = append(k.crashes, c)
}

// addShared adds a crash that a quarantine of another part explains.
func (k *candidate) addShared(c *crash) {
	if k.isApart(c) {
		k.shared++
		k.countedAt = c.at
	}
}

// isApart reports whether c is at least minGap later than the last crash that was
// counted.
func (k *candidate) isApart(c *crash) bool {
	return k.count+k.shared == 0 || c.at.Sub(k.countedAt) >= minGap
}

// explained reports whether a suspect of c has the parts of a quarantine.
func (e *Evidence) explained(c *crash) bool {
	return slices.ContainsFunc(e.quarantines, c.explainedBy)
}

// sharesQuarantine reports whether part is in quarantine only together with
// other parts, so that it may turn out to be the one that matters.
func (e *Evidence) sharesQuarantine(part sardineknot.Trait) bool {
	return slices.ContainsFunc(e.quarantines, func(q sardineknot.Quarantine) bool {
		return len(q.Traits) > 1 && slices.Contains(q.Traits, part)
	})
}
