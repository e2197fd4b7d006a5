package store

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"sardineknot.example/sardineknot"
)

const (
	// crashKey is the key of the crashes under requests, or with parts of prompts, that were
	// not answered since. A restart of all hosts must not let them end as many servers again.
	// Its name is that of earlier builds, which keep the crashes of fewer requests there.
	crashKey = "crashes/recurring"
	// freshTime is the time after a crash in which hosts that do not own crashKey write
	// it. It exceeds the longest patience.
	freshTime = 5 * time.Second
	// minWriteGap is the least time from a write of crashKey to one of further suspects of the
	// same crashes, which other hosts report, or of what refutes crashes.
	minWriteGap = 100 * time.Millisecond
)

// crashValue is the value of crashKey.
type crashValue struct {
	Crashes []sardineknot.ServerCrash
	// Sound and Answered hold what is known of the traits of the crashes.
	Sound    []sardineknot.SoundTrait
	Answered []sardineknot.SoundTrait
}

// crashID identifies a suspected request of a crash: hosts differ in the times that they
// record for it.
type crashID string

// idOf returns the identifier of crash.
func idOf(crash sardineknot.ServerCrash) crashID {
	return crashID(fmt.Sprint(crash.Process, crash.Traits.Exact, crash.Traits.Broad, crash.Traits.Parts))
}

// openTraits returns the numbers of traits that v does not refute, by crash.
func (v crashValue) openTraits() map[crashID]int {
	a, o := latestTimes(v.Answered), latestTimes(v.Sound)
	m := make(map[crashID]int, len(v.Crashes))
	for _, c := range v.Crashes {
		m[idOf(c)] = openIn(a, c.Traits.Whole(), c.At) + openIn(o, c.Traits.Parts, c.At)
	}
	return m
}

// latestTimes returns the latest times of traits.
func latestTimes(traits []sardineknot.SoundTrait) map[sardineknot.Trait]time.Time {
	m := make(map[sardineknot.Trait]time.Time, len(traits))
	for _, t := range traits {
		if t.At.After(m[t.Trait]) {
			m[t.Trait] = t.At
		}
	}
	return m
}

// openIn returns the number of traits whose time in latest is not after at.
func openIn(latest map[sardineknot.Trait]time.Time, traits sardineknot.TraitList, at time.Time) int {
	n := 0
	for _, t := range traits {
		if !latest[t].After(at) {
			n++
		}
	}
	return n
}

// storedCrashes is the state of crashKey.
type storedCrashes struct {
	revision sardineknot.StoreRevision
	// open holds the numbers of open traits of the crashes of the value, and recurring the
	// crashes under requests that several servers have ended under.
	open      map[crashID]int
	recurring map[crashID]bool
	// processes holds the processes of the servers that ended.
	processes map[sardineknot.ServerProcess]bool
}

// newStoredCrashes returns the state after a write of v.
func newStoredCrashes(revision sardineknot.StoreRevision, v crashValue) storedCrashes {
	n := make(map[sardineknot.Trait]int)
	for _, c := range v.Crashes {
		for _, t := range c.Traits.Whole() {
			n[t]++
		}
	}
	s := storedCrashes{revision: revision, open: v.openTraits(), recurring: make(map[crashID]bool), processes: make(map[sardineknot.ServerProcess]bool)}
	for _, c := range v.Crashes {
		s.processes[c.Process] = true
		s.recurring[idOf(c)] = slices.ContainsFunc(c.Traits.Whole(), func(t sardineknot.Trait) bool { return n[t] > 1 })
	}
	return s
}

// lacksServer reports whether one of crashes is of a server of which s has no crash.
func (s storedCrashes) lacksServer(crashes []sardineknot.ServerCrash) bool {
	return slices.ContainsFunc(crashes, func(c sardineknot.ServerCrash) bool { return !s.processes[c.Process] })
}

// refuted reports whether open, the numbers of open traits now, are less for a crash under a
// request that several servers have ended under. A few such crashes that are kept although
// they were refuted may bar the request.
func (s storedCrashes) refuted(open map[crashID]int) bool {
	for c, k := range s.recurring {
		if k && open[c] < s.open[c] {
			return true
		}
	}
	return false
}

// lacks returns those of crashes that s does not hold.
func (s storedCrashes) lacks(crashes []sardineknot.ServerCrash) []sardineknot.ServerCrash {
	var l []sardineknot.ServerCrash
	for _, c := range crashes {
		if _, ok := s.open[idOf(c)]; !ok {
			l = append(l, c)
		}
	}
	return l
}

// applyCrashes applies a changed entry of crashKey.
func (k *Keeper) applyCrashes(entry sardineknot.StoreEntry) {
	var v crashValue
	if entry.Revision.Number != 0 {
		if err := json.Unmarshal(entry.Value, &v); err != nil {
			k.Log.Warn().Stringer("event", sardineknot.LogQuarantineNotRead).Str("key", entry.Key).Err(err).Send()
			v = crashValue{}
		}
	}
	n := k.Clock.Now()
	v.limitTimes(n)
	var r sardineknot.StoreRevision
	if entry.Revision.Number != 0 {
		r = entry.Revision
	}
	s := newStoredCrashes(r, v)
	k.mu.Lock()
	k.crashes = s
	k.mu.Unlock()
	k.Record.RestoreEvidence(sardineknot.CrashEvidence{Crashes: v.Crashes, Sound: v.Sound, Answered: v.Answered})
}

// limitTimes replaces times after now by now: the clock of the host that wrote v may be
// ahead, and no answer refutes a crash that is to come.
func (v *crashValue) limitTimes(now time.Time) {
	for i := range v.Crashes {
		v.Crashes[i].At = earlier(v.Crashes[i].At, now)
	}
	for _, l := range [][]sardineknot.SoundTrait{v.Sound, v.Answered} {
		for i := range l {
			l[i].At = earlier(l[i].At, now)
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if a.After(b) {
		return b
	}
	return a
}

// updateCrashes writes or removes crashKey if its value differs from what is known, as far
// as this host is the one to do so.
func (k *Keeper) updateCrashes(ctx context.Context) {
	e := k.Record.KeptCrashes()
	v := crashValue{Crashes: e.Crashes, Sound: e.Sound, Answered: e.Answered}
	k.mu.Lock()
	s := k.crashes
	k.mu.Unlock()
	t := k.crashWriteTime(s, v)
	if t.IsZero() {
		k.crashesDueAt = t
		return
	}
	n := k.Clock.Now()
	if n.Before(t) {
		k.crashesDueAt = t
		return
	}
	k.crashesDueAt, k.crashesWrittenAt = time.Time{}, n
	if len(v.Crashes) == 0 {
		k.remove(ctx, crashKey, s.revision)
		return
	}
	r, err := k.writeValue(ctx, crashKey, s.revision, v)
	k.crashesFailed = err != nil
	if err != nil {
		k.crashesDueAt = k.Clock.Now().Add(missingInterval)
		return
	}
	k.mu.Lock()
	k.crashes = newStoredCrashes(r, v)
	k.mu.Unlock()
}

// crashWriteTime returns the time at which this host is to replace the value of crashKey,
// stored, by v, or zero if it is not. The end of a server is written at once: all hosts may be
// killed just after it. What refutes crashes under requests that may soon be barred follows
// soon, and other refutations with less haste.
func (k *Keeper) crashWriteTime(stored storedCrashes, v crashValue) time.Time {
	l, n := stored.lacks(v.Crashes), v.openTraits()
	o := k.owns(crashKey)
	r := !o && k.replacesOwner(l)
	switch {
	case (o || r) && stored.lacksServer(l) && !k.crashesFailed:
		return k.Clock.Now()
	case o && (len(l) > 0 || stored.refuted(n)), r:
		return k.crashesWrittenAt.Add(minWriteGap)
	case o && !maps.Equal(stored.open, n):
		return k.crashesWrittenAt.Add(interval)
	default:
		return time.Time{}
	}
}

// replacesOwner reports whether this host, which does not own crashKey, is to write it,
// since its owner has not written missing.
func (k *Keeper) replacesOwner(missing []sardineknot.ServerCrash) bool {
	if len(missing) == 0 {
		k.crashesMissingSince = time.Time{}
		return false
	}
	n := k.Clock.Now()
	if n.Sub(missing[len(missing)-1].At) > freshTime {
		return false
	}
	if k.crashesMissingSince.IsZero() {
		k.crashesMissingSince = n
	}
	return n.Sub(k.crashesMissingSince) >= k.patience(crashKey)
}
