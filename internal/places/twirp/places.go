package twirp

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/peer/micros"
	"sardineknot.example/sardineknot/internal/quarantine/fingerprint"
	rpc "sardineknot.example/sardineknot/internal/rpc/places"
)

const (
	// shardPrefix is the prefix of the name by which the owner of a service is found.
	shardPrefix = "places/"
	// takeTimeout bounds the request for a place. A place that is granted later, by a
	// clock that counts suspended time, is not used.
	takeTimeout = 50 * time.Millisecond
	// reportTimeout bounds reports and notifications.
	reportTimeout = 250 * time.Millisecond
	// ownerRetryInterval is the time after a failed request for a place in which this
	// host decides alone.
	ownerRetryInterval = time.Second
	// reportDelay is the time for which the ends of calls are collected.
	reportDelay = 10 * time.Millisecond
)

// Places is a sardineknot.PlaceAllocator. All exported fields must be set before use.
type Places struct {
	// Members lists the entry hosts, and Ranker selects the owner of a service.
	Members sardineknot.Membership
	Ranker  sardineknot.Ranker
	// Source provides the servers.
	Source sardineknot.ConfigurationSource
	// Clock returns the current time. SinceBoot returns the reading of a clock that
	// also counts the time for which the host was suspended.
	Clock     sardineknot.Clock
	SinceBoot func() time.Duration
	// Client sends requests to other entry hosts.
	Client *http.Client
	// Log receives events of contention and of owners that do not answer.
	Log zerolog.Logger
	// Metrics receives the numbers of calls that were assigned and refused, and of
	// those that this host decided alone although the servers were contended.
	Metrics metrics.Registry

	mu sync.Mutex
	// number is the number of the last place that this host requested.
	number  uint64
	watches map[sardineknot.ServiceName]*watch
	// epochs holds the process of each owner that has answered. failedAt holds the
	// time of the last failed request to an owner.
	epochs   map[sardineknot.EntryHostID]sardineknot.Incarnation
	failedAt map[sardineknot.EntryHostID]time.Duration
	// owned holds the services that this host has had requests for.
	owned map[sardineknot.ServiceName]*owned
}

var _ sardineknot.PlaceAllocator = (*Places)(nil)

// NewPlaces returns an allocator that has seen no contention.
func NewPlaces() *Places {
	return &Places{
		watches: make(map[sardineknot.ServiceName]*watch), epochs: make(map[sardineknot.EntryHostID]sardineknot.Incarnation),
		failedAt: make(map[sardineknot.EntryHostID]time.Duration), owned: make(map[sardineknot.ServiceName]*owned),
	}
}

// Take implements sardineknot.PlaceAllocator.
func (p *Places) Take(ctx context.Context, call *sardineknot.Call, excluded []sardineknot.BackendServerName) (sardineknot.Place, error) {
	l := sardineknot.Place{Service: call.Service, Target: call.Route.Target}
	n := p.SinceBoot()
	if !p.Contended(call.Service) {
		return l, nil
	}
	h, ok := p.Ranker.Owner(shardPrefix + string(call.Service))
	if !ok || p.failed(n, h.ID) {
		p.count("places.alone")
		return l, nil
	}
	q := p.request(h, call, excluded)
	r, err := p.ask(ctx, h, q)
	if err != nil || p.SinceBoot()-n > takeTimeout {
		if ctx.Err() != nil {
			err = nil
		}
		p.giveBack(n, h, q, err)
		return l, nil
	}
	p.learn(n, h, call.Service, r)
	if d := r.GetRetryAfterMicros(); d > 0 {
		p.count("places.refused")
		return l, errors.WithStack(&sardineknot.NotRunError{Reason: "no backend server can answer in time", RetryAfter: micros.Duration(d)})
	}
	if r.GetProcess() == nil {
		return l, nil
	}
	p.count("places.assigned")
	l.ID = sardineknot.PlaceID{Host: sardineknot.EntryHostID(q.GetReport().GetHost()), Incarnation: sardineknot.Incarnation(q.GetReport().GetIncarnation()), Number: q.GetNumber()}
	l.Server, l.Epoch = process(r.GetProcess()), sardineknot.Incarnation(r.GetEpoch())
	return l, nil
}

// ask sends request to the owner, which may be this host.
func (p *Places) ask(ctx context.Context, owner sardineknot.EntryHost, request *rpc.TakeRequest) (*rpc.TakeResponse, error) {
	if owner.ID == p.Members.Self().ID {
		return p.take(request), nil
	}
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	return p.client(owner).Take(ctx, request)
}

// request returns the request for the place of call.
func (p *Places) request(owner sardineknot.EntryHost, call *sardineknot.Call, excluded []sardineknot.BackendServerName) *rpc.TakeRequest {
	t := p.Clock.Now()
	d := call.Deadline.Sub(t)
	g := d
	if call.Route.Target > 0 {
		g = call.ArrivedAt.Add(call.Route.Target).Sub(t)
	}
	q := &rpc.TakeRequest{
		Priority: int32(call.Priority()), RoutePriority: int32(call.Route.Priority), Account: string(call.AccountName()), Cost: float32(cost(call)),
		TargetMicros: g.Microseconds(), DeadlineMicros: d.Microseconds(), CallerDeadlineMicros: call.CallerDeadline.Sub(t).Microseconds(),
		Trait: uint64(fingerprint.Of(call).Exact[0]),
	}
	for _, n := range excluded {
		q.Excluded = append(q.Excluded, string(n))
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.number++
	q.Number = p.number
	q.UsualMicros = p.watchLocked(call.Service).usual.Microseconds()
	q.Report = p.reportLocked(owner, call.Service)
	return q
}

// cost returns the cost of call, by which accounts share the servers.
func cost(call *sardineknot.Call) float64 {
	if call.Account == nil {
		return 1
	}
	return call.Account.Limit.Cost(call.Tokens)
}

// learn records the answer of owner to a request that was sent at time now.
func (p *Places) learn(now time.Duration, owner sardineknot.EntryHost, service sardineknot.ServiceName, response *rpc.TakeResponse) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.epochs[owner.ID] = sardineknot.Incarnation(response.GetEpoch())
	delete(p.failedAt, owner.ID)
	w := p.watchLocked(service)
	if response.GetIdle() {
		w.until, w.calmUntil = now, now+micros.Duration(response.GetCalmMicros())
		return
	}
	w.until = max(w.until, now+contendedTime)
}

// giveBack records that request got no answer in time because of err, and gives back
// the place that it may have been granted. A nil err means that the cause is not the
// owner: the caller has gone, its time is over, or this host was suspended.
func (p *Places) giveBack(now time.Duration, owner sardineknot.EntryHost, request *rpc.TakeRequest, err error) {
	p.count("places.alone")
	s := sardineknot.ServiceName(request.GetReport().GetService())
	p.mu.Lock()
	w := p.watchLocked(s)
	w.ends = append(w.ends, &rpc.End{Number: request.GetNumber(), Outcome: int32(sardineknot.PlaceUnused)})
	_, ok := p.failedAt[owner.ID]
	if err != nil {
		p.failedAt[owner.ID] = now
	}
	p.scheduleLocked(s, reportDelay)
	p.mu.Unlock()
	if err != nil && !ok {
		p.Log.Warn().Stringer("event", sardineknot.LogPlacesOwnerLost).Str("service", string(s)).Str("peer", string(owner.ID)).Err(err).Send()
	}
}

// failed reports whether a request to owner has just failed.
func (p *Places) failed(now time.Duration, owner sardineknot.EntryHostID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	t, ok := p.failedAt[owner]
	return ok && now-t < ownerRetryInterval
}

func (p *Places) count(name string) { metrics.GetOrRegisterCounter(name, p.Metrics).Inc(1) }

func (p *Places) client(host sardineknot.EntryHost) rpc.Places {
	return rpc.NewPlacesProtobufClient("http://"+host.PeerAddress.String(), p.Client)
}
