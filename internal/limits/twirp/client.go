// Package twirp borrows permits over Twirp from the entry host that owns the
// limit of a client account, and serves such requests of other hosts.
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

// shardPrefix is the prefix of the shard name of an account, for which the
// Ranker returns the owner of the account's limit.
const shardPrefix = "limit/"

// Client is a sardineknot.PermitSource that forwards each request to the host
// that owns the limit of the account. It is safe for concurrent use.
type Client struct {
	self   sardineknot.EntryHostID
	ranker sardineknot.Ranker
	// local issues the permits of the accounts whose limits this host owns.
	local sardineknot.PermitSource
	http  *http.Client
}

var (
	_ sardineknot.PermitSource = (*Client)(nil)
	_ api.Limits               = server{}
)

// NewClient returns a client on host self. r determines the host that owns the
// limit of an account. If that is self, the client borrows from local, and
// otherwise through transport from the owner.
func NewClient(self sardineknot.EntryHostID, r sardineknot.Ranker, local sardineknot.PermitSource, transport *h2c.Transport) *Client {
	return &Client{self: self, ranker: r, local: local, http: transport.Client()}
}

// Borrow implements sardineknot.PermitSource. It borrows from local if no host
// owns the limit of the account.
func (c *Client) Borrow(ctx context.Context, account sardineknot.ClientAccountName, want, unused int) (sardineknot.Permits, error) {
	h, ok := c.ranker.Owner(shardPrefix + string(account))
	if !ok || h.ID == c.self {
		return c.local.Borrow(ctx, account, want, unused)
	}
	p := api.NewLimitsProtobufClient("http://"+h.PeerAddress.String(), c.http)
	r, err := p.Borrow(ctx, &api.BorrowRequest{Account: string(account), Want: uint32(want), Returned: uint32(unused)})
	if err != nil {
		return sardineknot.Permits{}, errors.WithStack(&sardineknot.UnavailableError{Peer: string(h.ID), Cause: err})
	}
	return sardineknot.Permits{
		Granted:    int(r.GetGranted()),
		RetryDelay: time.Duration(r.GetWaitMicros()) * time.Microsecond,
	}, nil
}

// Handler returns a handler that serves the requests of other hosts from local.
func (c *Client) Handler() http.Handler {
	return api.NewLimitsServer(server{local: c.local})
}

// server lets other hosts borrow from a PermitSource.
type server struct {
	local sardineknot.PermitSource
}

// Borrow implements api.Limits.
func (s server) Borrow(ctx context.Context, request *api.BorrowRequest) (*api.BorrowResponse, error) {
	p, err := s.local.Borrow(ctx, sardineknot.ClientAccountName(request.GetAccount()), int(request.GetWant()), int(request.GetReturned()))
	if err != nil {
		return nil, err
	}
	return &api.BorrowResponse{Granted: uint32(p.Granted), WaitMicros: p.RetryDelay.Microseconds()}, nil
}
