// Package gossip holds what one entry host knows of the others, and the rules
// by which it changes. It has no clock and no network.
//
// What is known of a host is a record. Records of the same host are in a total
// order: by incarnation, then by death, which is final within an incarnation,
// then by refutation, then by state. Merging keeps the greatest record, so that
// it is commutative, associative and idempotent, and hosts that have exchanged
// everything know the same.
//
// A host that finds a record by which it is suspect answers with a greater
// refutation, and one by which it is dead with a greater incarnation.
//
// States of backend servers on the platform's host list are records too. Their
// incarnation is the time at which the list was read.
//
// Changes are spread by passing each on in a bounded number of messages. A
// digest of all records finds out what was lost on the way.
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
	// minSuspicion is the least time that a suspect host has to deny it.
	minSuspicion = 1500 * time.Millisecond
	// forgetAfter is the time after which a dead host is forgotten.
	forgetAfter = 10 * time.Minute
	// holdIntervals is the number of heartbeat intervals after which one
	// denied suspicion is forgiven.
	holdIntervals = 20
)

// View holds the records that one entry host knows. Records are never modified
// in place. A View is not safe for concurrent use, and every time that it is
// given must not decrease.
type View struct {
	// self is the position of this host's own record.
	self string
	// entries holds a record of each host, the own one included, by position.
	entries map[string]*entry
	// queue holds the changes that are to be passed on, by position.
	queue map[string]*change
	// digest is the exclusive or of the hashes of all records that count.
	digest uint64
	// version grows with every change of a record.
	version uint64
	// interval is the time between heartbeats. It is positive.
	interval time.Duration
	// fingers is the cache of Fingers, valid at version fingersAt.
	fingers   []*api.Member
	fingersAt uint64
}

type entry struct {
	record *api.Member
	// since is the time of the last change of the record's state.
	since time.Time
	// failing is the time of the first of the probes that failed in a row, or
	// zero. It serves for leaving hosts, which are never suspect.
	failing time.Time
	// left reports that the host was leaving before it died.
	left bool
	// flaps counts the suspicions that were denied, up to maxFlaps. One is
	// forgiven every holdIntervals.
	flaps int
	// flapped is the time at which flaps last changed.
	flapped time.Time
}

type change struct {
	record *api.Member
	// sent counts the messages that carried the record.
	sent int
}

// NewView returns a view that knows self only, of a host that sends heartbeats
// every interval.
func NewView(now time.Time, self *api.Member, interval time.Duration) *View {
	v := &View{
		self:     position(self),
		entries:  make(map[string]*entry),
		queue:    make(map[string]*change),
		interval: interval,
	}
	v.put(now, self)
	return v
}

// Self returns the own record.
func (v *View) Self() *api.Member { return v.entries[v.self].record }

// Version grows with every change.
func (v *View) Version() uint64 { return v.version }

// Digest returns a hash over all records but those that hosts forget at
// different times: dead entry hosts and backend servers that are not leaving.
// It does not depend on the order in which the records came.
func (v *View) Digest() uint64 { return v.digest }

// Suspicion returns the time after which a suspect host is dead. In it, the
// suspicion reaches the host and the denial reaches all others.
func (v *View) Suspicion() time.Duration {
	n := 3 + Steps(len(v.entries))
	return max(minSuspicion, time.Duration(n)*v.interval)
}

// Len returns the number of records.
func (v *View) Len() int { return len(v.entries) }

// Merge takes records of another host. It reports whether the own record was
// contradicted by death, so that the host continues as a new incarnation.
func (v *View) Merge(now time.Time, records []*api.Member) (reborn bool) {
	for _, m := range records {
		k := position(m)
		switch {
		case !valid(m):
		case k == v.self:
			reborn = v.answer(now, m) || reborn
		default:
			v.take(now, k, m)
		}
	}
	return reborn
}

// Find returns the record of an entry host, or nil.
func (v *View) Find(id sardineknot.EntryHostID) *api.Member {
	e := v.entries[string(id)]
	if e == nil {
		return nil
	}
	return e.record
}

// Reached notes that a host answered directly.
func (v *View) Reached(id sardineknot.EntryHostID) {
	if e := v.entries[string(id)]; e != nil {
		e.failing = time.Time{}
	}
}

// Suspect notes that a host did not answer, neither directly nor to others.
func (v *View) Suspect(now time.Time, id sardineknot.EntryHostID, incarnation uint64) {
	e := v.entries[string(id)]
	if e == nil || string(id) == v.self || e.record.GetIncarnation() != incarnation {
		return
	}
	if e.failing.IsZero() {
		e.failing = now
	}
	if state(e.record) == sardineknot.EntryHostAlive {
		v.put(now, with(e.record, sardineknot.EntryHostSuspect))
	}
}

// Leave marks this host as leaving.
func (v *View) Leave(now time.Time) {
	v.put(now, with(v.Self(), sardineknot.EntryHostLeaving))
}

// Renew gives this host a new incarnation.
func (v *View) Renew(now time.Time) {
	v.put(now, renewed(now, v.Self(), v.Self().GetIncarnation()))
}

// Resume starts all waits anew. It follows a pause of this host, in which it
// could not have heard from others.
func (v *View) Resume(now time.Time) {
	for _, e := range v.entries {
		e.since = now
		e.failing = time.Time{}
	}
}

// Advance makes suspect hosts dead that did not deny it in time, and, if
// forget is set, drops those that are dead for long. It returns the hosts that
// died.
func (v *View) Advance(now time.Time, forget bool) []*api.Member {
	var l []*api.Member
	for k, e := range v.entries {
		switch {
		case k == v.self:
		case v.overdue(now, e):
			d := with(e.record, sardineknot.EntryHostDead)
			v.put(now, d)
			l = append(l, d)
		case forget && v.forgettable(now, e):
			v.drop(k)
		}
	}
	slices.SortFunc(l, func(a, b *api.Member) int { return strings.Compare(a.GetId(), b.GetId()) })
	return l
}

func (v *View) overdue(now time.Time, e *entry) bool {
	switch state(e.record) {
	case sardineknot.EntryHostSuspect:
		return now.Sub(e.since) >= v.Suspicion()
	case sardineknot.EntryHostLeaving:
		return !e.record.GetBackend() && !e.failing.IsZero() && now.Sub(e.failing) >= v.Suspicion()
	default:
		return false
	}
}

func (v *View) forgettable(now time.Time, e *entry) bool {
	if now.Sub(e.since) < forgetAfter {
		return false
	}
	return state(e.record) == sardineknot.EntryHostDead || e.record.GetBackend() && state(e.record) == sardineknot.EntryHostAlive
}

func (v *View) drop(k string) {
	v.digest ^= weight(v.entries[k].record)
	delete(v.entries, k)
	delete(v.queue, k)
	v.version++
}

// answer contradicts a record m of this host, unless it is true.
func (v *View) answer(now time.Time, m *api.Member) (reborn bool) {
	s := v.Self()
	if !supersedes(m, s) {
		return false
	}
	if m.GetIncarnation() > s.GetIncarnation() || state(m) == sardineknot.EntryHostDead {
		v.put(now, renewed(now, s, m.GetIncarnation()))
		return true
	}
	r := proto.CloneOf(s)
	r.Refutation = m.GetRefutation() + 1
	v.put(now, r)
	return false
}

// take keeps m if it is greater than the record known at position k. A sender
// that has missed a death is told of it again.
func (v *View) take(now time.Time, k string, m *api.Member) {
	e := v.entries[k]
	switch {
	case e == nil && state(m) == sardineknot.EntryHostDead:
	case e == nil || supersedes(m, e.record):
		v.put(now, m)
	case death(e.record) > death(m) && v.queue[k] == nil:
		v.queue[k] = &change{record: e.record}
	}
}

// put replaces the record of a host and queues it to be passed on.
func (v *View) put(now time.Time, m *api.Member) {
	k := position(m)
	e := v.entries[k]
	if e == nil {
		e = &entry{since: now}
		v.entries[k] = e
	} else {
		v.digest ^= weight(e.record)
		e.replace(now, m)
	}
	e.record = m
	v.digest ^= weight(m)
	v.version++
	v.queue[k] = &change{record: m}
}

// replace prepares e for the record m.
func (e *entry) replace(now time.Time, m *api.Member) {
	o := e.record
	if state(o) != state(m) || o.GetIncarnation() != m.GetIncarnation() {
		e.since = now
	}
	if o.GetIncarnation() != m.GetIncarnation() {
		e.failing = time.Time{}
	}
	e.left = state(m) == sardineknot.EntryHostDead && (e.left || state(o) == sardineknot.EntryHostLeaving)
	b := state(m) == sardineknot.EntryHostAlive && (state(o) == sardineknot.EntryHostSuspect || state(o) == sardineknot.EntryHostDead)
	if b && !m.GetBackend() {
		e.flaps = min(e.flaps+1, maxFlaps)
		e.flapped = now
	}
}
