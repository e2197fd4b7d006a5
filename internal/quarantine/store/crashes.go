package store

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"sardineknot.example/sardineknot"
)

const (
	// crashKey is the key of the crashes under requests that several servers have ended
	// under. A restart of all hosts must not let such a request end as many again.
	crashKey = "crashes/recurring"
	// freshTime is the time after a crash in which hosts that do not own crashKey write
	// it. It exceeds the longest patience.
	freshTime = 5 * time.Second
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

// idsOf returns the identifiers of crashes.
func idsOf(crashes []sardineknot.ServerCrash) map[crashID]bool {
	m := make(map[crashID]bool, len(crashes))
	for _, c := range crashes {
		m[idOf(c)] = true
	}
	return m
}

// storedCrashes is the state of crashKey.
type storedCrashes struct {
	revision sardineknot.StoreRevision
	// ids holds the identifiers of the crashes of the value.
	ids map[crashID]bool
}

// lacks returns those of crashes that s does not hold.
func (s storedCrashes) lacks(crashes []sardineknot.ServerCrash) []sardineknot.ServerCrash {
	var l []sardineknot.ServerCrash
	for _, c := range crashes {
		if !s.ids[idOf(c)] {
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
	s := storedCrashes{ids: idsOf(v.Crashes)}
	if entry.Revision.Number != 0 {
		s.revision = entry.Revision
	}
	v.limitTimes(n)
	k.mu.Lock()
	k.crashes = s
	k.mu.Unlock()
	k.Record.AddEvidence(sardineknot.CrashEvidence{Crashes: v.Crashes, Sound: v.Sound, Answered: v.Answered})
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
	v := k.Record.RecurringCrashes()
	k.mu.Lock()
	s := k.crashes
	k.mu.Unlock()
	if !k.mustWriteCrashes(s, v.Crashes) {
		return
	}
	if len(v.Crashes) == 0 {
		k.remove(ctx, crashKey, s.revision)
		return
	}
	n, err := k.writeValue(ctx, crashKey, s.revision, crashValue{Crashes: v.Crashes, Sound: v.Sound, Answered: v.Answered})
	if err != nil {
		return
	}
	k.mu.Lock()
	k.crashes = storedCrashes{revision: n, ids: idsOf(v.Crashes)}
	k.mu.Unlock()
}

// mustWriteCrashes reports whether this host is the one that replaces the value of
// crashKey, stored, by crashes.
func (k *Keeper) mustWriteCrashes(stored storedCrashes, crashes []sardineknot.ServerCrash) bool {
	l := stored.lacks(crashes)
	if k.owns(crashKey) {
		return len(l) > 0 || len(crashes) != len(stored.ids)
	}
	if len(l) == 0 {
		k.crashesMissingSince = time.Time{}
		return false
	}
	return k.replacesOwner(l)
}

// replacesOwner reports whether this host, which does not own crashKey, is to write it,
// since its owner has not written missing.
func (k *Keeper) replacesOwner(missing []sardineknot.ServerCrash) bool {
	n := k.Clock.Now()
	if n.Sub(missing[len(missing)-1].At) > freshTime {
		return false
	}
	if k.crashesMissingSince.IsZero() {
		k.crashesMissingSince = n
	}
	return n.Sub(k.crashesMissingSince) >= k.patience(crashKey)
}
