// Package h2c provides clients and servers for calls between entry hosts. The
// calls use HTTP/2 without TLS, with one connection per peer and compressed
// headers.
//
// The transport counts the bytes sent and received on its connections in the
// metrics peer.bytes.sent and peer.bytes.received, because control traffic has
// a bandwidth budget. A connection that does not answer pings is closed, so
// that calls do not block on it.
package h2c

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	dialTimeout = time.Second
	// pingInterval is the time without received frames after which a ping is
	// sent. If the ping is not answered within pingTimeout, the connection is
	// closed.
	pingInterval = 2 * time.Second
	pingTimeout  = time.Second
	// idleTimeout is the time after which connections to peers that are no
	// longer called are closed.
	idleTimeout = 30 * time.Second
	// streamBytes bounds the bytes of a call that are kept until they are read. The
	// default is 4 MB for each call, and a host may hold many connections to servers
	// through its peers.
	streamBytes = 128 << 10
)

// Transport opens connections to peers and counts their traffic. It is safe for
// concurrent use.
type Transport struct {
	sent     metrics.Counter
	received metrics.Counter
	client   *http.Client
	streams  *http.Client
}

// NewTransport returns a transport that registers its metrics in r.
func NewTransport(r metrics.Registry) *Transport {
	t := &Transport{
		sent:     metrics.GetOrRegisterCounter("peer.bytes.sent", r),
		received: metrics.GetOrRegisterCounter("peer.bytes.received", r),
	}
	h := &http.Transport{
		DialContext:     t.dial,
		IdleConnTimeout: idleTimeout,
		Protocols:       protocols(),

		MaxResponseHeaderBytes: maxHeaderBytes,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout:           pingInterval,
			PingTimeout:               pingTimeout,
			MaxReceiveBufferPerStream: streamBytes,
		},
	}
	t.client = &http.Client{Transport: limitedTransport{h}}
	t.streams = &http.Client{Transport: h}
	return t
}

// Client returns a client for calls to any peer. It sets no timeout: callers
// bound each call by its context. Reading a response of more than 16 MiB fails with a
// sardineknot.UnavailableError.
func (t *Transport) Client() *http.Client { return t.client }

// StreamClient returns a client like Client whose responses may have any length. They
// must not be kept as a whole.
func (t *Transport) StreamClient() *http.Client { return t.streams }

// NewServer returns a server that serves calls from peers with h. Reading a request of
// more than 16 MiB fails with an http.MaxBytesError, unless its path is one of
// streamPaths.
func NewServer(h http.Handler, streamPaths ...string) *http.Server {
	return &http.Server{
		Handler: limitRequests(h, streamPaths), Protocols: protocols(), ReadHeaderTimeout: dialTimeout, IdleTimeout: 2 * idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		HTTP2: &http.HTTP2Config{MaxReceiveBufferPerStream: streamBytes},
	}
}

func protocols() *http.Protocols {
	p := new(http.Protocols)
	p.SetUnencryptedHTTP2(true)
	return p
}

func (t *Transport) dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	c, err := d.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: c, transport: t}, nil
}

// countingConn is a connection that counts the bytes sent and received.
type countingConn struct {
	net.Conn
	transport *Transport
}

// Read implements net.Conn.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.transport.received.Inc(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.transport.sent.Inc(int64(n))
	return n, err
}
