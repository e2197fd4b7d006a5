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
	// maxFlaps is the maximum of entry.flaps, the flap count of a host. It
	// bounds the time for which a host that no longer flaps is still reported
	// as suspect.
	maxFlaps = 6
	// flapThreshold is the flap count from which an alive host is reported as
	// suspect.
	flapThreshold = 3
	// pageSize is the maximum number of records in a page.
	pageSize = 64
)

// Hosts returns the entry hosts, ordered by ID. A flapping host is reported as
// suspect, so that it keeps its shards but is not offered to callers.
func (v *View) Hosts(now time.Time) []sardineknot.EntryHost {
	l := make([]sardineknot.EntryHost, 0, len(v.entries))
	for _, e := range v.entries {
		if e.record.GetBackend() {
			continue
		}
		h := EntryHost(e.record)
		if h.State == sardineknot.EntryHostAlive && v.isFlapping(now, e) {
			h.State = sardineknot.EntryHostSuspect
		}
		l = append(l, h)
	}
	slices.SortFunc(l, func(a, b sardineknot.EntryHost) int { return cmp.Compare(a.ID, b.ID) })
	return l
}

// isFlapping reports whether the decayed flap count of e has reached
// flapThreshold.
func (v *View) isFlapping(now time.Time, e *entry) bool {
	n := e.flaps - int(now.Sub(e.lastFlapAt)/(flapDecayIntervals*v.interval))
	return n >= flapThreshold
}

// FlappingHosts returns the number of alive hosts that Hosts reports as suspect
// because they are flapping.
func (v *View) FlappingHosts(now time.Time) int {
	var n int
	for _, e := range v.entries {
		if !e.record.GetBackend() && state(e.record) == sardineknot.EntryHostAlive && v.isFlapping(now, e) {
			n++
		}
	}
	return n
}

// LeavingBackends returns the backend servers that are leaving according to the
// host list.
func (v *View) LeavingBackends() map[sardineknot.BackendServerName]bool {
	m := make(map[sardineknot.BackendServerName]bool)
	for _, e := range v.entries {
		if e.record.GetBackend() && state(e.record) == sardineknot.EntryHostLeaving {
			m[sardineknot.BackendServerName(e.record.GetId())] = true
		}
	}
	return m
}

// MostHostsLost reports whether fewer than half of the other entry hosts are
// alive. Hosts that are leaving, or were when they died, are not counted.
func (v *View) MostHostsLost() bool {
	var n, a int
	for k, e := range v.entries {
		if k == v.selfKey || e.record.GetBackend() || e.leftBeforeDeath || state(e.record) == sardineknot.EntryHostLeaving {
			continue
		}
		n++
		if state(e.record) == sardineknot.EntryHostAlive {
			a++
		}
	}
	return 2*a < n
}

// Fingers returns the hosts to exchange heartbeats with. Hosts that are not
// dead are placed on a ring in the order of a hash of their identifiers; the
// fingers are those at distances of powers of two after this host. A change
// that every host forwards to its fingers reaches all n hosts in log2(n) steps,
// and every host is probed by the same number of others.
func (v *View) Fingers() []*api.Member {
	if v.fingersVersion == v.version {
		return v.fingers
	}
	r := v.ring()
	i := slices.IndexFunc(r, func(m *api.Member) bool { return recordKey(m) == v.selfKey })
	v.fingers = nil
	for d := 1; d < len(r); d *= 2 {
		v.fingers = append(v.fingers, r[(i+d)%len(r)])
	}
	v.fingersVersion = v.version
	return v.fingers
}

// DeadHosts returns the entry hosts that died without leaving first, ordered by
// ID.
func (v *View) DeadHosts() []*api.Member {
	var l []*api.Member
	for _, e := range v.entries {
		if state(e.record) == sardineknot.EntryHostDead && !e.leftBeforeDeath {
			l = append(l, e.record)
		}
	}
	slices.SortFunc(l, func(a, b *api.Member) int { return strings.Compare(a.GetId(), b.GetId()) })
	return l
}

// ring returns the entry hosts that are not dead, and always this host, in ring
// order.
func (v *View) ring() []*api.Member {
	var l []*api.Member
	for k, e := range v.entries {
		if k == v.selfKey || !e.record.GetBackend() && state(e.record) != sardineknot.EntryHostDead {
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

// Changes returns at most limit records to disseminate, those with the fewest
// transmissions first, and counts one transmission for each. A record is
// returned at most transmitLimit times.
func (v *View) Changes(limit int) []*api.Member {
	l := make([]*change, 0, len(v.queue))
	for _, c := range v.queue {
		l = append(l, c)
	}
	slices.SortFunc(l, func(a, b *change) int {
		return cmp.Or(cmp.Compare(a.transmissions, b.transmissions), strings.Compare(recordKey(a.record), recordKey(b.record)))
	})
	var r []*api.Member
	for _, c := range l[:min(limit, len(l))] {
		r = append(r, c.record)
		c.transmissions++
		if c.transmissions >= v.transmitLimit() {
			delete(v.queue, recordKey(c.record))
		}
	}
	return r
}

// Pending returns the number of records that are still to be disseminated.
func (v *View) Pending() int { return len(v.queue) }

// transmitLimit returns the number of messages that carry a change. It grows
// with the logarithm of the number of records.
func (v *View) transmitLimit() int { return 2 + 2*CeilLog2(len(v.entries)) }

// CeilLog2 returns the binary logarithm of n, rounded up, and zero for n < 2.
// It is the number of forwarding steps in which a change reaches n hosts.
func CeilLog2(n int) int { return bits.Len(uint(max(n-1, 0))) }

// Page returns up to pageSize records with keys greater than lastKey, in key
// order, and the key to pass to the next call. lastKey is empty for the first
// page. next is empty after the last page.
func (v *View) Page(lastKey string) (l []*api.Member, next string) {
	var p []string
	for k := range v.entries {
		if k > lastKey {
			p = append(p, k)
		}
	}
	slices.Sort(p)
	for i, k := range p {
		if i == pageSize {
			return l, p[i-1]
		}
		l = append(l, v.entries[k].record)
	}
	return l, ""
}

// QueueMissing queues the records that a peer lacks or holds in a superseded
// version, so that the peer receives them. l is a page of the peer's records:
// it contains every record of the peer whose key is greater than lowKey and at
// most highKey. An empty highKey means that there is no upper bound. Records
// with other keys are not queued.
func (v *View) QueueMissing(l []*api.Member, lowKey, highKey string) {
	m := make(map[string]*api.Member, len(l))
	for _, r := range l {
		m[recordKey(r)] = r
	}
	for k, e := range v.entries {
		if k <= lowKey || highKey != "" && k > highKey {
			continue
		}
		o := m[k]
		if o == nil && digestTerm(e.record) != 0 || o != nil && supersedes(e.record, o) {
			v.queue[k] = &change{record: e.record}
		}
	}
}

// SetBackend records whether the platform's host list shows the backend server
// n as leaving. now is the time at which the list was read.
func (v *View) SetBackend(now time.Time, n sardineknot.BackendServerName, leaving bool) {
	s := sardineknot.EntryHostAlive
	if leaving {
		s = sardineknot.EntryHostLeaving
	}
	m := &api.Member{Id: string(n), Backend: true, Incarnation: uint64(now.UnixNano()), State: int32(s)}
	e := v.entries[recordKey(m)]
	if e == nil && !leaving || e != nil && state(e.record) == s {
		return
	}
	if e != nil {
		m.Incarnation = max(m.Incarnation, e.record.GetIncarnation()+1)
	}
	v.put(now, m)
}
