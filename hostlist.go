package sardineknot

import (
	"context"
	"net/netip"
)

// ListedRole distinguishes entry hosts from backend servers in the platform's
// host list.
type ListedRole string

// The roles of listed hosts.
const (
	// ListedEntryHost is the role of entry hosts.
	ListedEntryHost ListedRole = "entry"
	// ListedBackendServer is the role of backend servers.
	ListedBackendServer ListedRole = "backend"
)

// ListedHost is an entry in the platform's host list. It lags behind the actual
// state of the host.
type ListedHost struct {
	// Name is the EntryHostID or the BackendServerName, depending on Role.
	Name string
	// Role distinguishes entry hosts from backend servers.
	Role ListedRole
	// Address is the address for callers of an entry host, or the address of a
	// backend server.
	Address netip.AddrPort
	// PeerAddress is the address that other entry hosts connect to. It is set
	// for entry hosts only.
	PeerAddress netip.AddrPort
	// Zone is the availability zone of the host.
	Zone AvailabilityZone
	// Leaving is true if the host is shutting down.
	Leaving bool
}

// HostList provides the platform's list of live and leaving hosts.
type HostList interface {
	// Fetch returns the list. It fails with an UnavailableError if the
	// platform does not answer.
	Fetch(ctx context.Context) ([]ListedHost, error)
}
