package twirp_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/host/clock"
	"sardineknot.example/sardineknot/internal/membership/rendezvous"
	rpc "sardineknot.example/sardineknot/internal/rpc/serverlimits"
	"sardineknot.example/sardineknot/internal/serverlimits/twirp"
)

const (
	// window is the time in which a server may get factor times what its limit
	// allows, and slack requests more.
	window = 4 * time.Second
	factor = 1.5
	slack  = 5
	// use is the share of the limit that is used while callers wait for it.
	use = 0.85
	// limit is the limit of the server.
	limit = 4.4
)

// fleet is a set of entry hosts without sockets before one limited server. It is
// an http.RoundTripper and the membership of all of them.
type fleet struct {
	sardineknot.Membership
	mu       sync.Mutex
	hosts    []sardineknot.EntryHost
	muxes    map[string]*http.ServeMux
	limiters []*twirp.Limiter
	// limited is set while the server names its limit. sends holds the times at
	// which it got a request.
	limited bool
	sends   []time.Time
}

var server = sardineknot.BackendServer{Name: "s", Born: 1}

func (f *fleet) Hosts() []sardineknot.EntryHost {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hosts
}

func (f *fleet) RoundTrip(request *http.Request) (*http.Response, error) {
	f.mu.Lock()
	m := f.muxes[request.URL.Host]
	f.mu.Unlock()
	if m == nil {
		return nil, errors.New("connection refused")
	}
	time.Sleep(time.Millisecond)
	w := httptest.NewRecorder()
	m.ServeHTTP(w, request)
	return w.Result(), nil
}

// member is the membership of one host of a fleet.
type member struct {
	*fleet
	self sardineknot.EntryHost
}

func (m member) Self() sardineknot.EntryHost { return m.self }

// newFleet returns a fleet of count hosts.
func newFleet(count int) *fleet {
	f := &fleet{muxes: make(map[string]*http.ServeMux), limited: true}
	for n := range count {
		f.hosts = append(f.hosts, sardineknot.EntryHost{
			ID: sardineknot.EntryHostID(fmt.Sprint("h", n)), State: sardineknot.EntryHostAlive,
			PeerAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 1),
		})
	}
	for n := range f.hosts {
		f.limiters = append(f.limiters, nil)
		f.restart(n)
	}
	return f
}

// restart starts host n again, without limits.
func (f *fleet) restart(n int) {
	h := f.hosts[n]
	l := twirp.NewLimiter()
	l.Members, l.Ranker, l.Clock, l.Client = member{f, h}, rendezvous.NewRanker(member{f, h}), clock.System{}, &http.Client{Transport: f}
	l.Log, l.Metrics = zerolog.Nop(), metrics.NewRegistry()
	m := http.NewServeMux()
	m.Handle(l.Handler())
	f.mu.Lock()
	defer f.mu.Unlock()
	f.limiters[n] = l
	f.muxes[h.PeerAddress.String()] = m
}

// cut makes host n unreachable for the others, which still list it.
func (f *fleet) cut(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.muxes[f.hosts[n].PeerAddress.String()] = nil
}

// owner returns the number of the host that issues the permits.
func (f *fleet) owner() int {
	h, _ := f.limiters[0].Ranker.Owner("serverlimit/s")
	for n, o := range f.hosts {
		if o.ID == h.ID {
			return n
		}
	}
	return -1
}

// call sends a request from host n if it is admitted. The answer comes after a
// few milliseconds.
func (f *fleet) call(t *testing.T, n int) {
	f.mu.Lock()
	l := f.limiters[n]
	f.mu.Unlock()
	if l.Admit(t.Context(), server) > 0 {
		return
	}
	b := time.Now()
	f.mu.Lock()
	f.sends = append(f.sends, b)
	v := 0.0
	if f.limited {
		v = limit
	}
	f.mu.Unlock()
	time.Sleep(5 * time.Millisecond)
	l.Observe(server, v, b)
}

// load makes calls for duration, perSecond of them a second, each at the host
// that pick returns.
func (f *fleet) load(t *testing.T, duration time.Duration, perSecond float64, pick func() int) {
	r := rand.New(rand.NewPCG(1, 1))
	for e := time.Now().Add(duration); time.Now().Before(e); {
		go f.call(t, pick())
		time.Sleep(time.Duration(r.ExpFloat64() * float64(time.Second) / perSecond))
	}
	synctest.Wait()
}

// assertKept checks the requests that the server got since the time begin. If
// used is set, the limit must have been used as well.
func (f *fleet) assertKept(t *testing.T, begin time.Time, used bool) {
	t.Helper()
	is := is.New(t)
	f.mu.Lock()
	defer f.mu.Unlock()
	var l []time.Time
	for _, s := range f.sends {
		if !s.Before(begin) {
			l = append(l, s)
		}
	}
	i, m := 0, 0
	for j := range l {
		for l[j].Sub(l[i]) > window {
			i++
		}
		m = max(m, j-i+1)
	}
	is.True(float64(m) <= factor*limit*window.Seconds()+slack)
	if used {
		is.True(float64(len(l)) >= use*limit*time.Since(begin).Seconds())
	}
}

// run runs test in virtual time with count hosts.
func run(t *testing.T, count int, test func(*testing.T, *fleet, func() int)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r := rand.New(rand.NewPCG(2, 2))
		test(t, newFleet(count), func() int { return r.IntN(count) })
		time.Sleep(time.Second)
		synctest.Wait()
	})
}

// TestPooledLimit guards against hosts that each keep a limit but exceed it
// together, or leave it unused.
func TestPooledLimit(t *testing.T) {
	for _, n := range []int{1, 8, 64, 300} {
		t.Run(fmt.Sprintf("%d hosts", n), func(t *testing.T) {
			run(t, n, func(t *testing.T, f *fleet, any func() int) {
				f.load(t, 3*time.Second, 70, any)
				b := time.Now()
				f.load(t, 20*time.Second, 70, any)
				f.assertKept(t, b, true)
			})
		})
	}
	t.Run("all calls at one host", func(t *testing.T) {
		run(t, 64, func(t *testing.T, f *fleet, _ func() int) {
			f.load(t, 3*time.Second, 70, func() int { return 7 })
			b := time.Now()
			f.load(t, 20*time.Second, 70, func() int { return 7 })
			f.assertKept(t, b, true)
		})
	})
	t.Run("hosts that sent nothing before", func(t *testing.T) {
		run(t, 300, func(t *testing.T, f *fleet, any func() int) {
			f.load(t, 3*time.Second, 70, func() int { return 7 })
			b := time.Now()
			f.load(t, 10*time.Second, 70, any)
			f.assertKept(t, b, true)
		})
	})
}

// TestOwnerLost guards against a limit that is exceeded when the host that issues
// the permits is away or has lost its memory.
func TestOwnerLost(t *testing.T) {
	t.Run("away", func(t *testing.T) {
		run(t, 8, func(t *testing.T, f *fleet, any func() int) {
			f.load(t, 3*time.Second, 70, any)
			b := time.Now()
			f.load(t, 4*time.Second, 70, any)
			o := f.owner()
			f.cut(o)
			f.load(t, 8*time.Second, 70, func() int { // the server can expect nothing of a host that is cut off
				n := any()
				for n == o {
					n = any()
				}
				return n
			})
			f.assertKept(t, b, false)
		})
	})
	t.Run("started again, several times", func(t *testing.T) {
		run(t, 8, func(t *testing.T, f *fleet, any func() int) {
			f.load(t, 3*time.Second, 70, any)
			b := time.Now()
			for range 6 {
				f.load(t, 2*time.Second, 70, any)
				f.restart(f.owner())
			}
			f.assertKept(t, b, false)
		})
	})
}

// TestLimitEnds guards against hosts that keep a limit that the server names no
// more.
func TestLimitEnds(t *testing.T) {
	for _, n := range []int{8, 300} {
		t.Run(fmt.Sprintf("%d hosts", n), func(t *testing.T) {
			run(t, n, func(t *testing.T, f *fleet, any func() int) {
				f.load(t, 5*time.Second, 70, any)
				f.mu.Lock()
				f.limited = false
				f.mu.Unlock()
				f.load(t, time.Second, 70, any)
				for _, l := range f.limiters {
					is.New(t).True(!l.Limited(server))
				}
			})
		})
	}
}

// TestLimitFromFuture guards against a limit in a malformed message whose age is negative:
// it would hold for as long, and no later limit would replace it.
func TestLimitFromFuture(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(2)
		l := f.limiters[0]
		p, h := l.Handler()
		b, err := proto.Marshal(&rpc.Limit{Server: string(server.Name), Born: server.Born, PerSecond: 1, AgeMicros: -(1000 * time.Hour).Microseconds()})
		is.NoErr(err)
		r := httptest.NewRequest(http.MethodPost, p+"Report", bytes.NewReader(b))
		r.Header.Set("Content-Type", "application/protobuf")
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		is.Equal(w.Code, http.StatusOK)
		is.True(l.Limited(server))
		time.Sleep(2 * time.Minute)
		is.True(!l.Limited(server))
	})
}
