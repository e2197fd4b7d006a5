// Package lookup selects the entry hosts that a caller should connect to.
//
// A caller is sent to the hosts of its own availability zone, and to hosts of
// other zones only as far as its zone has too few. Callers drop connections to
// hosts that are no longer selected, so the selection for a caller changes only
// when hosts come or go. If more hosts qualify than an answer may hold, callers
// get different parts of them, so that all hosts are used.
package lookup

import (
	"cmp"
	"net/netip"
	"slices"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/membership/rendezvous"
)

const (
	// minHosts is the least number of hosts that a caller gets, if as many are
	// alive.
	minHosts = 16
	// fairShareDivisor sets the number of hosts below which a zone has too few:
	// the mean number of hosts of a zone divided by it. Otherwise the callers of
	// a zone that has lost most of its hosts would overload the others.
	fairShareDivisor = 2
)

// Directory selects entry hosts for callers. It is safe for concurrent use.
type Directory struct {
	members sardineknot.Membership
}

// NewDirectory returns a directory of the hosts of members.
func NewDirectory(members sardineknot.Membership) *Directory {
	return &Directory{members: members}
}

// Hosts returns at most limit alive hosts for a caller at the given address and
// zone.
func (d *Directory) Hosts(caller netip.Addr, zone sardineknot.AvailabilityZone, limit int) []sardineknot.EntryHost {
	l := d.alive()
	n := 0
	z := make(map[sardineknot.AvailabilityZone]bool)
	for _, h := range l {
		z[h.Zone] = true
		if h.Zone == zone {
			n++
		}
	}
	m := minHosts
	if len(z) > 0 {
		m = max(m, len(l)/(fairShareDivisor*len(z)))
	}
	sortForCaller(l, caller, zone)
	return l[:min(len(l), limit, max(n, m))]
}

// alive returns the hosts that are alive. It includes this host unless it is
// leaving.
func (d *Directory) alive() []sardineknot.EntryHost {
	var l []sardineknot.EntryHost
	for _, h := range d.members.Hosts() {
		if h.State == sardineknot.EntryHostAlive {
			l = append(l, h)
		}
	}
	return l
}

// sortForCaller puts the hosts of zone first and orders hosts by rendezvous
// hashing of the caller otherwise.
func sortForCaller(hosts []sardineknot.EntryHost, caller netip.Addr, zone sardineknot.AvailabilityZone) {
	k := caller.String() + "\x00" + string(zone)
	w := make(map[sardineknot.EntryHostID]uint64, len(hosts))
	for _, h := range hosts {
		w[h.ID] = rendezvous.Weight(k, h.ID)
	}
	slices.SortFunc(hosts, func(a, b sardineknot.EntryHost) int {
		if x, y := a.Zone == zone, b.Zone == zone; x != y {
			if x {
				return -1
			}
			return 1
		}
		return cmp.Compare(w[b.ID], w[a.ID])
	})
}
