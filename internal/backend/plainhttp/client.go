// Package plainhttp is an HTTP client of plain services.
//
// The header Idempotency-Key holds the key of the request. A service that did
// not run a call responds with status 503 or 429.
//
// The end of the connection may be the end of an answer that has neither a length
// nor chunks. Such an answer is complete only if the connection was not reset, and the
// service still accepts connections after it; otherwise the outcome of the call is
// unknown.
package plainhttp

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/peer/nethttp"
)

// maxResponseBytes bounds the body of a response.
const maxResponseBytes = 4 << 20

// Client is a sardineknot.PlainServiceClient. It is safe for concurrent use.
type Client struct {
	// pooled reuses connections. It is used for calls that may be repeated.
	pooled *nethttp.Transport
	// unpooled opens a connection for each call. It is used for unrepeatable
	// calls, since net/http may send a request again if a reused connection
	// fails.
	unpooled *nethttp.Transport
}

var _ sardineknot.PlainServiceClient = (*Client)(nil)

// NewClient returns a client without open connections.
func NewClient() *Client {
	return &Client{
		pooled:   nethttp.NewTransport(&http.Transport{MaxIdleConnsPerHost: 32}),
		unpooled: nethttp.NewTransport(&http.Transport{DisableKeepAlives: true}),
	}
}

// Call implements sardineknot.PlainServiceClient.
func (c *Client) Call(ctx context.Context, server sardineknot.BackendServer, call sardineknot.ServiceCall) (sardineknot.ServiceAnswer, error) {
	var w atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { w.Store(true) },
	})
	h, err := request(ctx, server, call)
	if err != nil {
		return sardineknot.ServiceAnswer{}, err
	}
	p, err := c.transport(call).RoundTrip(h)
	if err != nil && !w.Load() {
		return sardineknot.ServiceAnswer{}, errors.WithStack(&sardineknot.NotRunError{Reason: string(server.Name) + " does not accept connections"})
	}
	if err != nil {
		return sardineknot.ServiceAnswer{}, c.wrapUnavailable(server, err)
	}
	defer p.Body.Close()
	if p.StatusCode == http.StatusServiceUnavailable || p.StatusCode == http.StatusTooManyRequests {
		return sardineknot.ServiceAnswer{}, errors.WithStack(&sardineknot.RefusedError{Server: server.Name, Status: p.StatusCode})
	}
	b, err := io.ReadAll(io.LimitReader(p.Body, maxResponseBytes+1))
	if err == nil && len(b) > maxResponseBytes {
		err = errors.Errorf("answer is longer than %d bytes", maxResponseBytes)
	}
	if err == nil {
		err = confirmEnd(ctx, server, p)
	}
	if err != nil {
		return sardineknot.ServiceAnswer{}, c.wrapUnavailable(server, err)
	}
	return sardineknot.ServiceAnswer{Status: p.StatusCode, ContentType: p.Header.Get("Content-Type"), Body: b}, nil
}

// request returns the HTTP request of call to server.
func request(ctx context.Context, server sardineknot.BackendServer, call sardineknot.ServiceCall) (*http.Request, error) {
	h, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+server.Address.String()+"/"+server.Service, bytes.NewReader(call.Body))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	h.Header.Set("Content-Type", call.ContentType)
	h.Header.Set("Idempotency-Key", call.Key.String())
	return h, nil
}

// transport returns the transport for call.
func (c *Client) transport(call sardineknot.ServiceCall) *nethttp.Transport {
	if call.Work.Unrepeatable {
		return c.unpooled
	}
	return c.pooled
}

// wrapUnavailable returns an UnavailableError with the cause err. It closes the
// idle connections, since they may be stalled as well.
func (c *Client) wrapUnavailable(server sardineknot.BackendServer, err error) error {
	c.pooled.CloseIdleConnections()
	return errors.WithStack(&sardineknot.UnavailableError{Peer: string(server.Name), Cause: err})
}
