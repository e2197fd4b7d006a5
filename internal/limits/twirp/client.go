// Package twirp borrows cost over Twirp from the entry host that owns the limit of a
// client account, and serves such requests of other hosts.
//
// Hosts are queried in the order of their rank. A host that refuses connections, that
// does not serve limits, or that reports that it is not the owner certainly grants
// nothing, so the next one is queried, which queries the hosts above it in turn before it
// grants itself. A host that does not answer may be granting to others. No host then
// grants in its place, but the next one may reach it and pass the request on.
package twirp

import (
	"context"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/twitchtv/twirp"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/limits/owner"
	"sardineknot.example/sardineknot/internal/limits/rank"
	api "sardineknot.example/sardineknot/internal/rpc/limits"
)

const (
	// askTimeout bounds a request to the owner. A request that is passed on has
	// less time at each hop than the one before, so that its answer is awaited.
	askTimeout  = 100 * time.Millisecond
	passTimeout = 70 * time.Millisecond
	lastTimeout = 45 * time.Millisecond
	// maxHops bounds the messages that carry one request. It ends loops between
	// hosts whose views of the membership differ.
	maxHops = 3
	// maxWait bounds the delay that another host may request.
	maxWait = 200 * time.Millisecond
	// goneValidity is the time for which a host that grants nothing is not queried
	// again. In this time it may become the owner without this host's knowledge.
	goneValidity = 250 * time.Millisecond
	// silentInterval is the time for which a host that did not answer is not queried
	// directly.
	silentInterval = 300 * time.Millisecond
	// maxStates bounds the number of hosts with a state. Only hosts that failed have
	// one.
	maxStates = 1024
)

// Client is a sardineknot.CostSource that finds the host that grants. All exported
// fields must be set before use. It is safe for concurrent use.
type Client struct {
	// Hosts lists the registered hosts, and Ranker orders the owners of an account.
	Hosts  sardineknot.Registrations
	Ranker *rank.Ranker
	// Owner grants under the limits that this host owns.
	Owner *owner.Owner
	// Clock returns the current time.
	Clock sardineknot.Clock
	// HTTP sends requests to other entry hosts.
	HTTP *http.Client
	// Log receives an event when an owner is lost or answers again.
	Log zerolog.Logger
	// Metrics receives the numbers of messages sent, and of requests passed on.
	Metrics metrics.Registry

	mu     sync.Mutex
	states map[sardineknot.EntryHostID]hostState
}

// hostState is the state of a host that failed.
type hostState struct {
	incarnation sardineknot.Incarnation
	// err is how the host failed, at the time failedAt. gone is set if it certainly
	// grants nothing.
	err      error
	gone     bool
	failedAt time.Time
}

var _ sardineknot.CostSource = (*Client)(nil)

// Borrow implements sardineknot.CostSource.
func (c *Client) Borrow(ctx context.Context, request sardineknot.CostRequest) (sardineknot.CostGrant, error) {
	o := c.Ranker.Order(request.Account)
	g, i, err := c.find(ctx, o, request)
	if err == nil || i >= len(o) {
		return g, err
	}
	return c.relay(ctx, o[i+1:], request, err)
}

// find queries the hosts in order until one grants or does not answer. It returns the
// position of that host.
func (c *Client) find(ctx context.Context, order []sardineknot.EntryHost, request sardineknot.CostRequest) (g sardineknot.CostGrant, position int, err error) {
	s := c.Hosts.Self().ID
	for i, h := range order {
		var n *sardineknot.NotOwnerError
		if errors.As(err, &n) && !n.Ended {
			request.Temporary = true
		}
		if h.ID == s {
			g, err = c.Owner.Borrow(ctx, request)
		} else {
			g, err = c.ask(ctx, h, request, askTimeout)
		}
		if err == nil && h.ID != s {
			c.Owner.Release(request.Account)
		}
		if !isGone(err) {
			return g, i, err
		}
	}
	return sardineknot.CostGrant{}, len(order), errors.WithStack(&sardineknot.UnavailableError{Peer: "owner of the limit", Cause: err})
}

// relay queries the first of hosts that is another one and answers this host. It returns
// cause if that host gets no grant either.
func (c *Client) relay(ctx context.Context, hosts []sardineknot.EntryHost, request sardineknot.CostRequest, cause error) (sardineknot.CostGrant, error) {
	s := c.Hosts.Self().ID
	for _, h := range hosts {
		if h.ID == s {
			continue
		}
		c.count("limits.relays")
		g, err := c.ask(ctx, h, request, askTimeout+passTimeout)
		if isGone(err) {
			continue
		}
		if err == nil {
			return g, nil
		}
		break
	}
	return sardineknot.CostGrant{}, cause
}

// ask sends request to host, unless host has just failed.
func (c *Client) ask(ctx context.Context, host sardineknot.EntryHost, request sardineknot.CostRequest, timeout time.Duration) (sardineknot.CostGrant, error) {
	if err := c.failure(host); err != nil {
		return sardineknot.CostGrant{}, err
	}
	if request.Hops >= maxHops {
		return sardineknot.CostGrant{}, errors.WithStack(&sardineknot.UnavailableError{Peer: string(host.ID), Cause: context.DeadlineExceeded})
	}
	switch request.Hops {
	case 1:
		timeout = passTimeout
	case maxHops - 1:
		timeout = lastTimeout
	}
	w, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	g, err := c.send(w, host, request)
	if err != nil && !isGone(err) && w.Err() == nil {
		// The connection of a process that was killed ends with an error that proves
		// nothing. A new one is refused.
		g, err = c.send(w, host, request)
	}
	if ctx.Err() == nil {
		c.record(host, err)
	}
	return g, err
}

// send sends request to host once.
func (c *Client) send(ctx context.Context, host sardineknot.EntryHost, request sardineknot.CostRequest) (sardineknot.CostGrant, error) {
	c.count("limits.borrows")
	request.Hops++
	r, err := api.NewLimitsProtobufClient("http://"+host.PeerAddress.String(), c.HTTP).Borrow(ctx, requestMessage(request))
	var t twirp.Error
	switch {
	case err == nil && r.GetNotOwner():
		err = &sardineknot.NotOwnerError{Host: host.ID}
	case err == nil:
		return grantFromMessage(r), nil
	case errors.Is(err, syscall.ECONNREFUSED) || errors.As(err, &t) && t.Code() == twirp.BadRoute:
		err = &sardineknot.NotOwnerError{Host: host.ID, Ended: true}
	default:
		err = &sardineknot.UnavailableError{Peer: string(host.ID), Cause: err}
	}
	return sardineknot.CostGrant{}, errors.WithStack(err)
}

// isGone reports whether err proves that the host which was queried grants nothing.
func isGone(err error) bool {
	var n *sardineknot.NotOwnerError
	return errors.As(err, &n)
}

func (c *Client) count(name string) { metrics.GetOrRegisterCounter(name, c.Metrics).Inc(1) }
