package evidence

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"sardineknot.example/sardineknot"
)

const (
	// minThreshold is the number of crashes that put a part into quarantine. Each
	// crash that no part can have caused raises it by one, up to maxThreshold: the
	// more engines end for other reasons, the more often some part is beside them.
	minThreshold = 4
	maxThreshold = 8
	// soundFactor multiplies the threshold of a part on which engines have written
	// answers in the last time.
	soundFactor = 2
	// minGap is the time between two crashes below which they count as one.
	minGap = 50 * time.Millisecond
	// settlingTime is the time after a crash in which its suspects are reported,
	// and answers on sound parts that begin at once turn out to be sound. The crash
	// does not count before it has passed.
	settlingTime = 1300 * time.Millisecond
	// retention is the time for which crashes and sound traits are recorded.
	retention = 10 * time.Minute
	// maxCrashes bounds the recorded crashes.
	maxCrashes = 128
	// minRestartTime is the time after its end before which no server is back.
	minRestartTime = time.Second
	// quarantineTime is the length of the first quarantine of some traits. It doubles
	// up to maxQuarantineTime.
	quarantineTime    = 10 * time.Minute
	maxQuarantineTime = 2 * time.Hour
	// probation is the time after a quarantine in which one crash suffices for the
	// next.
	probation = time.Hour
	// maxQuarantines bounds the recorded quarantines. The one that ends first is
	// dropped beyond it.
	maxQuarantines = 1024
)

// Evidence holds crashes, sound traits and quarantines. It is not safe for
// concurrent use and never reads a clock. Its memory is bounded, whatever is
// reported.
type Evidence struct {
	// crashes holds the recorded crashes by process, and those that were refuted.
	crashes map[sardineknot.ServerProcess]*crash
	// sound holds parts of prompts, and answered broad and exact traits.
	sound, answered soundTraits
	// quarantines holds the quarantines and those whose probation has not ended.
	quarantines []sardineknot.Quarantine
	// held holds the times until which requests with certain traits are refused although
	// there is no quarantine.
	held map[sardineknot.Trait]time.Time
	// judgeAt is the time from which on a judgement may find something new. It is
	// zero if there is nothing to judge.
	judgeAt time.Time
}

// New returns evidence of nothing.
func New() *Evidence {
	return &Evidence{crashes: make(map[sardineknot.ServerProcess]*crash), held: make(map[sardineknot.Trait]time.Time)}
}

// AddCrash records a suspect and reports whether it was new.
func (e *Evidence) AddCrash(report sardineknot.ServerCrash) bool {
	if len(report.Traits.Parts)+len(report.Traits.Exact) == 0 {
		return false
	}
	c := e.crashes[report.Process]
	switch {
	case c == nil:
		e.dropCrashes(report.At)
		c = &crash{process: report.Process, at: report.At}
		e.crashes[report.Process] = c
	case !report.At.After(c.runningAt):
		return false
	case c.survived():
		c.at, c.suspects = report.At, nil
	case report.At.Before(c.at):
		c.at = report.At
	}
	if len(c.suspects) >= maxSuspects || c.suspects != nil && c.suspectsRequest(report.Traits) {
		return false
	}
	c.suspects = append(c.suspects, suspect{traits: bounded(report.Traits), begun: report.Begun})
	e.schedule(c.settledAt())
	e.hold(c, report.Traits)
	return true
}

// RestoreCrash is AddCrash for a report that outlived the hosts which recorded it, and that is
// read at time now. The crash is settled anew: an answer that refutes it may have been lost
// with these hosts.
func (e *Evidence) RestoreCrash(now time.Time, report sardineknot.ServerCrash) bool {
	k := e.crashes[report.Process] != nil
	if !e.AddCrash(report) {
		return false
	}
	if !k {
		c := e.crashes[report.Process]
		c.restoredAt = now
		e.schedule(c.settledAt())
	}
	return true
}

// AddRunning records that a process has answered a request, and reports whether
// that refutes its crash. A process that answers requests again after more than
// minRestartTime may be another one under the same name.
func (e *Evidence) AddRunning(server sardineknot.RunningServer) bool {
	c := e.crashes[server.Process]
	if c == nil || c.survived() || !server.At.After(c.at) || server.At.Sub(c.at) > minRestartTime {
		return false
	}
	c.runningAt = server.At
	e.release(c)
	return true
}

// AddRefutation records that another entry host has found that a process did not end.
// That is not judged again, since the times that hosts record for one crash differ, and
// hosts whose evidence differs go on to exchange all of it. It has no effect on a
// crash that came later.
func (e *Evidence) AddRefutation(server sardineknot.RunningServer) {
	c := e.crashes[server.Process]
	if c == nil || c.survived() || c.at.Sub(server.At) > minRestartTime {
		return
	}
	c.runningAt = server.At
	if c.at.After(c.runningAt) {
		c.runningAt = c.at
	}
	e.release(c)
}

// Quiet reports whether no crash is recorded.
func (e *Evidence) Quiet() bool { return len(e.crashes) == 0 }

// schedule makes a judgement take place at time at, or before.
func (e *Evidence) schedule(at time.Time) {
	if e.judgeAt.IsZero() || at.Before(e.judgeAt) {
		e.judgeAt = at
	}
}

// Known returns those of the parts of traits that are known to be sound, and those of
// the others that are known to have been answered.
func (e *Evidence) Known(traits sardineknot.RequestTraits) (sound, answered []sardineknot.SoundTrait) {
	return e.sound.known(traits.Parts), e.answered.known(traits.Whole())
}

// dropCrashes removes the crashes that are older than retention at time now, and
// the oldest one if there are maxCrashes.
func (e *Evidence) dropCrashes(now time.Time) {
	var o *crash
	for p, c := range e.crashes {
		if now.Sub(c.at) > retention {
			delete(e.crashes, p)
			continue
		}
		if o == nil || c.at.Before(o.at) {
			o = c
		}
	}
	if len(e.crashes) >= maxCrashes {
		delete(e.crashes, o.process)
	}
}

// AddSound records that an answer on part, a part of prompts, has begun at time at
// without a crash.
func (e *Evidence) AddSound(part sardineknot.Trait, at time.Time) { e.sound.add(part, at) }

// AddAnswered records that a request with the broad or exact trait, sent at time at,
// was answered.
func (e *Evidence) AddAnswered(trait sardineknot.Trait, at time.Time) {
	e.answered.add(trait, at)
	delete(e.held, trait)
}

// Suspected returns those of the parts of traits, and those of the others, against
// which there is evidence that an answer begun at time at refutes. Only such answers
// are sent to other entry hosts.
func (e *Evidence) Suspected(traits sardineknot.RequestTraits, at time.Time) (parts, others sardineknot.TraitList) {
	for _, c := range e.crashes {
		if !c.at.Before(at) {
			continue
		}
		for _, s := range c.suspects {
			parts = append(parts, refutable(s.traits.Parts, traits.Parts, c.at, &e.sound)...)
			others = append(others, refutable(s.traits.Broad, traits.Broad, c.at, &e.answered)...)
			others = append(others, refutable(s.traits.Exact, traits.Exact, c.at, &e.answered)...)
		}
	}
	return sortedOnce(parts), sortedOnce(others)
}

// refutable returns the traits that suspect and request have in common and that were
// not known to be sound since time at.
func refutable(suspect, request sardineknot.TraitList, at time.Time, sound *soundTraits) sardineknot.TraitList {
	var l sardineknot.TraitList
	for _, t := range request {
		if slices.Contains(suspect, t) && at.After(sound.at(t)) {
			l = append(l, t)
		}
	}
	return l
}

// sortedOnce returns the elements of list in order, each once.
func sortedOnce(list sardineknot.TraitList) sardineknot.TraitList {
	slices.Sort(list)
	return slices.Compact(list)
}

// AddQuarantine records a quarantine that another entry host has found, and
// reports whether it was new or is longer than known. A quarantine without
// traits would bar all requests and is ignored, as is one of too many traits.
func (e *Evidence) AddQuarantine(quarantine sardineknot.Quarantine) bool {
	n := len(quarantine.Traits)
	if n == 0 || n > sardineknot.MaxPromptParts || quarantine.Strikes <= 0 {
		return false
	}
	i := e.find(quarantine.Traits)
	if i < 0 {
		e.dropQuarantine()
		e.quarantines = append(e.quarantines, quarantine)
		return true
	}
	if quarantine.Strikes <= e.quarantines[i].Strikes {
		return false
	}
	e.quarantines[i] = quarantine
	return true
}

// dropQuarantine removes the quarantine that ends first if there are
// maxQuarantines.
func (e *Evidence) dropQuarantine() {
	if len(e.quarantines) < maxQuarantines {
		return
	}
	n := 0
	for i, q := range e.quarantines {
		if q.Until.Before(e.quarantines[n].Until) {
			n = i
		}
	}
	e.quarantines = slices.Delete(e.quarantines, n, n+1)
}

// find returns the index of the quarantine of traits, or -1.
func (e *Evidence) find(traits sardineknot.TraitList) int {
	return slices.IndexFunc(e.quarantines, func(q sardineknot.Quarantine) bool { return slices.Equal(q.Traits, traits) })
}

// Bars reports whether any request is barred at time now.
func (e *Evidence) Bars(now time.Time) bool {
	return len(e.held) > 0 || slices.ContainsFunc(e.quarantines, func(q sardineknot.Quarantine) bool { return q.Until.After(now) })
}

// Left returns the time for which a request with the given traits is barred, or
// zero.
func (e *Evidence) Left(now time.Time, traits sardineknot.TraitList) time.Duration {
	var d time.Duration
	for _, q := range e.quarantines {
		if q.Bars(traits) {
			d = max(d, q.Until.Sub(now))
		}
	}
	return d
}

// Held returns the time for which a request with the given traits is not sent to
// servers because some have just ended under it, or zero.
func (e *Evidence) Held(now time.Time, traits sardineknot.TraitList) time.Duration {
	var d time.Duration
	for _, t := range traits {
		d = max(d, e.held[t].Sub(now))
	}
	return d
}

// All returns all that is recorded, of the sound traits those of suspects.
func (e *Evidence) All() sardineknot.CrashEvidence {
	v := sardineknot.CrashEvidence{Quarantines: e.Quarantines()}
	for _, c := range e.crashes {
		for _, s := range c.suspects {
			n, a := e.Known(s.traits)
			v.Sound, v.Answered = append(v.Sound, n...), append(v.Answered, a...)
			v.Crashes = append(v.Crashes, sardineknot.ServerCrash{Process: c.process, Traits: s.traits, Begun: s.begun, At: c.at})
		}
		if c.survived() {
			v.Running = append(v.Running, sardineknot.RunningServer{Process: c.process, At: c.runningAt})
		}
	}
	v.Sound, v.Answered = distinct(v.Sound), distinct(v.Answered)
	return v
}

// distinct returns the elements of list, each once.
func distinct(list []sardineknot.SoundTrait) []sardineknot.SoundTrait {
	slices.SortFunc(list, func(a, b sardineknot.SoundTrait) int { return cmp.Compare(a.Trait, b.Trait) })
	return slices.Compact(list)
}

// Quarantines returns the quarantines and those whose probation has not ended.
func (e *Evidence) Quarantines() []sardineknot.Quarantine { return slices.Clone(e.quarantines) }

// Digest returns a number that identifies the recorded suspects and quarantines.
// Hosts with the same evidence have the same digest.
func (e *Evidence) Digest() uint64 {
	var d uint64
	for p, c := range e.crashes {
		d += xxhash.Sum64String(string(p.Name) + "/" + strconv.FormatInt(p.Born, 16) + "/" + strconv.Itoa(len(c.suspects)) + "/" + strconv.FormatBool(c.survived()))
	}
	for _, q := range e.quarantines {
		d += xxhash.Sum64String(q.Traits.String() + "/" + strconv.Itoa(q.Strikes))
	}
	return d
}
