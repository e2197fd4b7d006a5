package sardineknot

import "net/netip"

// Membership provides this host's view of the entry hosts.
type Membership interface {
	// Self returns this host.
	Self() EntryHost
	// Hosts returns the known hosts, including this one, ordered by ID. Dead
	// hosts are included until they are removed from the view.
	Hosts() []EntryHost
	// Isolated reports whether this host must stop admitting requests, because
	// it has lost contact with the platform's key-value service and with most
	// other hosts, or because the other hosts may have declared it dead.
	Isolated() bool
	// Changed returns a channel that is closed at the next change of Hosts.
	Changed() <-chan struct{}
}

// OtherHosts returns the hosts of members that are not known to be dead, without
// this host.
func OtherHosts(members Membership) []EntryHost {
	var l []EntryHost
	s := members.Self().ID
	for _, h := range members.Hosts() {
		if h.ID != s && h.State != EntryHostDead {
			l = append(l, h)
		}
	}
	return l
}

// FollowerSelector selects the entry hosts that read from the platform's
// key-value service. The other hosts read from these.
type FollowerSelector interface {
	// FollowsStore reports whether this host reads from the service.
	FollowsStore() bool
	// Peers returns the hosts that this host asks for changes, in the order in
	// which it tries them. It never contains this host.
	Peers() []EntryHost
}

// HostDirectory selects the entry hosts that callers connect to.
type HostDirectory interface {
	// Hosts returns at most limit hosts for a caller at the given address and
	// in the given zone. The result is stable for a caller while no host comes
	// or goes.
	Hosts(caller netip.Addr, zone AvailabilityZone, limit int) []EntryHost
}

// Ranker selects the owner of a shard among the live hosts. Hosts with the same
// membership view select the same owner.
type Ranker interface {
	// Owner returns the live host that ranks first for shard. ok is false if no
	// host is live.
	Owner(shard string) (host EntryHost, ok bool)
}
