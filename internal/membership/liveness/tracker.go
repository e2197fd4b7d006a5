// Package liveness tells which incarnations of entry hosts are dead, from the
// changes of a membership.
//
// A membership may lack a host that has just started, so absence alone does not
// mean death: a host counts as dead once it is marked dead, has a later
// incarnation, or is gone after it was a member. A host that was never a
// member counts as dead after it was unknown for a long time.
package liveness

import (
	"sync"
	"time"

	"sardineknot.example/sardineknot"
)

// unknownLimit is the time after which a host that was never a member counts
// as dead.
const unknownLimit = 30 * time.Second

// maxUnknown bounds the incarnations that were never a member.
const maxUnknown = 4096

// Tracker follows a membership. It is safe for concurrent use.
type Tracker struct {
	members sardineknot.Membership
	clock   sardineknot.Clock

	mu sync.Mutex
	// last holds the latest view of each host that was ever a member. Hosts
	// that are gone are marked as dead.
	last map[sardineknot.EntryHostID]sardineknot.EntryHost
	// unknown holds the time of the first question about each incarnation
	// that was never a member.
	unknown map[life]time.Time
}

type life struct {
	host        sardineknot.EntryHostID
	incarnation sardineknot.Incarnation
}

// NewTracker returns a tracker of m by clock c.
func NewTracker(m sardineknot.Membership, c sardineknot.Clock) *Tracker {
	t := &Tracker{
		members: m,
		clock:   c,
		last:    make(map[sardineknot.EntryHostID]sardineknot.EntryHost),
		unknown: make(map[life]time.Time),
	}
	return t
}

// Dead reports whether incarnation i of host h is dead.
func (t *Tracker) Dead(h sardineknot.EntryHostID, i sardineknot.Incarnation) bool {
	s := t.members.Self()
	if s.ID == h {
		return i < s.Incarnation
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refreshLocked()
	e, ok := t.last[h]
	if !ok {
		return t.longUnknownLocked(life{h, i})
	}
	if e.Incarnation > i {
		return true
	}
	return e.State == sardineknot.EntryHostDead
}

// Refresh takes in the present members. Call it at every change, so that a
// host that was a member for a short time is remembered.
func (t *Tracker) Refresh() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refreshLocked()
}

func (t *Tracker) refreshLocked() {
	g := make(map[sardineknot.EntryHostID]bool, len(t.last))
	for h := range t.last {
		g[h] = true
	}
	for _, e := range t.members.Hosts() {
		t.last[e.ID] = e
		delete(g, e.ID)
	}
	for h := range g {
		e := t.last[h]
		e.State = sardineknot.EntryHostDead
		t.last[h] = e
	}
}

func (t *Tracker) longUnknownLocked(l life) bool {
	n := t.clock.Now()
	s, ok := t.unknown[l]
	if !ok {
		t.forgetUnknownLocked(n)
		t.unknown[l] = n
		return false
	}
	return n.Sub(s) >= unknownLimit
}

// forgetUnknownLocked bounds unknown. What is asked about again starts anew.
func (t *Tracker) forgetUnknownLocked(now time.Time) {
	if len(t.unknown) < maxUnknown {
		return
	}
	for l, s := range t.unknown {
		if now.Sub(s) > 2*unknownLimit || len(t.unknown) >= maxUnknown {
			delete(t.unknown, l)
		}
	}
}
