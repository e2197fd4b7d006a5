package twirp_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/answer/plain"
	"sardineknot.example/sardineknot/internal/backend/backoff"
	"sardineknot.example/sardineknot/internal/backend/breaker"
	"sardineknot.example/sardineknot/internal/backend/memory"
	"sardineknot.example/sardineknot/internal/host/clock"
	"sardineknot.example/sardineknot/internal/membership/rendezvous"
	"sardineknot.example/sardineknot/internal/places/twirp"
)

// linkDelay is the time that a message takes between hosts, one way.
const linkDelay = 1400 * time.Microsecond

// fleet is a set of entry hosts without sockets before the servers of one service.
// It is the http.RoundTripper, the membership and the configuration of all hosts, and
// the forwarder to the servers.
type fleet struct {
	sardineknot.Membership
	sardineknot.Forwarder
	mu      sync.Mutex
	hosts   []sardineknot.EntryHost
	muxes   map[string]*http.ServeMux
	silent  map[string]bool
	runners []*plain.Runner
	places  []*twirp.Places
	servers map[sardineknot.BackendServerName]*server
	current sardineknot.Configuration
	random  *rand.Rand
	// suspended is the time for which the hosts were suspended. It grows by suspend
	// while a message is on its way.
	suspended atomic.Int64
	suspend   time.Duration
	// alone is set if each host decides alone.
	alone bool
	// messages and bytes count what hosts send to each other.
	messages, bytes int
	// attempts counts the calls of all callers, and calls what reached servers of each.
	attempts int
	calls    map[sardineknot.RequestID]int
	result
	// class changes call number i, and returns the class by which it is counted in
	// byClass. Nil means that there are no classes.
	class   func(i int, c *sardineknot.Call) string
	byClass map[string]*result
}

// result counts calls by how they ended: in time, late, and without an answer.
type result struct{ inTime, late, failed int }

// server is a fake server with six slots and a queue of 24.
type server struct {
	running int
	queue   []chan struct{}
	// factor multiplies the time of calls. Zero means that the server is gone.
	factor float64
}

func (f *fleet) Hosts() []sardineknot.EntryHost {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hosts
}
func (f *fleet) Current() *sardineknot.Configuration { return &f.current }
func (f *fleet) Changed() <-chan struct{}            { return nil }

// RoundTrip implements http.RoundTripper.
func (f *fleet) RoundTrip(request *http.Request) (*http.Response, error) {
	f.mu.Lock()
	m, s := f.muxes[request.URL.Host], f.silent[request.URL.Host]
	f.messages++
	f.bytes += int(request.ContentLength)
	f.mu.Unlock()
	time.Sleep(linkDelay)
	if s {
		<-request.Context().Done()
		return nil, request.Context().Err()
	}
	if m == nil {
		return nil, errors.New("connection refused")
	}
	w := httptest.NewRecorder()
	m.ServeHTTP(w, request)
	f.mu.Lock()
	f.bytes += w.Body.Len()
	f.mu.Unlock()
	time.Sleep(linkDelay)
	f.mu.Lock()
	f.suspended.Add(int64(f.suspend))
	f.mu.Unlock()
	return w.Result(), nil
}

// Forward implements sardineknot.Forwarder.
func (f *fleet) Forward(ctx context.Context, b sardineknot.BackendServer, c *sardineknot.Call, _ sardineknot.ForwardOptions) (*sardineknot.Response, error) {
	f.mu.Lock()
	s := f.servers[b.Name]
	switch {
	case s.factor == 0:
		f.mu.Unlock()
		return nil, errors.WithStack(&sardineknot.UnsentError{Server: b.Address, Cause: io.ErrClosedPipe})
	case s.running < b.Slots:
		s.running++
		f.calls[c.ID]++
		f.mu.Unlock()
	case len(s.queue) >= 24:
		f.mu.Unlock()
		return nil, errors.WithStack(&sardineknot.RefusedError{Server: b.Name, Status: http.StatusServiceUnavailable})
	default:
		q := make(chan struct{})
		s.queue = append(s.queue, q)
		f.calls[c.ID]++
		f.mu.Unlock()
		<-q
	}
	f.mu.Lock()
	d := time.Duration(s.factor * (0.8 + 0.4*f.random.Float64()) * float64(60*time.Millisecond))
	f.mu.Unlock()
	time.Sleep(d)
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(s.queue) > 0 {
		close(s.queue[0])
		s.queue = s.queue[1:]
	} else {
		s.running--
	}
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	return &sardineknot.Response{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("yes"))}, nil
}

// member is the membership of one host of a fleet.
type member struct {
	*fleet
	self sardineknot.EntryHost
}

func (m member) Self() sardineknot.EntryHost { return m.self }

// unlimited is a fake retry budget and crash guard that allows everything.
type unlimited struct{}

func (unlimited) RecordCall(sardineknot.ServiceName)                                  {}
func (unlimited) AllowRetry(sardineknot.ServiceName) bool                             { return true }
func (unlimited) Check(*sardineknot.Call) error                                       { return nil }
func (unlimited) ReportCrash(sardineknot.ServerProcess, *sardineknot.Call, time.Time) {}
func (unlimited) ReportSound(sardineknot.ServerProcess, *sardineknot.Call, time.Time) {}
func (unlimited) ReportReplaced(sardineknot.ServerProcess, time.Time)                 {}

// discard is a fake sardineknot.AnswerWriter.
type discard struct{}

func (discard) SendHeader(int, http.Header) {}
func (discard) Write([]byte) error          { return nil }

// newFleet returns a fleet of count hosts before five servers. The hosts decide alone
// if alone is set.
func newFleet(count int, alone bool) *fleet {
	f := &fleet{
		muxes: make(map[string]*http.ServeMux), silent: make(map[string]bool), servers: make(map[sardineknot.BackendServerName]*server),
		random: rand.New(rand.NewPCG(1, 1)), alone: alone, calls: make(map[sardineknot.RequestID]int), byClass: make(map[string]*result),
	}
	f.current.Revision = 1
	for n := range 5 {
		b := sardineknot.BackendServer{Name: sardineknot.BackendServerName(fmt.Sprint("s", n)), Role: sardineknot.RolePlain, Service: "s", Slots: 6, State: sardineknot.BackendJoining, Born: 1}
		f.current.BackendServers = append(f.current.BackendServers, b)
		f.servers[b.Name] = &server{factor: 1}
	}
	for n := range count {
		f.hosts = append(f.hosts, sardineknot.EntryHost{
			ID: sardineknot.EntryHostID(fmt.Sprint("h", n)), State: sardineknot.EntryHostAlive, Incarnation: 1,
			PeerAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 1),
		})
		f.runners, f.places = append(f.runners, nil), append(f.places, nil)
	}
	for n := range f.hosts {
		f.restart(n)
	}
	return f
}

// restart starts host n again, without any state.
func (f *fleet) restart(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts = slices.Clone(f.hosts)
	f.hosts[n].Incarnation++
	m := member{f, f.hosts[n]}
	p := twirp.NewPlaces()
	p.Members, p.Ranker, p.Source, p.Clock, p.Client = m, rendezvous.NewRanker(m), f, clock.System{}, &http.Client{Transport: f}
	b := time.Now()
	p.SinceBoot = func() time.Duration { return time.Since(b) + time.Duration(f.suspended.Load()) }
	p.Log, p.Metrics = zerolog.Nop(), metrics.NewRegistry()
	x := http.NewServeMux()
	x.Handle(p.Handler())
	f.muxes[f.hosts[n].PeerAddress.String()] = x
	i := uint64(n)
	f.places[n] = p
	f.runners[n] = &plain.Runner{
		Source: f, Forwarder: f, Circuits: breaker.NewSet(rand.NewPCG(i, 1)), Backoffs: backoff.NewSet(rand.NewPCG(i, 2)), Guard: unlimited{},
		Budget: unlimited{}, Memory: &memory.Budget{}, Clock: clock.System{}, Log: zerolog.Nop(),
	}
	if !f.alone {
		f.runners[n].Places = p
	}
}

// owner returns the host that assigns the calls.
func (f *fleet) owner() (n int) {
	h, _ := rendezvous.NewRanker(f).Owner("places/s")
	for i := range f.hosts {
		if f.hosts[i].ID == h.ID {
			n = i
		}
	}
	return n
}

// sent returns the number of messages so far.
func (f *fleet) sent() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.messages
}

// silence makes host n silent for the others. Its callers go elsewhere.
func (f *fleet) silence(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silent[f.hosts[n].PeerAddress.String()] = true
}

// die makes host n dead for the others.
func (f *fleet) die(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts = slices.Clone(f.hosts)
	f.hosts[n].State = sardineknot.EntryHostDead
}

// call makes the call number i of a caller that returns after refusals, at any host,
// until 1,500 ms have passed.
func (f *fleet) call(ctx context.Context, i int) {
	b := time.Now()
	e := b.Add(1500 * time.Millisecond)
	q := &sardineknot.Route{Kind: sardineknot.RouteUnsafe, Attempts: 1, Target: 300 * time.Millisecond}
	var err error
	k := ""
	for n := 0; ; n++ {
		f.mu.Lock()
		f.attempts++
		r := f.runners[f.random.IntN(len(f.runners))]
		f.mu.Unlock()
		a := time.Now()
		d := a.Add(800 * time.Millisecond)
		if d.After(e) {
			d = e
		}
		x, cancel := context.WithDeadline(ctx, d)
		c := &sardineknot.Call{
			ID: sardineknot.RequestID(fmt.Sprint(i, "/", n)), Target: fmt.Sprint("/", i), Service: "s", Route: q,
			ArrivedAt: a, Deadline: d, CallerDeadline: e,
		}
		if f.class != nil {
			k = f.class(i, c)
		}
		err = r.Run(x, c, discard{})
		cancel()
		var w *sardineknot.NotRunError
		if !errors.As(err, &w) || time.Now().Add(w.RetryAfter).After(e) {
			break
		}
		time.Sleep(w.RetryAfter)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.byClass[k] == nil {
		f.byClass[k] = &result{}
	}
	for _, l := range []*result{&f.result, f.byClass[k]} {
		l.count(err, time.Since(b))
	}
}

func (r *result) count(err error, took time.Duration) {
	switch {
	case err != nil:
		r.failed++
	case took <= 300*time.Millisecond:
		r.inTime++
	default:
		r.late++
	}
}

// share returns the share of calls that were answered in time.
func (r *result) share() float64 { return float64(r.inTime) / float64(r.inTime+r.late+r.failed) }

// load makes calls for duration, perSecond of them a second, and returns how they
// ended.
func (f *fleet) load(ctx context.Context, duration time.Duration, perSecond float64) result {
	r := rand.New(rand.NewPCG(3, 3))
	f.mu.Lock()
	f.result = result{}
	f.mu.Unlock()
	var g sync.WaitGroup
	for e := time.Now().Add(duration); time.Now().Before(e); {
		i := r.Int()
		g.Go(func() { f.call(ctx, i) })
		time.Sleep(time.Duration(r.ExpFloat64() * float64(time.Second) / perSecond))
	}
	g.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.result
}

// run runs test in virtual time with count hosts, whose background tasks run.
func run(t *testing.T, count int, alone bool, test func(*testing.T, *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(count, alone)
		ctx, cancel := context.WithCancel(t.Context())
		for _, p := range f.places {
			go p.Run(ctx)
		}
		test(t, f)
		cancel()
		time.Sleep(10 * time.Second)
		synctest.Wait()
	})
}
