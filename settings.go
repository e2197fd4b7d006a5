package sardineknot

import (
	"net/netip"
	"time"
)

// Settings holds the settings of one entry host. They do not change while the
// host runs.
type Settings struct {
	// ID identifies the host. It is required.
	ID EntryHostID
	// Region and Zone are the location of the host. They are required.
	Region Region
	Zone   AvailabilityZone
	// Zones lists the availability zones of the deployment, including Zone.
	Zones []AvailabilityZone
	// CallerAddress, PeerAddress and AdminAddress are the listen addresses for
	// callers, for other entry hosts, and for metrics and probes. They are
	// required and must differ.
	CallerAddress netip.AddrPort
	PeerAddress   netip.AddrPort
	AdminAddress  netip.AddrPort
	// Store is the address of the platform's key-value service. It is
	// required.
	Store netip.AddrPort
	// HostList is the address of the platform's host list. It is required.
	HostList netip.AddrPort
	// StoreTimeout is the time limit of a call to the store. Zero means two
	// seconds.
	StoreTimeout time.Duration
	// PlacementValidity is the time for which callers may cache the list of
	// entry hosts to use. Zero means 30 s.
	PlacementValidity time.Duration
	// ReconnectGrace is the time for which an answer continues after its caller
	// has disconnected. Zero means 500 ms.
	ReconnectGrace time.Duration
	// AnswerRetention is the time for which a finished answer can be read
	// again. Zero means 60 s.
	AnswerRetention time.Duration
	// StreamProgress is the maximum time without a token on an engine's stream,
	// after which the stream counts as interrupted. Zero means one second.
	StreamProgress time.Duration
	// Heartbeat is the interval between heartbeats to other entry hosts. Zero
	// means one second.
	Heartbeat time.Duration
	// DrainLimit is the maximum time that a planned stop waits for running
	// answers, counted from the end of PlacementValidity. Zero means ten
	// minutes.
	DrainLimit time.Duration
	// LogLevel is one of "debug", "info", "warn" and "error". Empty means
	// "info".
	LogLevel string
}
