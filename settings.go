package sardineknot

import (
	"net/netip"
	"time"
)

// Settings configures one entry host. The host keeps them for its whole life.
type Settings struct {
	// ID identifies the host. It is required.
	ID EntryHostID
	// Region and Zone tell where the host is. They are required.
	Region Region
	Zone   AvailabilityZone
	// Zones lists the availability zones of the deployment. It contains Zone.
	Zones []AvailabilityZone
	// CallerAddress, PeerAddress and AdminAddress are the addresses to listen
	// on for callers, for other entry hosts and for metrics and probes. They
	// are required and differ.
	CallerAddress netip.AddrPort
	PeerAddress   netip.AddrPort
	AdminAddress  netip.AddrPort
	// Store is the address of the platform's key-value service. It is
	// required.
	Store netip.AddrPort
	// HostList is the address of the platform's host list. It is required.
	HostList netip.AddrPort
	// StoreTimeout bounds a call to the store. Zero means two seconds.
	StoreTimeout time.Duration
	// PlacementValidity is the time for which callers keep the answer to
	// which entry host to use. Zero means 30 s.
	PlacementValidity time.Duration
	// ReconnectGrace is the time for which an answer without a reader goes
	// on. Zero means 500 ms.
	ReconnectGrace time.Duration
	// AnswerRetention is the time for which a finished answer can be read
	// again. Zero means 60 s.
	AnswerRetention time.Duration
	// StreamProgress is the longest silence of an engine's stream. Zero means
	// one second.
	StreamProgress time.Duration
	// Heartbeat is the interval between heartbeats to other entry hosts. Zero
	// means one second.
	Heartbeat time.Duration
	// DrainLimit is the longest time that a planned stop waits for running
	// answers, after PlacementValidity. Zero means ten minutes.
	DrainLimit time.Duration
	// LogLevel is one of "debug", "info", "warn" and "error". Empty means
	// "info".
	LogLevel string
}
