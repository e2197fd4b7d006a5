// Package h2c carries the calls between entry hosts: HTTP/2 without TLS, one
// connection for each peer, with compressed headers.
//
// It counts the bytes on these connections in the metrics peer.bytes.sent and
// peer.bytes.received, since control traffic has a budget. A connection that
// answers no ping is closed, so that a silent one does not hold up calls.
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
	// pingAfter and pingTimeout bound the life of a silent connection.
	pingAfter   = 2 * time.Second
	pingTimeout = time.Second
	// idleTimeout ends connections to peers that are no longer called.
	idleTimeout = 30 * time.Second
)

// Transport opens connections to peers. It is safe for concurrent use.
type Transport struct {
	sent     metrics.Counter
	received metrics.Counter
	client   *http.Client
}

// NewTransport returns a transport that counts in r.
func NewTransport(r metrics.Registry) *Transport {
	t := &Transport{
		sent:     metrics.GetOrRegisterCounter("peer.bytes.sent", r),
		received: metrics.GetOrRegisterCounter("peer.bytes.received", r),
	}
	h := &http.Transport{
		DialContext:     t.dial,
		IdleConnTimeout: idleTimeout,
		Protocols:       protocols(),
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: pingAfter,
			PingTimeout:     pingTimeout,
		},
	}
	t.client = &http.Client{Transport: h}
	return t
}

// Client returns a client for calls to any peer. Calls are bounded by their
// contexts.
func (t *Transport) Client() *http.Client { return t.client }

// NewServer returns a server that takes calls of peers for h.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, Protocols: protocols(), ReadHeaderTimeout: dialTimeout}
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
	return &conn{Conn: c, transport: t}, nil
}

// conn counts bytes.
type conn struct {
	net.Conn
	transport *Transport
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.transport.received.Inc(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.transport.sent.Inc(int64(n))
	return n, err
}
