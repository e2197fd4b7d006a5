package sardineknot

import (
	"context"
	"fmt"
	"net"
	"net/netip"
)

// TunnelOpener opens connections to backend servers through other entry hosts.
// Implementations are safe for concurrent use.
type TunnelOpener interface {
	// Open connects to the backend server at address through host. It fails with a
	// NotReachedError if host reaches servers but not this one, and with another
	// error if host opens no tunnels. Nothing was sent to the server then.
	Open(ctx context.Context, host EntryHost, address netip.AddrPort) (net.Conn, error)
}

// TunnelConn is a connection through another entry host.
type TunnelConn interface {
	net.Conn
	// Host returns the host.
	Host() EntryHostID
	// ServerEnded reports whether the connection has ended because the server closed or
	// reset it, as the host has reported.
	ServerEnded() bool
}

// ServerDialer connects to backend servers. Implementations are safe for concurrent
// use.
type ServerDialer interface {
	// Dial connects to the backend server at address. The result is a TunnelConn if
	// the connection goes through another entry host. A read of the connection fails
	// with io.EOF only if the server has closed it in an orderly way: the kernel reports
	// a reset once, possibly to a write.
	Dial(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	// Usable reports whether a connection of Dial that has been idle may be used for
	// another request.
	Usable(connection net.Conn) bool
	// ReportSilence records that several servers have not answered requests for some
	// time.
	ReportSilence()
}

// NotReachedError reports that a backend server was not reached through another entry
// host, which reaches other servers.
type NotReachedError struct {
	Host   EntryHostID
	Server netip.AddrPort
}

// Error implements error.
func (e *NotReachedError) Error() string {
	return fmt.Sprintf("%s does not reach %s", e.Host, e.Server)
}

// CutError reports that an entry host reaches no backend servers.
type CutError struct {
	Host EntryHostID
}

// Error implements error.
func (e *CutError) Error() string { return fmt.Sprintf("%s reaches no servers", e.Host) }
