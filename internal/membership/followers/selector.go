// Package followers selects the entry hosts that read the platform's key-value
// service, and those that a host asks instead of reading the service itself.
//
// In every availability zone a few live hosts follow the service, so that the
// number of calls does not grow with the number of hosts. All other hosts read
// the changes from the followers of their own zone or, while these fail, from
// followers of other zones. Hosts with the same view of the membership select
// the same followers. Different views cost calls, but nothing else.
package followers

import (
	"cmp"
	"slices"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/membership/rendezvous"
)

// perZone is the number of followers in each zone. More than one is needed so
// that the end of one does not send a whole zone elsewhere.
const perZone = 2

// shardPrefix and the name of a zone form the name of the shard for which hosts
// are ranked as followers.
const shardPrefix = "followers#"

// Selector selects followers among the live hosts of a membership. It is safe
// for concurrent use.
type Selector struct {
	members sardineknot.Membership
}

// NewSelector returns a selector among the hosts of members.
func NewSelector(members sardineknot.Membership) *Selector {
	return &Selector{members: members}
}

// FollowsStore reports whether this host is one of the followers of its zone. A
// host that is leaving is not.
func (s *Selector) FollowsStore() bool {
	h := s.members.Self()
	for _, f := range s.ofZone(s.members.Hosts(), h.Zone) {
		if f.ID == h.ID {
			return true
		}
	}
	return false
}

// Peers returns the followers that this host asks, in the order in which it
// tries them: first those of its own zone and then those of the other zones,
// which come in an order that differs between hosts. It never contains this
// host.
func (s *Selector) Peers() []sardineknot.EntryHost {
	h := s.members.Self()
	l := s.members.Hosts()
	var r []sardineknot.EntryHost
	for _, z := range zones(l) {
		for _, f := range s.ofZone(l, z) {
			if f.ID != h.ID {
				r = append(r, f)
			}
		}
	}
	slices.SortStableFunc(r, func(a, b sardineknot.EntryHost) int {
		return cmp.Or(
			cmp.Compare(distance(h, a), distance(h, b)),
			cmp.Compare(rendezvous.Weight(string(h.ID), a.ID), rendezvous.Weight(string(h.ID), b.ID)),
		)
	})
	return r
}

// ofZone returns the followers of a zone: the perZone live hosts that rank
// first.
func (s *Selector) ofZone(hosts []sardineknot.EntryHost, zone sardineknot.AvailabilityZone) []sardineknot.EntryHost {
	var r []sardineknot.EntryHost
	for _, h := range hosts {
		if h.Zone == zone && h.State == sardineknot.EntryHostAlive {
			r = append(r, h)
		}
	}
	n := shardPrefix + string(zone)
	r = rendezvous.Strongest(r)
	slices.SortFunc(r, func(a, b sardineknot.EntryHost) int {
		return cmp.Compare(rendezvous.Weight(n, b.ID), rendezvous.Weight(n, a.ID))
	})
	return r[:min(len(r), perZone)]
}

// zones returns the zones of hosts in the order of their names.
func zones(hosts []sardineknot.EntryHost) []sardineknot.AvailabilityZone {
	var z []sardineknot.AvailabilityZone
	for _, h := range hosts {
		z = append(z, h.Zone)
	}
	slices.Sort(z)
	return slices.Compact(z)
}

// distance returns 0 if both hosts are in the same zone, and 1 otherwise.
func distance(a, b sardineknot.EntryHost) int {
	if a.Zone == b.Zone {
		return 0
	}
	return 1
}
