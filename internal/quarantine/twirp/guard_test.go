package twirp_test

import (
	"context"
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

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/host/clock"
	"sardineknot.example/sardineknot/internal/quarantine/twirp"
)

// known is the time after the last crash of a series within which every host
// bars the part.
const known = 2 * time.Second

var (
	bad   = sardineknot.TraitList{1, 2}
	sound = sardineknot.TraitList{1, 3}
)

// fleet is a set of entry hosts without sockets. It is an http.RoundTripper and
// the membership of all of them.
type fleet struct {
	sardineknot.Membership
	mu     sync.Mutex
	hosts  []sardineknot.EntryHost
	muxes  map[string]*http.ServeMux
	guards []*twirp.Guard
	stops  []context.CancelFunc
	calls  int
	bytes  int64
}

func (f *fleet) Hosts() []sardineknot.EntryHost {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hosts
}

func (f *fleet) RoundTrip(request *http.Request) (*http.Response, error) {
	f.mu.Lock()
	m := f.muxes[request.URL.Host]
	f.calls++
	f.bytes += request.ContentLength
	f.mu.Unlock()
	if m == nil {
		return nil, errors.New("connection refused")
	}
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

// run runs test in virtual time with count hosts.
func run(t *testing.T, count int, test func(*testing.T, *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{muxes: make(map[string]*http.ServeMux)}
		for range count {
			f.start(t.Context())
		}
		time.Sleep(time.Second)
		test(t, f)
		for _, s := range f.stops {
			s()
		}
		synctest.Wait()
	})
}

// start starts another host.
func (f *fleet) start(ctx context.Context) *twirp.Guard {
	n := len(f.guards)
	h := sardineknot.EntryHost{ID: sardineknot.EntryHostID(fmt.Sprint("h", n)), PeerAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 1)}
	g := twirp.NewGuard()
	g.Members, g.Clock, g.Client, g.Random = member{f, h}, clock.System{}, &http.Client{Transport: f}, rand.New(rand.NewPCG(uint64(n), 1))
	g.Log, g.Metrics = zerolog.Nop(), metrics.NewRegistry()
	f.mu.Lock()
	f.hosts = append(f.hosts, h)
	f.guards = append(f.guards, g)
	f.mu.Unlock()
	f.connect(n)
	ctx, cancel := context.WithCancel(ctx)
	f.stops = append(f.stops, cancel)
	go func() { _ = g.Run(ctx) }()
	return g
}

// cut makes host n unreachable for others. Its own calls still succeed.
func (f *fleet) cut(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.muxes, f.hosts[n].PeerAddress.String())
}

// connect makes host n reachable.
func (f *fleet) connect(n int) {
	m := http.NewServeMux()
	m.Handle(f.guards[n].Handler())
	f.mu.Lock()
	defer f.mu.Unlock()
	f.muxes[f.hosts[n].PeerAddress.String()] = m
}

// call returns the call of a request called id whose prompt has the given parts.
func call(id string, parts sardineknot.TraitList) *sardineknot.Call {
	return &sardineknot.Call{Target: "/" + id, Generation: &sardineknot.Generation{Parts: parts}}
}

// crash reports count crashes under requests with parts, one every 300 ms, each
// at the host that host returns for its number. Answers on sound parts begin all
// the time.
func (f *fleet) crash(count int, parts sardineknot.TraitList, host func(int) int) {
	for i := range count {
		p := sardineknot.ServerProcess{Name: sardineknot.BackendServerName(fmt.Sprint("i-", parts, i)), Born: 1}
		f.guards[host(i)].ReportCrash(p, call(fmt.Sprint(parts, i), parts), time.Now().Add(-time.Millisecond))
		time.Sleep(300 * time.Millisecond)
		f.guards[i%len(f.guards)].ReportSound(sardineknot.ServerProcess{Name: "i-sound", Born: 1}, call(fmt.Sprint("sound", i), sound), time.Now().Add(-time.Millisecond))
	}
}

// assertBarred checks at how many of the guards requests with parts are barred.
func assertBarred(t *testing.T, guards []*twirp.Guard, parts sardineknot.TraitList, count int) {
	t.Helper()
	n := 0
	for _, g := range guards {
		err := g.Check(call("other", parts))
		var r *sardineknot.NotRunError
		if errors.As(err, &r) && r.RetryAfter > 0 {
			n++
		}
	}
	is.New(t).Equal(n, count)
}

// TestAllHostsBar guards against hosts that let requests with a part pass which
// has crashed engines under requests of other hosts.
func TestAllHostsBar(t *testing.T) {
	for _, n := range []int{1, 8, 64, 300} {
		t.Run(fmt.Sprintf("%d hosts", n), func(t *testing.T) {
			run(t, n, func(t *testing.T, f *fleet) {
				f.crash(4, bad, func(i int) int { return i % n })
				time.Sleep(known)
				assertBarred(t, f.guards, bad, n)
				assertBarred(t, f.guards, sound, 0)
			})
		})
	}
	t.Run("all crashes at one host", func(t *testing.T) {
		run(t, 8, func(t *testing.T, f *fleet) {
			f.crash(4, bad, func(int) int { return 0 })
			time.Sleep(known)
			assertBarred(t, f.guards, bad, 8)
		})
	})
	t.Run("a host that starts later", func(t *testing.T) {
		run(t, 8, func(t *testing.T, f *fleet) {
			f.crash(4, bad, func(i int) int { return i })
			time.Sleep(known)
			g := f.start(t.Context())
			time.Sleep(time.Second)
			assertBarred(t, []*twirp.Guard{g}, bad, 1)
		})
	})
	t.Run("a host that was cut off meanwhile", func(t *testing.T) {
		run(t, 8, func(t *testing.T, f *fleet) {
			f.cut(7)
			f.crash(4, bad, func(i int) int { return i })
			f.connect(7)
			time.Sleep(known)
			assertBarred(t, f.guards, bad, 8)
		})
	})
	t.Run("hosts that were killed after they had seen crashes", func(t *testing.T) {
		run(t, 8, func(t *testing.T, f *fleet) {
			f.crash(2, bad, func(i int) int { return i })
			for n := range 2 {
				f.cut(n)
				f.stops[n]()
			}
			f.crash(2, sardineknot.TraitList{2, 4}, func(i int) int { return 2 + i })
			time.Sleep(known)
			assertBarred(t, f.guards[2:], sardineknot.TraitList{2}, 6)
		})
	})
}

// TestSoundStays guards against sound requests that are barred at hosts that have
// not seen an answer on their parts themselves.
func TestSoundStays(t *testing.T) {
	run(t, 8, func(t *testing.T, f *fleet) {
		f.crash(12, sound, func(i int) int { return i % 2 })
		time.Sleep(known)
		assertBarred(t, f.guards, sound, 0)
	})
}

// TestQuiet checks the cost while no engine ends.
func TestQuiet(t *testing.T) {
	const hosts = 64
	run(t, hosts, func(t *testing.T, f *fleet) {
		is := is.New(t)
		f.mu.Lock()
		f.calls, f.bytes = 0, 0
		f.mu.Unlock()
		time.Sleep(10 * time.Second)
		f.mu.Lock()
		defer f.mu.Unlock()
		is.True(f.calls <= 11*hosts)
		is.True(f.bytes <= 16*int64(f.calls))
	})
}

// TestReplacedProcesses guards against a part of prompts that is put into quarantine because all
// engines were replaced at once while they ran requests with it.
func TestReplacedProcesses(t *testing.T) {
	shared := sardineknot.TraitList{7}
	for _, replaced := range []bool{true, false} {
		t.Run(fmt.Sprint("the next processes answer: ", replaced), func(t *testing.T) {
			run(t, 3, func(t *testing.T, f *fleet) {
				for i := range 10 {
					p := sardineknot.ServerProcess{Name: sardineknot.BackendServerName(fmt.Sprint("i-", i)), Born: 1}
					f.guards[i%3].ReportCrash(p, call(fmt.Sprint("c", i), shared), time.Now().Add(-time.Millisecond))
					time.Sleep(60 * time.Millisecond)
					if replaced {
						f.guards[(i+1)%3].ReportReplaced(p, time.Now())
					}
				}
				time.Sleep(5 * time.Second)
				for _, g := range f.guards {
					is.New(t).Equal(g.Check(call("next", shared)) == nil, replaced)
				}
			})
		})
	}
}
