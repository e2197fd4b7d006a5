package sardineknot

import "net/netip"

// EntryHostID identifies an entry host. It does not change when the host
// restarts.
type EntryHostID string

// Incarnation distinguishes the successive processes of an entry host. It
// increases with every start. Zero is not a valid incarnation.
type Incarnation uint64

// EntryHostState is the state of an entry host as seen by its peers.
type EntryHostState int

// The states of an entry host. Within one incarnation, a later state supersedes
// an earlier one.
const (
	// EntryHostAlive marks a host that admits requests and owns shards.
	EntryHostAlive EntryHostState = iota
	// EntryHostSuspect marks a host that missed heartbeats. It keeps its
	// shards.
	EntryHostSuspect
	// EntryHostLeaving marks a host that finishes its requests and admits no
	// new ones.
	EntryHostLeaving
	// EntryHostDead marks a host that owns no shards. Its requests on engines
	// may be cancelled.
	EntryHostDead
)

// String returns the lower-case name of s, or "unknown".
func (s EntryHostState) String() string {
	switch s {
	case EntryHostAlive:
		return "alive"
	case EntryHostSuspect:
		return "suspect"
	case EntryHostLeaving:
		return "leaving"
	case EntryHostDead:
		return "dead"
	default:
		return "unknown"
	}
}

// EntryHost describes one entry host process, which accepts requests from
// callers and routes them to backend servers.
type EntryHost struct {
	// ID is unique among the entry hosts of a deployment.
	ID EntryHostID
	// Incarnation is not zero and increases with every start.
	Incarnation Incarnation
	// CallerAddress is the address that callers connect to.
	CallerAddress netip.AddrPort
	// PeerAddress is the address that other entry hosts connect to.
	PeerAddress netip.AddrPort
	// Zone is the availability zone of the host.
	Zone AvailabilityZone
	// Processor is the processor capacity of the host, in cores. Zero means
	// unknown.
	Processor float64
	// LinkMegabits is the rate of the network link of the host in megabits a second. Zero
	// means unknown.
	LinkMegabits float64
	// State only advances within one incarnation, except that a suspect host
	// may become alive again.
	State EntryHostState
}
