package twirp

import (
	"context"
	"math"
	"net/http"
	"slices"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/peer/micros"
	api "sardineknot.example/sardineknot/internal/rpc/limits"
)

// service serves requests of other hosts.
type service struct {
	client *Client
}

var _ api.Limits = service{}

// Handler returns the handler of requests from other hosts, and the path prefix under
// which it must be registered.
func (c *Client) Handler() (path string, handler http.Handler) {
	s := api.NewLimitsServer(service{client: c})
	return s.PathPrefix(), s
}

// Borrow implements api.Limits. It grants if all hosts that rank higher than this one
// certainly grant nothing.
func (s service) Borrow(ctx context.Context, message *api.BorrowRequest) (*api.BorrowResponse, error) {
	q := requestFromMessage(message)
	c := s.client
	o := c.Ranker.Order(q.Account)
	p := slices.IndexFunc(o, func(h sardineknot.EntryHost) bool { return h.ID == c.Hosts.Self().ID })
	if p < 0 && q.Hops > 1 {
		// The host that passed the request on may act in place of this one, which is
		// leaving or not registered yet.
		return notOwner(), nil
	}
	if p >= 0 {
		o = o[:p+1]
	}
	g, i, err := c.find(ctx, o, q)
	switch {
	case err == nil:
		return grantMessage(g), nil
	case i < len(o):
		return nil, err
	default:
		return notOwner(), nil
	}
}

func notOwner() *api.BorrowResponse { return &api.BorrowResponse{ByCost: true, NotOwner: true} }

// requestMessage converts request to a message. Its counts are for hosts of a version
// that counts requests.
func requestMessage(request sardineknot.CostRequest) *api.BorrowRequest {
	return &api.BorrowRequest{
		Account: string(request.Account), ByCost: true,
		Want: count(math.Ceil(request.Want)), Returned: count(math.Floor(request.Returned)),
		Need: request.Need, WantCost: request.Want, ReturnedCost: request.Returned, Deferred: request.Deferred,
		MaxWaitMicros: request.MaxWait.Microseconds(), Hops: uint32(request.Hops), Whole: request.Whole,
		PerSecond: request.Limit.PerSecond, Burst: request.Limit.Burst,
	}
}

// count returns the integral cost as a count, within its range.
func count(cost float64) uint32 { return uint32(max(0, min(cost, math.MaxUint32))) }

// requestFromMessage is the inverse of requestMessage. A message of a version that
// counts requests needs one.
func requestFromMessage(message *api.BorrowRequest) sardineknot.CostRequest {
	q := sardineknot.CostRequest{
		Account: sardineknot.ClientAccountName(message.GetAccount()),
		Limit:   sardineknot.AccountLimit{PerSecond: finite(message.GetPerSecond()), Burst: finite(message.GetBurst())},
		Need:    finite(message.GetNeed()), Want: finite(message.GetWantCost()),
		Returned: finite(message.GetReturnedCost()), Deferred: finite(message.GetDeferred()),
		MaxWait: max(0, min(maxWait, micros.Duration(message.GetMaxWaitMicros()))), Whole: message.GetWhole(), Hops: max(1, int(min(message.GetHops(), maxHops))),
	}
	if !message.GetByCost() {
		q.Need, q.Want, q.Returned, q.Whole = min(1, float64(message.GetWant())), float64(message.GetWant()), float64(message.GetReturned()), true
	}
	return q
}

// finite returns cost, or zero if cost is not a number that a cost can be.
func finite(cost float64) float64 {
	if cost >= 0 && cost <= math.MaxFloat32 {
		return cost
	}
	return 0
}

// grantMessage converts grant to a message.
func grantMessage(grant sardineknot.CostGrant) *api.BorrowResponse {
	return &api.BorrowResponse{
		ByCost: true, GrantedCost: grant.Granted, Granted: count(math.Floor(grant.Granted)),
		DelayMicros: grant.Delay.Microseconds(), WaitMicros: grant.Fits.Microseconds(), RetryMicros: grant.RetryAfter.Microseconds(),
	}
}

// grantFromMessage is the inverse of grantMessage.
func grantFromMessage(message *api.BorrowResponse) sardineknot.CostGrant {
	g := sardineknot.CostGrant{
		Granted: finite(message.GetGrantedCost()), Delay: max(0, micros.Duration(message.GetDelayMicros())),
		Fits: max(0, micros.Duration(message.GetWaitMicros())), RetryAfter: max(0, micros.Duration(message.GetRetryMicros())),
	}
	if !message.GetByCost() {
		g.Granted, g.RetryAfter = float64(message.GetGranted()), g.Fits
	}
	return g
}
