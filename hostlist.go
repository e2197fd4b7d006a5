package sardineknot

import (
	"context"
	"net/netip"
)

// ListedRole tells what a listed host is.
type ListedRole string

// The roles of listed hosts.
const (
	// ListedEntryHost is an entry host.
	ListedEntryHost ListedRole = "entry"
	// ListedBackendServer is a backend server.
	ListedBackendServer ListedRole = "backend"
)

// ListedHost is one entry of the platform's host list. It lags behind the
// host.
type ListedHost struct {
	// Name is the EntryHostID or the BackendServerName.
	Name string
	// Role tells which of the two.
	Role ListedRole
	// Address is the address for callers, or that of the backend server.
	Address netip.AddrPort
	// PeerAddress is set for entry hosts only.
	PeerAddress netip.AddrPort
	// Zone is the availability zone.
	Zone AvailabilityZone
	// Leaving reports that the host is about to go.
	Leaving bool
}

// HostList is the platform's list of live and leaving hosts.
type HostList interface {
	// Fetch returns the list. It fails with an UnavailableError if the
	// platform does not answer.
	Fetch(ctx context.Context) ([]ListedHost, error)
}
