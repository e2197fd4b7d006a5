// Package holder queries other entry hosts for the outcome of unrepeatable
// calls whose claims they hold, and serves such queries.
package holder

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/rpc/services"
)

// Client queries other entry hosts. It is safe for concurrent use.
type Client struct {
	members sardineknot.Membership
	client  *http.Client
}

var _ sardineknot.ClaimHolderClient = (*Client)(nil)

// NewClient returns a client that looks up hosts in m and calls them with c.
func NewClient(m sardineknot.Membership, c *http.Client) *Client {
	return &Client{members: m, client: c}
}

// AwaitOutcome implements sardineknot.ClaimHolderClient.
func (c *Client) AwaitOutcome(ctx context.Context, p sardineknot.ClaimResult, k sardineknot.RequestKey, content [32]byte) (sardineknot.ServiceAnswer, error) {
	h, ok := c.find(p.Holder)
	if !ok {
		return sardineknot.ServiceAnswer{}, newUnavailableError(p, errors.New("host is not in the membership"))
	}
	q := &services.JoinRequest{
		Account:     string(k.Account),
		Request:     string(k.ID),
		Incarnation: uint64(p.HolderIncarnation),
		Fingerprint: content[:],
	}
	d, ok := ctx.Deadline()
	if ok {
		q.WaitMilliseconds = time.Until(d).Milliseconds()
	}
	r, err := services.NewServicesProtobufClient("http://"+h.PeerAddress.String(), c.client).Join(ctx, q)
	if err != nil {
		return sardineknot.ServiceAnswer{}, newUnavailableError(p, err)
	}
	return decode(k, r)
}

// find returns the host with the given identifier. It also returns hosts that
// are considered dead, since such a host may only have been paused.
func (c *Client) find(id sardineknot.EntryHostID) (sardineknot.EntryHost, bool) {
	for _, h := range c.members.Hosts() {
		if h.ID == id {
			return h, true
		}
	}
	return sardineknot.EntryHost{}, false
}

func decode(k sardineknot.RequestKey, r *services.JoinResponse) (a sardineknot.ServiceAnswer, err error) {
	switch r.GetOutcome() {
	case services.JoinResponse_ANSWERED:
		return sardineknot.ServiceAnswer{Status: int(r.GetStatus()), ContentType: r.GetContentType(), Body: r.GetBody()}, nil
	case services.JoinResponse_NOT_RUN:
		return a, errors.WithStack(&sardineknot.NotRunError{Reason: r.GetReason(), RetryAfter: time.Second})
	case services.JoinResponse_MISMATCH:
		return a, errors.WithStack(&sardineknot.ContentMismatchError{Key: k})
	default:
		return a, errors.WithStack(&sardineknot.OutcomeUnknownError{Key: k, Reason: r.GetReason()})
	}
}

func newUnavailableError(p sardineknot.ClaimResult, err error) error {
	return errors.WithStack(&sardineknot.UnavailableError{Peer: string(p.Holder), Cause: err})
}
