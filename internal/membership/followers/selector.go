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
	"sync"

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

	mu sync.Mutex
	// last is the last selection, which holds until the membership changes.
	last selection
}

// selection is what a host selects from a list of hosts.
type selection struct {
	self  sardineknot.EntryHost
	hosts []sardineknot.EntryHost
	// follows reports whether self is a follower. peers lists the other followers in the
	// order in which self tries them; it is never modified.
	follows bool
	peers   []sardineknot.EntryHost
}

// NewSelector returns a selector among the hosts of members.
func NewSelector(members sardineknot.Membership) *Selector {
	return &Selector{members: members}
}

// FollowsStore reports whether this host is one of the followers of its zone. A
// host that is leaving is not.
func (s *Selector) FollowsStore() bool { return s.current().follows }

// Peers returns the followers that this host asks, in the order in which it
// tries them: first those of its own zone and then those of the other zones,
// which come in an order that differs between hosts. It never contains this
// host. The result must not be modified.
func (s *Selector) Peers() []sardineknot.EntryHost { return s.current().peers }

// current returns the selection from the present membership.
func (s *Selector) current() selection {
	h := s.members.Self()
	l := s.members.Hosts()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.last.hosts == nil || h != s.last.self || !slices.Equal(l, s.last.hosts) {
		s.last = selectFrom(h, slices.Clone(l))
	}
	return s.last
}

// selectFrom returns the selection of self from hosts.
func selectFrom(self sardineknot.EntryHost, hosts []sardineknot.EntryHost) selection {
	r := selection{self: self, hosts: hosts}
	for _, z := range zones(hosts) {
		for _, f := range ofZone(hosts, z) {
			if f.ID == self.ID {
				r.follows = z == self.Zone
				continue
			}
			r.peers = append(r.peers, f)
		}
	}
	slices.SortStableFunc(r.peers, func(a, b sardineknot.EntryHost) int {
		return cmp.Or(
			cmp.Compare(distance(self, a), distance(self, b)),
			cmp.Compare(rendezvous.Weight(string(self.ID), a.ID), rendezvous.Weight(string(self.ID), b.ID)),
		)
	})
	return r
}

// ofZone returns the followers of a zone: the perZone live hosts with strong processors that
// rank first, by their links and then by their names.
func ofZone(hosts []sardineknot.EntryHost, zone sardineknot.AvailabilityZone) []sardineknot.EntryHost {
	var r []sardineknot.EntryHost
	for _, h := range hosts {
		if h.Zone == zone && h.State == sardineknot.EntryHostAlive {
			r = append(r, h)
		}
	}
	n := shardPrefix + string(zone)
	r = rendezvous.Strongest(r)
	m := strongLink(r)
	slices.SortFunc(r, func(a, b sardineknot.EntryHost) int {
		return cmp.Or(
			cmp.Compare(min(b.LinkMegabits, m), min(a.LinkMegabits, m)),
			cmp.Compare(rendezvous.Weight(n, b.ID), rendezvous.Weight(n, a.ID)),
		)
	})
	return r[:min(len(r), perZone)]
}

// strongShare is the part of the rate of the strongest link from which on a link is strong.
const strongShare = 0.5

// strongLink returns the rate from which on the links of hosts are strong, in megabits a
// second. All hosts of a zone read over the links of its followers, so that hosts with strong
// ones come first.
func strongLink(hosts []sardineknot.EntryHost) float64 {
	var m float64
	for _, h := range hosts {
		m = max(m, h.LinkMegabits)
	}
	return strongShare * m
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
