package sardineknot

import (
	"net/netip"
	"time"
)

// GatewaySettings configures an entry host on the users' platform.
type GatewaySettings struct {
	// ID identifies the host. It is required.
	ID EntryHostID
	// Region and Zone tell where the host is. Zone is required.
	Region Region
	Zone   AvailabilityZone
	// CallerAddress takes calls, ReadyAddress and LookupAddress what the
	// platform and callers ask about hosts, and PeerAddress other entry hosts.
	// They are required and differ.
	CallerAddress netip.AddrPort
	ReadyAddress  netip.AddrPort
	LookupAddress netip.AddrPort
	PeerAddress   netip.AddrPort
	// MetricsAddress serves the metrics as text. It is required.
	MetricsAddress netip.AddrPort
	// Store is the address of the platform's key-value service. It is
	// required.
	Store netip.AddrPort
	// MemoryMegabytes is the memory that the process may use. Zero means that
	// it is not bounded.
	MemoryMegabytes int64
	// StopLimit is the time after which a process that was asked to stop is
	// killed. Zero means 8 s.
	StopLimit time.Duration
	// RetryRatio and RetrySlack bound the retries of a service: a share of the
	// calls, and a number beside, over all hosts and ten seconds.
	RetryRatio float64
	RetrySlack float64
	// LogLevel is one of "debug", "info", "warn" and "error". Empty means
	// "info".
	LogLevel string
}
