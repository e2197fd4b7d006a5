package twirp_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/limits/credit"
	"sardineknot.example/sardineknot/internal/limits/owner"
	"sardineknot.example/sardineknot/internal/limits/rank"
	"sardineknot.example/sardineknot/internal/limits/twirp"
)

// fleet is a set of entry hosts without sockets, which share the limit of one account.
// Its lock is held for no longer than an access to its fields.
type fleet struct {
	t       *testing.T
	mu      sync.Mutex
	account sardineknot.ClientAccount
	hosts   []*host
	// registered is what the key-value service lists.
	registered []sardineknot.EntryHost
	// sends holds the calls that were admitted, and refused the others.
	sends   []send
	refused []time.Duration
}

type send struct {
	at   time.Time
	cost float64
	host int
}

// host is one entry host of a fleet. It is its own membership, clock and transport.
type host struct {
	*fleet
	entry   sardineknot.EntryHost
	limiter *credit.Limiter
	mux     *http.ServeMux
	metrics metrics.Registry
	cancel  context.CancelFunc
	// down is set while connections are refused. Requests to a host in another group,
	// or to the host cut, get no answer, nor do those to a paused host before
	// pausedUntil.
	down        bool
	group       int
	cut         *host
	pausedUntil time.Time
	// stale, if set, is the list of hosts that this host has seen.
	stale []sardineknot.EntryHost
	drops uint64
}

func (h *host) Self() sardineknot.EntryHost { return h.entry }

func (h *host) Registered() ([]sardineknot.EntryHost, uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stale != nil {
		return h.stale, h.drops
	}
	return h.registered, h.drops
}

// Now implements sardineknot.Clock. It blocks while h is paused.
func (h *host) Now() time.Time {
	h.mu.Lock()
	d := time.Until(h.pausedUntil)
	h.mu.Unlock()
	time.Sleep(d)
	return time.Now()
}

// RoundTrip carries a request from h. One to a paused host is served after the pause.
func (h *host) RoundTrip(request *http.Request) (*http.Response, error) {
	h.mu.Lock()
	var p *host
	for _, o := range h.hosts {
		if o.entry.PeerAddress.String() == request.URL.Host {
			p = o
		}
	}
	d, c, w, m := p.down, p.group != h.group || p == h.cut, time.Until(p.pausedUntil), p.mux
	h.mu.Unlock()
	switch {
	case d:
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	case c:
		<-request.Context().Done()
		return nil, request.Context().Err()
	}
	a := make(chan *http.Response, 1)
	go func() {
		time.Sleep(max(w, time.Millisecond))
		r := httptest.NewRecorder()
		m.ServeHTTP(r, request.WithContext(context.WithoutCancel(request.Context())))
		a <- r.Result()
	}()
	select {
	case r := <-a:
		return r, nil
	case <-request.Context().Done():
		return nil, request.Context().Err()
	}
}

// run runs test in virtual time with count hosts and an account with the given limit.
func run(t *testing.T, count int, perSecond float64, test func(*fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{t: t, account: sardineknot.ClientAccount{Name: "verk", Limit: sardineknot.AccountLimit{PerSecond: perSecond, Burst: perSecond, CountsTokens: true}}}
		for n := range count {
			h := &host{fleet: f, entry: sardineknot.EntryHost{
				ID: sardineknot.EntryHostID(fmt.Sprintf("h%03d", n)), Incarnation: 1,
				PeerAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 1),
			}}
			f.hosts = append(f.hosts, h)
			f.registered = append(f.registered, h.entry)
		}
		for n := range f.hosts {
			f.start(n)
		}
		test(f)
		for _, h := range f.hosts {
			h.cancel()
		}
		time.Sleep(10 * time.Second)
		synctest.Wait()
	})
}

// start starts the process of host n again.
func (f *fleet) start(n int) {
	h := f.hosts[n]
	k, r, m := rank.NewRanker(h), metrics.NewRegistry(), http.NewServeMux()
	o := owner.NewOwner(h, h, k, f.limit)
	c := &twirp.Client{Hosts: h, Ranker: k, Owner: o, Clock: h, HTTP: &http.Client{Transport: h}, Log: zerolog.Nop(), Metrics: r}
	l := &credit.Limiter{Clock: h, Source: c, Hosts: h, Metrics: r}
	m.Handle(c.Handler())
	ctx, cancel := context.WithCancel(f.t.Context())
	go o.Run(ctx)
	go l.Run(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	h.limiter, h.mux, h.metrics, h.cancel, h.down = l, m, r, cancel, false
}

func (f *fleet) limit(sardineknot.ClientAccountName) (sardineknot.AccountLimit, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.account.Limit, true
}

// set changes fields of f.
func (f *fleet) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// kill ends the process of host n. The service drops it after leaseTime if that is
// positive.
func (f *fleet) kill(n int, leaseTime time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts[n].cancel()
	f.hosts[n].down = true
	if leaseTime > 0 {
		time.AfterFunc(leaseTime, func() { f.register(n, false) })
	}
}

// register adds host n to the registered hosts or removes it.
func (f *fleet) register(n int, listed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	h := f.hosts[n]
	l := slices.DeleteFunc(slices.Clone(f.registered), func(e sardineknot.EntryHost) bool { return e.ID == h.entry.ID })
	if listed {
		l = append(l, h.entry)
		slices.SortFunc(l, func(a, b sardineknot.EntryHost) int { return a.PeerAddress.Compare(b.PeerAddress) })
	}
	f.registered = l
}

// pause stops host n for duration. The service drops it after leaseTime. It learns of
// that, and is registered again, some time after it has resumed.
func (f *fleet) pause(n int, duration, leaseTime time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	h := f.hosts[n]
	h.pausedUntil, h.stale = time.Now().Add(duration), f.registered
	time.AfterFunc(leaseTime, func() { f.register(n, false) })
	time.AfterFunc(duration+300*time.Millisecond, func() {
		f.set(func() {
			h.stale = nil
			h.drops++
		})
	})
	time.AfterFunc(duration+600*time.Millisecond, func() { f.register(n, true) })
}

// order returns the numbers of the hosts that rank first for the account.
func (f *fleet) order() []int {
	var l []int
	for _, e := range rank.NewRanker(f.hosts[0]).Order(f.account.Name) {
		l = append(l, slices.IndexFunc(f.hosts, func(h *host) bool { return h.entry.ID == e.ID }))
	}
	return l
}

// call makes a call at host n. It does not happen if the host is down.
func (f *fleet) call(n int, cost float64) {
	h := f.hosts[n]
	h.Now()
	f.mu.Lock()
	l, d, a := h.limiter, h.down, f.account
	f.mu.Unlock()
	if d {
		return
	}
	err := l.Admit(f.t.Context(), &a, cost, 100*time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	switch e := limited(err); {
	case h.down:
	case err == nil:
		f.sends = append(f.sends, send{time.Now(), cost, n})
	case e != nil:
		f.refused = append(f.refused, e.RetryAfter)
	default:
		f.t.Error(err)
	}
}

// load makes calls for duration, of perSecond tokens a second in all. Each is at the
// host that pick returns. Calls cost 5,300 tokens on average and 20,000 at most.
func (f *fleet) load(duration time.Duration, perSecond float64, pick func(*rand.Rand) int) {
	r := rand.New(rand.NewPCG(1, 1))
	for e := time.Now().Add(duration); time.Now().Before(e); {
		go f.call(pick(r), min(20_000, 500+r.ExpFloat64()*4900))
		time.Sleep(time.Duration(r.ExpFloat64() * float64(time.Second) * 5300 / perSecond))
	}
}
