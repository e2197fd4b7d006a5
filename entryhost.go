package sardineknot

import "net/netip"

// EntryHostID identifies an entry host across its restarts.
type EntryHostID string

// Incarnation numbers the lives of an entry host. A later start of the same
// host has a greater number. Zero is not a valid incarnation.
type Incarnation uint64

// EntryHostState is the state of an entry host as seen by its peers.
type EntryHostState int

// The states of an entry host, in the order in which they supersede each
// other within one incarnation.
const (
	// EntryHostAlive admits requests and owns shards.
	EntryHostAlive EntryHostState = iota
	// EntryHostSuspect missed heartbeats. It keeps its shards.
	EntryHostSuspect
	// EntryHostLeaving finishes what it has and admits nothing new.
	EntryHostLeaving
	// EntryHostDead owns nothing. Its engine requests may be cancelled.
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

// EntryHost is one process of the system.
type EntryHost struct {
	// ID is unique among the entry hosts of a deployment.
	ID EntryHostID
	// Incarnation is not zero and grows with every start.
	Incarnation Incarnation
	// CallerAddress is the address that callers connect to.
	CallerAddress netip.AddrPort
	// PeerAddress is the address that other entry hosts connect to.
	PeerAddress netip.AddrPort
	// Zone is the availability zone of the host.
	Zone AvailabilityZone
	// State only moves forward within one incarnation, except that a suspect
	// host may return to alive.
	State EntryHostState
}
