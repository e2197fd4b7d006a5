package sardineknot

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

// Ranker selects the owner of a shard among the live hosts. Hosts with the same
// membership view select the same owner.
type Ranker interface {
	// Owner returns the live host that ranks first for shard. ok is false if no
	// host is live.
	Owner(shard string) (host EntryHost, ok bool)
}
