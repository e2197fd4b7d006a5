// Package reach connects an entry host to backend servers, through another entry host
// while it reaches none itself.
//
// A host may be cut from all servers while callers, the platform's store and the other
// hosts still reach it. Its dialer notices that when a connection to a server fails, or
// is slow to open: it then dials other servers, of other services too, and if none of
// them connects either, but the server connects through another host, the host is cut.
// A server that is silent, or all servers of a service that are gone, are thus no cut.
// While the host is cut, all connections go through hosts that are not, each through
// one of them, and the host dials a server from time to time to find the end of the
// cut. While nothing fails, nothing is sent.
package reach
