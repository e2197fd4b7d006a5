package sardineknot

// Membership tells which entry hosts are live, as this host sees it.
type Membership interface {
	// Self returns this host.
	Self() EntryHost
	// Hosts returns the known hosts, this one included, ordered by ID. Hosts
	// that are dead are included until they are forgotten.
	Hosts() []EntryHost
	// Isolated reports that this host lost the platform's service and most
	// other hosts. An isolated host admits nothing.
	Isolated() bool
	// Changed returns a channel that is closed at the next change of Hosts.
	Changed() <-chan struct{}
}

// Ranker picks the owner of a shard among live hosts. All hosts with the same
// view pick the same owner.
type Ranker interface {
	// Owner returns the live host that ranks first for shard. ok is false if
	// no host is live.
	Owner(shard string) (h EntryHost, ok bool)
}
