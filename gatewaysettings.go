package sardineknot

import (
	"cmp"
	"net/netip"
	"time"
)

// GatewaySettings holds the settings of an entry host that runs as a gateway on
// the users' platform.
type GatewaySettings struct {
	// ID identifies the host. It is required.
	ID EntryHostID
	// Region and Zone are the location of the host. Zone is required.
	Region Region
	Zone   AvailabilityZone
	// CallerAddress is the listen address for calls, ReadyAddress for the
	// platform's readiness checks, LookupAddress for callers that look up entry
	// hosts, and PeerAddress for other entry hosts. All four are required and
	// must differ.
	CallerAddress netip.AddrPort
	ReadyAddress  netip.AddrPort
	LookupAddress netip.AddrPort
	PeerAddress   netip.AddrPort
	// MetricsAddress is the listen address for metrics in text format. It is
	// required.
	MetricsAddress netip.AddrPort
	// Store is the address of the platform's key-value service. It is
	// required.
	Store netip.AddrPort
	// MemoryMegabytes is the memory limit of the process. Zero means unlimited.
	MemoryMegabytes int64
	// MaxDescriptors is the maximum number of descriptors that the process may open. Zero
	// means the limit of the operating system.
	MaxDescriptors int
	// ProcessorShare is the part of a core that the process may use, and
	// ProcessorSpeed how many times as fast as a usual core it is. Zero means
	// unknown for the share and 1 for the speed.
	ProcessorShare float64
	ProcessorSpeed float64
	// LinkMegabits is the rate of the network link of the host in megabits a second. Zero
	// means unknown.
	LinkMegabits float64
	// StopLimit is the time that the platform gives the process to stop before
	// it kills the process. Zero means 8 s.
	StopLimit time.Duration
	// ConfigurationBound is the time within which a change of the configuration must have
	// reached the host, and LeavingBound the same for a backend server that is leaving. The shorter
	// one holds for all that the host reads from the platform's key-value service. Zero means
	// the other one, or 2 s if both are zero.
	ConfigurationBound time.Duration
	LeavingBound       time.Duration
	// RetryRatio and RetrySlack limit the retries of a service, across all
	// entry hosts and over ten seconds, to RetryRatio times the number of calls
	// plus RetrySlack.
	RetryRatio float64
	RetrySlack float64
	// AccountExcess is the part of the limit of a client account that all hosts together
	// may admit beyond it while they cannot reach its owner. Zero means 0.1.
	AccountExcess float64
	// LogLevel is one of "debug", "info", "warn" and "error". Empty means
	// "info".
	LogLevel string
}

// Processor returns the processor capacity of the host in usual cores. Zero
// means unknown.
func (s GatewaySettings) Processor() float64 {
	if s.ProcessorSpeed == 0 {
		return s.ProcessorShare
	}
	return s.ProcessorShare * s.ProcessorSpeed
}

// defaultReadBound is the bound of what a host reads if the settings have none.
const defaultReadBound = 2 * time.Second

// ReadBound returns the time within which each change in the platform's key-value service
// must have reached the host.
func (s GatewaySettings) ReadBound() time.Duration {
	c := cmp.Or(s.ConfigurationBound, s.LeavingBound, defaultReadBound)
	return min(c, cmp.Or(s.LeavingBound, c))
}
