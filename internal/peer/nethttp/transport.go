// Package nethttp makes HTTP/1.1 calls with net/http to peers whose responses may be broken. A
// response with a malformed head, or one that a reset broke off, is an error whichever way its
// body is framed.
package nethttp

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"

	"sardineknot.example/sardineknot/internal/backend/tcp"
	"sardineknot.example/sardineknot/internal/peer/responsehead"
)

// Transport is an http.RoundTripper. It is safe for concurrent use.
type Transport struct {
	base *http.Transport
}

var _ http.RoundTripper = (*Transport)(nil)

// NewTransport returns a transport with the settings of base, whose DialContext it sets. base
// must not be used any more. It must not be set to use TLS or HTTP/2.
func NewTransport(base *http.Transport) *Transport {
	base.DialContext = dial
	return &Transport{base: base}
}

// dial connects to address.
func dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := tcp.Dialer{}.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return responsehead.NewConn(c), nil
}

// RoundTrip implements http.RoundTripper. It fails with a sardineknot.MalformedHeadError if the
// head of the response is malformed.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{GotConn: begin})
	return t.base.RoundTrip(r.WithContext(ctx))
}

// begin begins the head of a response on the connection that a request is about to use.
func begin(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*responsehead.Conn)
	if ok {
		_ = c.Begin(nil) // reads fail with the same error
	}
}

// CloseIdleConnections closes the connections that no request uses.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }
