// Package plainhttp calls plain services over HTTP.
//
// The header Idempotency-Key carries the request's key. A service that did not
// run a call answers with status 503 or 429.
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
)

// maxResponseBytes bounds the answer of a service.
const maxResponseBytes = 4 << 20

// Client is a sardineknot.PlainService. It is safe for concurrent use.
type Client struct {
	// shared reuses connections. It serves calls that may be repeated.
	shared *http.Transport
	// single opens a connection for each call. net/http sends a request again
	// if a reused connection fails, which an unrepeatable call must not be.
	single *http.Transport
}

var _ sardineknot.PlainService = (*Client)(nil)

// NewClient returns a client without open connections.
func NewClient() *Client {
	return &Client{
		shared: &http.Transport{MaxIdleConnsPerHost: 32},
		single: &http.Transport{DisableKeepAlives: true},
	}
}

// Call implements sardineknot.PlainService.
func (c *Client) Call(ctx context.Context, s sardineknot.BackendServer, q sardineknot.ServiceCall) (sardineknot.ServiceAnswer, error) {
	var w atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { w.Store(true) },
	})
	h, err := request(ctx, s, q)
	if err != nil {
		return sardineknot.ServiceAnswer{}, err
	}
	p, err := c.transport(q).RoundTrip(h)
	if err != nil && !w.Load() {
		return sardineknot.ServiceAnswer{}, errors.WithStack(&sardineknot.NotRunError{Reason: string(s.Name) + " does not accept connections"})
	}
	if err != nil {
		return sardineknot.ServiceAnswer{}, c.unavailable(s, err)
	}
	defer p.Body.Close()
	if p.StatusCode == http.StatusServiceUnavailable || p.StatusCode == http.StatusTooManyRequests {
		return sardineknot.ServiceAnswer{}, errors.WithStack(&sardineknot.RefusedError{Server: s.Name, Status: p.StatusCode})
	}
	b, err := io.ReadAll(io.LimitReader(p.Body, maxResponseBytes+1))
	if err == nil && len(b) > maxResponseBytes {
		err = errors.Errorf("answer is longer than %d bytes", maxResponseBytes)
	}
	if err != nil {
		return sardineknot.ServiceAnswer{}, c.unavailable(s, err)
	}
	return sardineknot.ServiceAnswer{Status: p.StatusCode, ContentType: p.Header.Get("Content-Type"), Body: b}, nil
}

func request(ctx context.Context, s sardineknot.BackendServer, q sardineknot.ServiceCall) (*http.Request, error) {
	h, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.Address.String()+"/"+s.Service, bytes.NewReader(q.Body))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	h.Header.Set("Content-Type", q.ContentType)
	h.Header.Set("Idempotency-Key", q.Key.String())
	return h, nil
}

func (c *Client) transport(q sardineknot.ServiceCall) *http.Transport {
	if q.Work.Unrepeatable {
		return c.single
	}
	return c.shared
}

// unavailable wraps err and drops idle connections, which may be silent.
func (c *Client) unavailable(s sardineknot.BackendServer, err error) error {
	c.shared.CloseIdleConnections()
	return errors.WithStack(&sardineknot.UnavailableError{Peer: string(s.Name), Cause: err})
}
