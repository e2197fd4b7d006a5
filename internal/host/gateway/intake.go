package gateway

import (
	"github.com/rcrowley/go-metrics"

	"sardineknot.example/sardineknot/internal/caller/intake"
)

const (
	// otherConnections is the maximum number of connections to each address for lookups,
	// readiness checks and metrics, and peerConnections that of other hosts.
	otherConnections = 128
	peerConnections  = 600
	// refusedConnections is the maximum number of connections of callers whose calls are
	// refused, beyond those whose calls run. A refusal takes some milliseconds.
	refusedConnections = 64
)

// newGuard returns a guard of a server for at most the given number of connections.
func (p *Process) newGuard(connections int) *intake.Guard {
	return &intake.Guard{
		Connections: connections, HeadBytes: intake.HeadBytes(p.Settings.MemoryMegabytes), Clock: p.clock,
		Closed: metrics.GetOrRegisterCounter("callers.closed_connections", p.Metrics),
	}
}
