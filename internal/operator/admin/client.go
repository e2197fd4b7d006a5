// Package admin asks the admin interfaces of entry hosts what they have in
// force.
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
)

const (
	defaultTimeout   = 3 * time.Second
	maxResponseBytes = 64 << 10
)

// Client asks entry hosts. The zero value is ready for use, and safe for
// concurrent use.
type Client struct {
	// Timeout bounds one question. Zero means three seconds.
	Timeout time.Duration
}

// Revision returns what the entry host with admin address a has in force. It
// fails with an UnavailableError if the host does not answer, and with an
// InvalidError if the answer is not one of an entry host.
func (c *Client) Revision(ctx context.Context, a netip.AddrPort) (sardineknot.HostRevision, error) {
	var r sardineknot.HostRevision
	b, err := c.get(ctx, "http://"+a.String()+"/v1/revision")
	if err != nil {
		return r, errors.WithStack(&sardineknot.UnavailableError{Peer: a.String(), Cause: err})
	}
	err = json.Unmarshal(b, &r)
	if err != nil || r.Host == "" || r.Incarnation == 0 || r.Revision < 0 {
		return sardineknot.HostRevision{}, errors.WithStack(&sardineknot.InvalidError{
			What: "answer of " + a.String(), Got: string(b[:min(len(b), 64)]), Expected: "Host, Incarnation and Revision",
		})
	}
	return r, nil
}

func (c *Client) get(ctx context.Context, u string) ([]byte, error) {
	t := c.Timeout
	if t == 0 {
		t = defaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, t)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return nil, err
	}
	p, err := http.DefaultTransport.RoundTrip(q)
	if err != nil {
		return nil, err
	}
	defer p.Body.Close()
	if p.StatusCode != http.StatusOK {
		return nil, errors.Errorf("status %d", p.StatusCode)
	}
	return io.ReadAll(io.LimitReader(p.Body, maxResponseBytes))
}
