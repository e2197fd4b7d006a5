// Package gossip implements the membership state of one entry host: the records
// that it holds of all hosts, and the rules for merging, suspecting, expiring
// and disseminating them. It uses neither a clock nor the network; callers pass
// the time and exchange the records.
//
// The state of a host is a record. Records of the same host are totally
// ordered: by incarnation, then by death (which is final within an
// incarnation), then by refutation, then by state. Merge keeps the greatest
// record. It is therefore commutative, associative and idempotent, and hosts
// that have exchanged all their records hold the same view.
//
// A host that receives a record declaring it suspect publishes a record with a
// higher refutation. A host that receives a record declaring it dead publishes
// one with a higher incarnation.
//
// The states of backend servers on the platform's host list are disseminated as
// records too. The incarnation of such a record is the time at which the list
// was read.
//
// Each host exchanges messages with a few peers, its fingers. As in the Chord
// protocol, these are the hosts at distances of powers of two after it on a
// ring, which contains all hosts that are not dead. Each change is piggybacked
// on a bounded number of messages. Losses are detected by comparing a digest
// over all records.
package gossip

import (
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"sardineknot.example/sardineknot"
	api "sardineknot.example/sardineknot/internal/rpc/membership"
)

const (
	// minSuspicionTimeout is the lower bound of SuspicionTimeout, the time that
	// a suspect host has to refute the suspicion.
	minSuspicionTimeout = 1500 * time.Millisecond
	// retention is the time after which the record of a dead host, or of a
	// backend server that is no longer leaving, is deleted.
	retention = 10 * time.Minute
	// flapDecayIntervals is the number of heartbeat intervals after which the
	// flap count of a host decreases by one.
	flapDecayIntervals = 20
)

// View holds the records that one entry host knows. Records are immutable: a
// change replaces the record. A View is not safe for concurrent use, and the
// times passed to its methods must not decrease.
type View struct {
	// selfKey is the key of the record of this host.
	selfKey string
	// entries holds one entry per host, including this one, by record key.
	entries map[string]*entry
	// queue holds the changes that are still to be disseminated, by record key.
	queue map[string]*change
	// digest is the XOR of digestTerm over all records.
	digest uint64
	// version is incremented whenever a record is replaced or deleted.
	version uint64
	// interval is the heartbeat interval. It is positive.
	interval time.Duration
	// fingers caches the result of Fingers. It is valid while version equals
	// fingersVersion.
	fingers        []*api.Member
	fingersVersion uint64
}

// entry is the state kept for one host.
type entry struct {
	record *api.Member
	// stateSince is the time of the last change of state or incarnation.
	stateSince time.Time
	// failingSince is the time of the first probe in the current run of failed
	// probes, or zero. A leaving host is never marked suspect; it is declared
	// dead when the run has lasted for the suspicion timeout.
	failingSince time.Time
	// leftBeforeDeath reports whether the host was leaving when it was declared
	// dead.
	leftBeforeDeath bool
	// flaps counts refuted suspicions and returns from death, up to maxFlaps.
	// isFlapping subtracts one for every flapDecayIntervals since lastFlapAt.
	flaps int
	// lastFlapAt is the time at which flaps was last incremented.
	lastFlapAt time.Time
}

// change is a record that is still to be disseminated.
type change struct {
	record *api.Member
	// transmissions is the number of messages that have carried the record.
	transmissions int
}

// NewView returns a view that contains only self. interval is the heartbeat
// interval of the host.
func NewView(now time.Time, self *api.Member, interval time.Duration) *View {
	v := &View{
		selfKey:  recordKey(self),
		entries:  make(map[string]*entry),
		queue:    make(map[string]*change),
		interval: interval,
	}
	v.put(now, self)
	return v
}

// Self returns the record of this host.
func (v *View) Self() *api.Member { return v.entries[v.selfKey].record }

// Version returns a number that increases with every change of a record.
func (v *View) Version() uint64 { return v.version }

// Digest returns a hash over all records except those that hosts delete at
// different times: dead entry hosts and backend servers that are not leaving.
// It is independent of the order in which records were merged.
func (v *View) Digest() uint64 { return v.digest }

// SuspicionTimeout returns the time after which a suspect host is declared
// dead. It is long enough for the suspicion to reach the host and for the
// refutation to reach all others.
func (v *View) SuspicionTimeout() time.Duration {
	n := 3 + CeilLog2(len(v.entries))
	return max(minSuspicionTimeout, time.Duration(n)*v.interval)
}

// Len returns the number of records, including those of backend servers.
func (v *View) Len() int { return len(v.entries) }

// Merge merges records received from another host. It reports whether one of
// them forced this host to take a new incarnation, because that record declared
// this host dead or carried a later incarnation of it.
func (v *View) Merge(now time.Time, records []*api.Member) (newIncarnation bool) {
	for _, m := range records {
		k := recordKey(m)
		switch {
		case !isValid(m):
		case k == v.selfKey:
			newIncarnation = v.refute(now, m) || newIncarnation
		default:
			v.mergeRecord(now, k, m)
		}
	}
	return newIncarnation
}

// Find returns the record of an entry host, or nil if there is none.
func (v *View) Find(id sardineknot.EntryHostID) *api.Member {
	e := v.entries[string(id)]
	if e == nil {
		return nil
	}
	return e.record
}

// MarkReachable records that the host id answered this host directly, which
// ends a run of failed probes.
func (v *View) MarkReachable(id sardineknot.EntryHostID) {
	if e := v.entries[string(id)]; e != nil {
		e.failingSince = time.Time{}
	}
}

// Suspect records that a direct probe and all indirect probes of the host id
// failed. An alive host becomes suspect. Suspect has no effect if id is this
// host, or if the known incarnation of the host differs from incarnation.
func (v *View) Suspect(now time.Time, id sardineknot.EntryHostID, incarnation uint64) {
	e := v.entries[string(id)]
	if e == nil || string(id) == v.selfKey || e.record.GetIncarnation() != incarnation {
		return
	}
	if e.failingSince.IsZero() {
		e.failingSince = now
	}
	if state(e.record) == sardineknot.EntryHostAlive {
		v.put(now, withState(e.record, sardineknot.EntryHostSuspect))
	}
}

// Leave puts this host into the leaving state.
func (v *View) Leave(now time.Time) {
	v.put(now, withState(v.Self(), sardineknot.EntryHostLeaving))
}

// RenewIncarnation gives this host a new incarnation.
func (v *View) RenewIncarnation(now time.Time) {
	v.put(now, withNewIncarnation(now, v.Self(), v.Self().GetIncarnation()))
}

// ResetTimeouts restarts all timeouts. It is called after a pause of this host,
// during which it could not receive refutations.
func (v *View) ResetTimeouts(now time.Time) {
	for _, e := range v.entries {
		e.stateSince = now
		e.failingSince = time.Time{}
	}
}

// Advance declares dead the hosts whose suspicion timeout has expired and
// returns their records, ordered by ID. If forget is set, it also deletes the
// records whose retention has ended.
func (v *View) Advance(now time.Time, forget bool) []*api.Member {
	var l []*api.Member
	for k, e := range v.entries {
		switch {
		case k == v.selfKey:
		case v.suspicionExpired(now, e):
			d := withState(e.record, sardineknot.EntryHostDead)
			v.put(now, d)
			l = append(l, d)
		case forget && v.isExpired(now, e):
			v.remove(k)
		}
	}
	slices.SortFunc(l, func(a, b *api.Member) int { return strings.Compare(a.GetId(), b.GetId()) })
	return l
}

// suspicionExpired reports whether the host of e is to be declared dead.
func (v *View) suspicionExpired(now time.Time, e *entry) bool {
	switch state(e.record) {
	case sardineknot.EntryHostSuspect:
		return now.Sub(e.stateSince) >= v.SuspicionTimeout()
	case sardineknot.EntryHostLeaving:
		return !e.record.GetBackend() && !e.failingSince.IsZero() && now.Sub(e.failingSince) >= v.SuspicionTimeout()
	default:
		return false
	}
}

// isExpired reports whether the retention of e has ended.
func (v *View) isExpired(now time.Time, e *entry) bool {
	if now.Sub(e.stateSince) < retention {
		return false
	}
	return state(e.record) == sardineknot.EntryHostDead || e.record.GetBackend() && state(e.record) == sardineknot.EntryHostAlive
}

func (v *View) remove(k string) {
	v.digest ^= digestTerm(v.entries[k].record)
	delete(v.entries, k)
	delete(v.queue, k)
	v.version++
}

// refute publishes a record of this host that supersedes m. It has no effect if
// m does not supersede the current record. It reports whether the published
// record has a new incarnation.
func (v *View) refute(now time.Time, m *api.Member) (newIncarnation bool) {
	s := v.Self()
	if !supersedes(m, s) {
		return false
	}
	if m.GetIncarnation() > s.GetIncarnation() || state(m) == sardineknot.EntryHostDead {
		v.put(now, withNewIncarnation(now, s, m.GetIncarnation()))
		return true
	}
	r := proto.CloneOf(s)
	r.Refutation = m.GetRefutation() + 1
	v.put(now, r)
	return false
}

// mergeRecord stores m under key k if it supersedes the known record. If the
// known record declares the host dead and supersedes m, the known record is
// queued again, so that the sender of m learns of the death. The death of an
// unknown host is ignored.
func (v *View) mergeRecord(now time.Time, k string, m *api.Member) {
	e := v.entries[k]
	switch {
	case e == nil && state(m) == sardineknot.EntryHostDead:
	case e == nil || supersedes(m, e.record):
		v.put(now, m)
	case deathRank(e.record) > deathRank(m) && v.queue[k] == nil:
		v.queue[k] = &change{record: e.record}
	}
}

// put replaces the record of a host and queues it for dissemination.
func (v *View) put(now time.Time, m *api.Member) {
	k := recordKey(m)
	e := v.entries[k]
	if e == nil {
		e = &entry{stateSince: now}
		v.entries[k] = e
	} else {
		v.digest ^= digestTerm(e.record)
		e.replace(now, m)
	}
	e.record = m
	v.digest ^= digestTerm(m)
	v.version++
	v.queue[k] = &change{record: m}
}

// replace updates the times and flap count of e before its record is replaced
// by m.
func (e *entry) replace(now time.Time, m *api.Member) {
	o := e.record
	if state(o) != state(m) || o.GetIncarnation() != m.GetIncarnation() {
		e.stateSince = now
	}
	if o.GetIncarnation() != m.GetIncarnation() {
		e.failingSince = time.Time{}
	}
	e.leftBeforeDeath = state(m) == sardineknot.EntryHostDead && (e.leftBeforeDeath || state(o) == sardineknot.EntryHostLeaving)
	b := state(m) == sardineknot.EntryHostAlive && (state(o) == sardineknot.EntryHostSuspect || state(o) == sardineknot.EntryHostDead)
	if b && !m.GetBackend() {
		e.flaps = min(e.flaps+1, maxFlaps)
		e.lastFlapAt = now
	}
}
