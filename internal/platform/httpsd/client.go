// Package httpsd reads the platform's host list, which has the format of
// Prometheus HTTP service discovery.
//
// The labels of a target group are name, role ("entry" or "backend"), zone,
// state ("live" or "leaving") and, for entry hosts, peer: the address for calls
// from other entry hosts.
package httpsd

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
	timeout          = 2 * time.Second
	maxResponseBytes = 8 << 20
)

// group is a target group of the service discovery format.
type group struct {
	Targets []netip.AddrPort `json:"targets"`
	Labels  labels           `json:"labels"`
}

type labels struct {
	Name  string                       `json:"name"`
	Role  sardineknot.ListedRole       `json:"role"`
	Zone  sardineknot.AvailabilityZone `json:"zone"`
	State string                       `json:"state"`
	Peer  netip.AddrPort               `json:"peer"`
}

// Client implements sardineknot.HostList. It is safe for concurrent use.
type Client struct {
	url       string
	transport *nethttp.Transport
}

var _ sardineknot.HostList = (*Client)(nil)

// NewClient returns a client of the host list at path /hosts on a. It panics if
// a is invalid.
func NewClient(a netip.AddrPort) *Client {
	if !a.IsValid() {
		panic(&sardineknot.InvalidError{What: "address", Got: a.String(), Expected: "a valid address"})
	}
	return &Client{url: "http://" + a.String() + "/hosts", transport: nethttp.NewTransport(&http.Transport{})}
}

// Fetch implements sardineknot.HostList.
func (c *Client) Fetch(ctx context.Context) ([]sardineknot.ListedHost, error) {
	l, err := c.fetch(ctx)
	if err != nil {
		c.transport.CloseIdleConnections()
		return nil, errors.WithStack(&sardineknot.UnavailableError{Peer: "host list", Cause: err})
	}
	var r []sardineknot.ListedHost
	for _, g := range l {
		for _, t := range g.Targets {
			r = append(r, listedHost(t, g.Labels))
		}
	}
	return r, nil
}

func (c *Client) fetch(ctx context.Context) ([]group, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	h, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return nil, err
	}
	p, err := c.transport.RoundTrip(h)
	if err != nil {
		return nil, err
	}
	defer p.Body.Close()
	if p.StatusCode != http.StatusOK {
		return nil, errors.Errorf("unexpected status %d", p.StatusCode)
	}
	// A decoder would not read the end, and miss that the response broke off.
	b, err := io.ReadAll(io.LimitReader(p.Body, maxResponseBytes))
	if err != nil {
		return nil, err
	}
	var l []group
	err = json.Unmarshal(b, &l)
	return l, err
}

// listedHost returns the host at address t that the labels l of its target
// group describe.
func listedHost(t netip.AddrPort, l labels) sardineknot.ListedHost {
	return sardineknot.ListedHost{
		Name:        l.Name,
		Role:        l.Role,
		Address:     t,
		PeerAddress: l.Peer,
		Zone:        l.Zone,
		Leaving:     l.State == "leaving",
	}
}
