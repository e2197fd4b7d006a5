// Package liveness decides which incarnations of entry hosts are dead, by
// observing the changes of a membership.
//
// A membership may not yet contain a host that has just started, so absence
// alone does not imply death. A host counts as dead if it is marked dead, if it
// has a later incarnation, or if it was a member and no longer is. A host that
// has never been a member counts as dead once it has been unknown for
// unknownTimeout.
package liveness

import (
	"sync"
	"time"

	"sardineknot.example/sardineknot"
)

// unknownTimeout is the time after which a host that has never been a member
// counts as dead.
const unknownTimeout = 30 * time.Second

// maxUnknown bounds the number of tracked incarnations of hosts that have never
// been members.
const maxUnknown = 4096

// Tracker decides which incarnations of the hosts in a membership are dead. It
// is safe for concurrent use.
type Tracker struct {
	members sardineknot.Membership
	clock   sardineknot.Clock

	mu sync.Mutex
	// lastSeen holds the latest known state of each host that was ever a
	// member. Hosts that are no longer members are marked dead.
	lastSeen map[sardineknot.EntryHostID]sardineknot.EntryHost
	// firstQueried holds the time of the first query for each incarnation of a
	// host that has never been a member.
	firstQueried map[hostIncarnation]time.Time
}

type hostIncarnation struct {
	host        sardineknot.EntryHostID
	incarnation sardineknot.Incarnation
}

// NewTracker returns a tracker of the membership m that uses the clock c.
func NewTracker(m sardineknot.Membership, c sardineknot.Clock) *Tracker {
	t := &Tracker{
		members:      m,
		clock:        c,
		lastSeen:     make(map[sardineknot.EntryHostID]sardineknot.EntryHost),
		firstQueried: make(map[hostIncarnation]time.Time),
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
	e, ok := t.lastSeen[h]
	if !ok {
		return t.unknownTooLongLocked(hostIncarnation{h, i})
	}
	if e.Incarnation > i {
		return true
	}
	return e.State == sardineknot.EntryHostDead
}

// Refresh records the current members. It must be called on every change of the
// membership, so that hosts that are members only briefly are recorded.
func (t *Tracker) Refresh() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refreshLocked()
}

func (t *Tracker) refreshLocked() {
	g := make(map[sardineknot.EntryHostID]bool, len(t.lastSeen))
	for h := range t.lastSeen {
		g[h] = true
	}
	for _, e := range t.members.Hosts() {
		t.lastSeen[e.ID] = e
		delete(g, e.ID)
	}
	for h := range g {
		e := t.lastSeen[h]
		e.State = sardineknot.EntryHostDead
		t.lastSeen[h] = e
	}
}

// unknownTooLongLocked reports whether l, an incarnation of a host that has
// never been a member, was first queried at least unknownTimeout ago. It
// records the time of the first query.
func (t *Tracker) unknownTooLongLocked(l hostIncarnation) bool {
	n := t.clock.Now()
	s, ok := t.firstQueried[l]
	if !ok {
		t.evictUnknownLocked(n)
		t.firstQueried[l] = n
		return false
	}
	return n.Sub(s) >= unknownTimeout
}

// evictUnknownLocked makes room in firstQueried if it is full. If an evicted
// incarnation is queried again, its timeout starts anew.
func (t *Tracker) evictUnknownLocked(now time.Time) {
	if len(t.firstQueried) < maxUnknown {
		return
	}
	for l, s := range t.firstQueried {
		if now.Sub(s) > 2*unknownTimeout || len(t.firstQueried) >= maxUnknown {
			delete(t.firstQueried, l)
		}
	}
}
