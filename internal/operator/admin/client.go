// Package admin is a client of the entry hosts' admin interfaces. It queries the
// configuration revision that a host has in force.
package admin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/peer/nethttp"
)

const (
	defaultTimeout   = 3 * time.Second
	maxResponseBytes = 64 << 10
)

// Client queries the admin interfaces of entry hosts. The zero value is ready
// for use. A Client is safe for concurrent use.
type Client struct {
	// Timeout is the time limit of one request. Zero means three seconds.
	Timeout time.Duration
}

// Revision returns the configuration revision that the entry host with the
// given admin address has in force, together with the host's ID and
// incarnation. It fails with an UnavailableError if the host does not respond
// with status 200 in time, and with an InvalidError if the response is
// malformed, lacks the ID or the incarnation, or has a negative revision.
func (c *Client) Revision(ctx context.Context, address netip.AddrPort) (sardineknot.HostRevision, error) {
	var r sardineknot.HostRevision
	b, err := c.get(ctx, "http://"+address.String()+"/v1/revision")
	if err != nil {
		return r, errors.WithStack(&sardineknot.UnavailableError{Peer: address.String(), Cause: err})
	}
	err = json.Unmarshal(b, &r)
	if err != nil || r.Host == "" || r.Incarnation == 0 || r.Revision < 0 {
		return sardineknot.HostRevision{}, errors.WithStack(&sardineknot.InvalidError{
			What: "response of " + address.String(), Got: string(b[:min(len(b), 64)]), Expected: "Host, Incarnation and Revision",
		})
	}
	return r, nil
}

// get returns the first maxResponseBytes of the resource at url. It fails unless
// the status is 200.
func (c *Client) get(ctx context.Context, url string) ([]byte, error) {
	t := c.Timeout
	if t == 0 {
		t = defaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, t)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	p, err := nethttp.NewTransport(&http.Transport{DisableKeepAlives: true}).RoundTrip(q)
	if err != nil {
		return nil, err
	}
	defer p.Body.Close()
	if p.StatusCode != http.StatusOK {
		return nil, errors.Errorf("status %d", p.StatusCode)
	}
	return io.ReadAll(io.LimitReader(p.Body, maxResponseBytes))
}
