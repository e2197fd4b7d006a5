package gossip

import (
	"cmp"
	"math/bits"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"sardineknot.example/sardineknot"
	api "sardineknot.example/sardineknot/internal/rpc/membership"
)

const (
	// maxFlaps bounds the denied suspicions that are remembered.
	maxFlaps = 6
	// heldFlaps is the number of denied suspicions from which on a host is
	// shown as suspect although it is alive.
	heldFlaps = 3
	// pageMembers is the number of records in a page.
	pageMembers = 64
)

// Hosts returns the entry hosts, ordered by ID. A host that flaps is shown as
// suspect, so that it keeps its shards and is not named to callers.
func (v *View) Hosts(now time.Time) []sardineknot.EntryHost {
	l := make([]sardineknot.EntryHost, 0, len(v.entries))
	for _, e := range v.entries {
		if e.record.GetBackend() {
			continue
		}
		h := entryHost(e.record)
		if h.State == sardineknot.EntryHostAlive && v.held(now, e) {
			h.State = sardineknot.EntryHostSuspect
		}
		l = append(l, h)
	}
	slices.SortFunc(l, func(a, b sardineknot.EntryHost) int { return cmp.Compare(a.ID, b.ID) })
	return l
}

// held reports whether the host of e has flapped lately.
func (v *View) held(now time.Time, e *entry) bool {
	n := e.flaps - int(now.Sub(e.flapped)/(holdIntervals*v.interval))
	return n >= heldFlaps
}

// Held returns the number of hosts that are shown as suspect because they
// flap.
func (v *View) Held(now time.Time) int {
	var n int
	for _, e := range v.entries {
		if !e.record.GetBackend() && state(e.record) == sardineknot.EntryHostAlive && v.held(now, e) {
			n++
		}
	}
	return n
}

// LeavingBackends returns the backend servers that the host list calls
// leaving.
func (v *View) LeavingBackends() map[sardineknot.BackendServerName]bool {
	m := make(map[sardineknot.BackendServerName]bool)
	for _, e := range v.entries {
		if e.record.GetBackend() && state(e.record) == sardineknot.EntryHostLeaving {
			m[sardineknot.BackendServerName(e.record.GetId())] = true
		}
	}
	return m
}

// LostMost reports whether fewer than half of the other hosts are alive. Hosts
// that left in order are not counted.
func (v *View) LostMost() bool {
	var n, a int
	for k, e := range v.entries {
		if k == v.self || e.record.GetBackend() || e.left || state(e.record) == sardineknot.EntryHostLeaving {
			continue
		}
		n++
		if state(e.record) == sardineknot.EntryHostAlive {
			a++
		}
	}
	return 2*a < n
}

// Fingers returns the hosts to exchange heartbeats with: those at the
// distances of powers of two after this one, among the hosts that are not
// dead, on a ring in the order of a hash of their identifiers. A change that
// every host passes on to its fingers reaches all of n hosts in log2(n) steps,
// and every host has the same number of others that watch it.
func (v *View) Fingers() []*api.Member {
	if v.fingersAt == v.version {
		return v.fingers
	}
	r := v.ring()
	i := slices.IndexFunc(r, func(m *api.Member) bool { return position(m) == v.self })
	v.fingers = nil
	for d := 1; d < len(r); d *= 2 {
		v.fingers = append(v.fingers, r[(i+d)%len(r)])
	}
	v.fingersAt = v.version
	return v.fingers
}

// Dead returns the entry hosts that died without leaving in order, ordered by
// ID.
func (v *View) Dead() []*api.Member {
	var l []*api.Member
	for _, e := range v.entries {
		if state(e.record) == sardineknot.EntryHostDead && !e.left {
			l = append(l, e.record)
		}
	}
	slices.SortFunc(l, func(a, b *api.Member) int { return strings.Compare(a.GetId(), b.GetId()) })
	return l
}

func (v *View) ring() []*api.Member {
	var l []*api.Member
	for k, e := range v.entries {
		if k == v.self || !e.record.GetBackend() && state(e.record) != sardineknot.EntryHostDead {
			l = append(l, e.record)
		}
	}
	slices.SortFunc(l, func(a, b *api.Member) int {
		return cmp.Or(
			cmp.Compare(xxhash.Sum64String(a.GetId()), xxhash.Sum64String(b.GetId())),
			strings.Compare(a.GetId(), b.GetId()),
		)
	})
	return l
}

// Changes returns at most limit records to pass on, those first that were
// passed on least. Each is returned a bounded number of times, which grows
// with the logarithm of the number of records.
func (v *View) Changes(limit int) []*api.Member {
	l := make([]*change, 0, len(v.queue))
	for _, c := range v.queue {
		l = append(l, c)
	}
	slices.SortFunc(l, func(a, b *change) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), strings.Compare(position(a.record), position(b.record)))
	})
	var r []*api.Member
	for _, c := range l[:min(limit, len(l))] {
		r = append(r, c.record)
		c.sent++
		if c.sent >= v.repeats() {
			delete(v.queue, position(c.record))
		}
	}
	return r
}

// Pending returns the number of records that are still to be passed on.
func (v *View) Pending() int { return len(v.queue) }

// repeats returns the number of messages that carry a change.
func (v *View) repeats() int { return 2 + 2*Steps(len(v.entries)) }

// Steps returns the binary logarithm of n, rounded up.
func Steps(n int) int { return bits.Len(uint(max(n-1, 0))) }

// Page returns the records that follow position after, in order, and the
// position to go on after, which is empty at the end.
func (v *View) Page(after string) (l []*api.Member, next string) {
	var p []string
	for k := range v.entries {
		if k > after {
			p = append(p, k)
		}
	}
	slices.Sort(p)
	for i, k := range p {
		if i == pageMembers {
			return l, p[i-1]
		}
		l = append(l, v.entries[k].record)
	}
	return l, ""
}

// Compare queues the records that are greater here than in l, so that the
// host that sent l learns them. l is the part of that host's records from
// position after to next.
func (v *View) Compare(l []*api.Member, after, next string) {
	m := make(map[string]*api.Member, len(l))
	for _, r := range l {
		m[position(r)] = r
	}
	for k, e := range v.entries {
		if k <= after || next != "" && k > next {
			continue
		}
		o := m[k]
		if o == nil && weight(e.record) != 0 || o != nil && supersedes(e.record, o) {
			v.queue[k] = &change{record: e.record}
		}
	}
}

// SetBackend notes the state of a backend server on the host list as read at
// the time now.
func (v *View) SetBackend(now time.Time, n sardineknot.BackendServerName, leaving bool) {
	s := sardineknot.EntryHostAlive
	if leaving {
		s = sardineknot.EntryHostLeaving
	}
	m := &api.Member{Id: string(n), Backend: true, Incarnation: uint64(now.UnixNano()), State: int32(s)}
	e := v.entries[position(m)]
	if e == nil && !leaving || e != nil && state(e.record) == s {
		return
	}
	if e != nil {
		m.Incarnation = max(m.Incarnation, e.record.GetIncarnation()+1)
	}
	v.put(now, m)
}
