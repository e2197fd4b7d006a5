package twirp

import (
	"context"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/peer/micros"
	"sardineknot.example/sardineknot/internal/places/allocator"
	rpc "sardineknot.example/sardineknot/internal/rpc/places"
)

const (
	// notifyInterval is the interval at which the owner looks for hosts that must be
	// notified, and renewTime the time after which a host is notified again that has
	// not asked for a place. It is well below contendedTime.
	notifyInterval = 500 * time.Millisecond
	renewTime      = 2 * time.Second
	// maxNotifications bounds the concurrent notifications.
	maxNotifications = 32
)

// owned is the state of a service at its owner.
type owned struct {
	allocator *allocator.Allocator
	// told holds the time at which each host was notified, or requested a place. It is
	// guarded by Places.mu.
	told map[sardineknot.EntryHostID]time.Duration
	// contended is set from the beginning of a contention until Run has logged its
	// end. It is guarded by Places.mu.
	contended bool
}

// service serves the places of this host to other hosts.
type service struct {
	places *Places
}

var _ rpc.Places = (*service)(nil)

// Handler returns the handler of requests from other hosts, and the path prefix
// under which it must be registered.
func (p *Places) Handler() (path string, handler http.Handler) {
	s := rpc.NewPlacesServer(&service{places: p})
	return s.PathPrefix(), s
}

// Take implements rpc.Places. The request is served whether or not this host is the
// owner by its own view of the membership.
func (v *service) Take(_ context.Context, request *rpc.TakeRequest) (*rpc.TakeResponse, error) {
	return v.places.take(request), nil
}

// Report implements rpc.Places.
func (v *service) Report(_ context.Context, request *rpc.ReportRequest) (*rpc.ReportResponse, error) {
	v.places.receive(request)
	return &rpc.ReportResponse{}, nil
}

// Notify implements rpc.Places. It returns the calls in flight, since many of them were
// sent before the contention was known.
func (v *service) Notify(_ context.Context, request *rpc.NotifyRequest) (*rpc.NotifyResponse, error) {
	p := v.places
	n := p.SinceBoot()
	p.mu.Lock()
	defer p.mu.Unlock()
	s := sardineknot.ServiceName(request.GetService())
	w := p.watchLocked(s)
	w.until = max(w.until, n+contendedTime)
	h, _ := p.Ranker.Owner(shardPrefix + request.GetService())
	return &rpc.NotifyResponse{Report: p.reportLocked(h, s)}, nil
}

// take decides about the call of request as the owner.
func (p *Places) take(request *rpc.TakeRequest) *rpc.TakeResponse {
	r := request.GetReport()
	o := p.receive(r)
	n := p.SinceBoot()
	l := p.Source.Current().AcceptingServers(sardineknot.PlainPoolName(sardineknot.ServiceName(r.GetService())))
	d := o.allocator.Take(n, l, placeRequest(request))
	e := &rpc.TakeResponse{RetryAfterMicros: d.RetryAfter.Microseconds(), Epoch: int64(p.Members.Self().Incarnation)}
	b, c := o.allocator.Contended(n)
	e.Idle, e.CalmMicros = !b, c.Microseconds()
	if d.Server.Name != "" {
		e.Process = processMessage(d.Server)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	o.told[sardineknot.EntryHostID(r.GetHost())] = n
	return e
}

// receive records report as the owner. A service without earlier requests counts as
// contended at first, since the host that sent this one has seen a sign.
func (p *Places) receive(report *rpc.ReportRequest) *owned {
	n := p.SinceBoot()
	s := sardineknot.ServiceName(report.GetService())
	p.mu.Lock()
	o := p.owned[s]
	b := o == nil
	if b {
		o = &owned{allocator: allocator.NewAllocator(), told: make(map[sardineknot.EntryHostID]time.Duration)}
		p.owned[s] = o
	}
	p.mu.Unlock()
	h := sardineknot.EntryHostID(report.GetHost())
	m := make(map[sardineknot.ServerProcess]int)
	for _, f := range report.GetInFlight() {
		m[process(f.GetProcess())] += int(max(0, f.GetCalls()))
	}
	o.allocator.Report(n, h, m)
	for _, e := range report.GetEnds() {
		i := sardineknot.PlaceID{Host: h, Incarnation: sardineknot.Incarnation(report.GetIncarnation()), Number: e.GetNumber()}
		o.allocator.End(n, sardineknot.PlaceEnd{ID: i, Outcome: sardineknot.PlaceOutcome(e.GetOutcome()), Took: micros.Duration(e.GetTookMicros())})
	}
	if (b || report.GetSign()) && o.allocator.Contend(n, report.GetFull()) {
		p.begin(s, o)
	}
	return o
}

// begin records the begin of a contention and notifies all hosts.
func (p *Places) begin(name sardineknot.ServiceName, state *owned) {
	p.mu.Lock()
	b := !state.contended
	state.contended = true
	p.mu.Unlock()
	if b {
		p.Log.Info().Stringer("event", sardineknot.LogPlacesContended).Str("service", string(name)).Bool("contended", true).Send()
	}
	go p.notify(name, state)
}

// Run notifies hosts that contention lasts, until ctx is done. It always returns nil.
func (p *Places) Run(ctx context.Context) error {
	t := time.NewTicker(notifyInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			p.renew()
		case <-ctx.Done():
			return nil
		}
	}
}

// renew notifies hosts about the services of which this host is the owner, and records
// which contentions have ended.
func (p *Places) renew() {
	n := p.SinceBoot()
	p.mu.Lock()
	var l []sardineknot.ServiceName
	for s, o := range p.owned {
		if !o.contended {
			continue
		}
		b, _ := o.allocator.Contended(n)
		if b {
			l = append(l, s)
			continue
		}
		o.contended = false
		p.Log.Info().Stringer("event", sardineknot.LogPlacesContended).Str("service", string(s)).Bool("contended", false).Send()
	}
	p.mu.Unlock()
	for _, s := range l {
		h, ok := p.Ranker.Owner(shardPrefix + string(s))
		if ok && h.ID == p.Members.Self().ID {
			p.mu.Lock()
			o := p.owned[s]
			p.mu.Unlock()
			p.notify(s, o)
		}
	}
}

// notify informs the hosts that have not been informed lately that the servers of the
// service are contended.
func (p *Places) notify(name sardineknot.ServiceName, state *owned) {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	var g errgroup.Group
	g.SetLimit(maxNotifications)
	for _, h := range p.untold(name, state) {
		g.Go(func() error {
			r, err := p.client(h).Notify(ctx, &rpc.NotifyRequest{Service: string(name)})
			switch {
			case err == nil && r.GetReport().GetService() == string(name):
				p.receive(r.GetReport())
			case err != nil:
				p.Log.Debug().Stringer("event", sardineknot.LogPlacesNotShared).Str("service", string(name)).Str("peer", string(h.ID)).Err(err).Send()
			}
			return nil
		})
	}
	_ = g.Wait() // the calls return no error
}

// untold returns the hosts to notify, and records that they are notified. This host is
// notified at once.
func (p *Places) untold(name sardineknot.ServiceName, state *owned) []sardineknot.EntryHost {
	n := p.SinceBoot()
	a := sardineknot.OtherHosts(p.Members)
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.watchLocked(name)
	w.until = max(w.until, n+contendedTime)
	m := make(map[sardineknot.EntryHostID]time.Duration, len(a))
	var l []sardineknot.EntryHost
	for _, h := range a {
		t, ok := state.told[h.ID]
		if !ok || n-t >= renewTime {
			t = n
			l = append(l, h)
		}
		m[h.ID] = t
	}
	state.told = m
	return l
}
