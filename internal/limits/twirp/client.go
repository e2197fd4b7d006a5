// Package twirp borrows permits from the entry host that owns a client
// account's limit, and serves the owner to other hosts.
package twirp

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/peer/h2c"
	api "sardineknot.example/sardineknot/internal/rpc/limits"
)

// shardPrefix starts the names of the shards that accounts are ranked by.
const shardPrefix = "limit/"

// Client is a sardineknot.PermitSource that asks the owner by rank. It is safe
// for concurrent use.
type Client struct {
	self   sardineknot.EntryHostID
	ranker sardineknot.Ranker
	// local serves the accounts that this host owns.
	local sardineknot.PermitSource
	http  *http.Client
}

var (
	_ sardineknot.PermitSource = (*Client)(nil)
	_ api.Limits               = server{}
)

// NewClient returns a client on host self. It asks local if this host ranks
// first.
func NewClient(self sardineknot.EntryHostID, r sardineknot.Ranker, local sardineknot.PermitSource, t *h2c.Transport) *Client {
	return &Client{self: self, ranker: r, local: local, http: t.Client()}
}

// Borrow implements sardineknot.PermitSource.
func (c *Client) Borrow(ctx context.Context, a sardineknot.ClientAccountName, want, unused int) (sardineknot.Permits, error) {
	h, ok := c.ranker.Owner(shardPrefix + string(a))
	if !ok || h.ID == c.self {
		return c.local.Borrow(ctx, a, want, unused)
	}
	p := api.NewLimitsProtobufClient("http://"+h.PeerAddress.String(), c.http)
	r, err := p.Borrow(ctx, &api.BorrowRequest{Account: string(a), Want: uint32(want), Returned: uint32(unused)})
	if err != nil {
		return sardineknot.Permits{}, errors.WithStack(&sardineknot.UnavailableError{Peer: string(h.ID), Cause: err})
	}
	return sardineknot.Permits{
		Granted: int(r.GetGranted()),
		Wait:    time.Duration(r.GetWaitMicros()) * time.Microsecond,
	}, nil
}

// Handler serves the accounts that this host owns to other hosts.
func (c *Client) Handler() http.Handler {
	return api.NewLimitsServer(server{local: c.local})
}

type server struct {
	local sardineknot.PermitSource
}

// Borrow implements limits.Limits.
func (s server) Borrow(ctx context.Context, r *api.BorrowRequest) (*api.BorrowResponse, error) {
	p, err := s.local.Borrow(ctx, sardineknot.ClientAccountName(r.GetAccount()), int(r.GetWant()), int(r.GetReturned()))
	if err != nil {
		return nil, err
	}
	return &api.BorrowResponse{Granted: uint32(p.Granted), WaitMicros: p.Wait.Microseconds()}, nil
}
