package twirp

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/host/clock"
	"sardineknot.example/sardineknot/internal/peer/h2c"
	api "sardineknot.example/sardineknot/internal/rpc/membership"
)

// beat is the heartbeat interval of the tests.
const beat = 20 * time.Millisecond

// hostList is a fixed host list.
type hostList struct {
	mu    sync.Mutex
	hosts []sardineknot.ListedHost
}

func (h *hostList) Fetch(context.Context) ([]sardineknot.ListedHost, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.hosts, nil
}

func (h *hostList) set(l ...sardineknot.ListedHost) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hosts = l
}

// skewed is the system's clock with an offset.
type skewed struct {
	mu     sync.Mutex
	offset time.Duration
}

func (s *skewed) Now() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return clock.System{}.Now().Add(s.offset)
}

func (s *skewed) add(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.offset += d
}

// peer is a node with its server.
type peer struct {
	*Node
	clock   *skewed
	server  *http.Server
	metrics metrics.Registry
	stop    context.CancelFunc
	storeUp atomic.Bool
}

func startPeer(t testing.TB, i int, l *hostList, interval time.Duration) *peer {
	s, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	a := s.Addr().(*net.TCPAddr).AddrPort()
	h := sardineknot.EntryHost{ID: sardineknot.EntryHostID("entry-" + strconv.Itoa(i)), Incarnation: 1, CallerAddress: a, PeerAddress: a, Zone: "reykjavik-a"}
	p := &peer{clock: &skewed{}, metrics: metrics.NewRegistry()}
	p.Node = NewNode(h, p.clock, interval, p.metrics)
	p.Client = h2c.NewTransport(p.metrics).Client()
	p.Listed = l
	p.Log = zerolog.Nop()
	p.CheckStore = p.checkStandIn
	p.Revision = func() sardineknot.Revision { return 0 }
	p.server = h2c.NewServer(api.NewMembershipServer(p.Node))
	go p.server.Serve(s)
	ctx, cancel := context.WithCancel(context.Background())
	p.stop = cancel
	go p.Run(ctx)
	t.Cleanup(p.kill)
	return p
}

func (p *peer) checkStandIn(context.Context) error {
	if p.storeUp.Load() {
		return nil
	}
	return errors.New("down")
}

func (p *peer) kill() {
	p.stop()
	p.server.Close()
}

func startPeers(t testing.TB, n int, interval time.Duration) ([]*peer, *hostList) {
	l := &hostList{}
	var r []*peer
	var h []sardineknot.ListedHost
	for i := range n {
		r = append(r, startPeer(t, i, l, interval))
		h = append(h, listedEntry(r[i]))
	}
	l.set(h...)
	for _, p := range r {
		p.await(t, alive(n))
	}
	return r, l
}

func listedEntry(p *peer) sardineknot.ListedHost {
	s := p.Self()
	return sardineknot.ListedHost{Name: string(s.ID), Role: sardineknot.ListedEntryHost, Address: s.CallerAddress, PeerAddress: s.PeerAddress, Zone: s.Zone}
}

// await waits until the hosts of p meet the condition.
func (p *peer) await(t testing.TB, met func([]sardineknot.EntryHost) bool) {
	t.Helper()
	for range 3000 {
		if met(p.Hosts()) {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("%s sees %v", p.Self().ID, p.Hosts())
}

func alive(n int) func([]sardineknot.EntryHost) bool {
	return func(l []sardineknot.EntryHost) bool {
		var m int
		for _, h := range l {
			if h.State == sardineknot.EntryHostAlive {
				m++
			}
		}
		return m == n
	}
}

func in(id sardineknot.EntryHostID, s sardineknot.EntryHostState) func([]sardineknot.EntryHost) bool {
	return func(l []sardineknot.EntryHost) bool {
		for _, h := range l {
			if h.ID == id {
				return h.State == s
			}
		}
		return false
	}
}

func TestDeathAndRestart(t *testing.T) {
	r, l := startPeers(t, 4, beat)
	i := r[3].Self().ID
	r[3].kill()
	r[0].await(t, in(i, sardineknot.EntryHostDead))
	r[1].await(t, in(i, sardineknot.EntryHostDead))
	is.New(t).True(!r[0].Isolated())
	p := startPeer(t, 3, l, beat)
	l.set(listedEntry(p), listedEntry(r[0]))
	r[0].await(t, alive(4))
	p.await(t, alive(4))
	is.New(t).True(p.Self().Incarnation > 1) // the old life is dead
}

func TestLeavingHost(t *testing.T) {
	r, _ := startPeers(t, 3, beat)
	r[2].Leave(context.Background())
	r[0].await(t, in("entry-2", sardineknot.EntryHostLeaving))
	r[1].await(t, in("entry-2", sardineknot.EntryHostLeaving))
}

func TestIsolation(t *testing.T) {
	r, _ := startPeers(t, 3, beat)
	r[1].kill()
	r[2].kill()
	r[0].await(t, func([]sardineknot.EntryHost) bool { return r[0].Isolated() })
}

func TestLostPeersAloneDoNotIsolate(t *testing.T) {
	r, _ := startPeers(t, 3, beat)
	r[0].storeUp.Store(true)
	r[1].kill()
	r[2].kill()
	r[0].await(t, alive(1))
	is.New(t).True(!r[0].Isolated())
}

func TestPauseIsConfirmed(t *testing.T) {
	r, _ := startPeers(t, 3, beat)
	// A jump of the clock is how a host sees its own pause.
	r[0].clock.add(time.Minute)
	is.New(t).True(r[0].Isolated()) // before any heartbeat
	r[0].await(t, func([]sardineknot.EntryHost) bool { return !r[0].Isolated() })
}

func TestPausedHostFindsOutItsDeath(t *testing.T) {
	r, _ := startPeers(t, 3, beat)
	i := r[0].Self()
	m := member(i)
	m.State = int32(sardineknot.EntryHostDead)
	r[0].clock.add(time.Minute)
	for _, p := range r[1:] {
		_, err := p.Exchange(context.Background(), &api.ExchangeRequest{Sender: member(r[1].Self()), Changes: []*api.Member{m}})
		is.New(t).NoErr(err)
	}
	r[0].await(t, func([]sardineknot.EntryHost) bool { return !r[0].Isolated() })
	is.New(t).True(r[0].Self().Incarnation > i.Incarnation)
}

func TestBackendsOnTheHostList(t *testing.T) {
	r, l := startPeers(t, 3, beat)
	b := sardineknot.ListedHost{Name: "decode-1", Role: sardineknot.ListedBackendServer, Leaving: true}
	l.set(b)
	for _, p := range r {
		p.await(t, func([]sardineknot.EntryHost) bool { return p.LeavingBackends()["decode-1"] })
	}
	b.Leaving = false
	l.set(b)
	for _, p := range r {
		p.await(t, func([]sardineknot.EntryHost) bool { return !p.LeavingBackends()["decode-1"] })
	}
}

func TestReaderOfZone(t *testing.T) {
	r, _ := startPeers(t, 4, beat)
	var n int
	for _, p := range r {
		if p.ReadsFor("reykjavik-a") {
			n++
		}
	}
	is.New(t).Equal(n, 1)
}

// BenchmarkHeartbeats measures the traffic of a host by the number of hosts.
func BenchmarkHeartbeats(b *testing.B) {
	for _, n := range []int{4, 8, 16, 32} {
		b.Run(strconv.Itoa(n), func(b *testing.B) { measure(b, n) })
	}
}

// measure reports the bytes that a host sends and receives in a second, on the
// connections that it opened and on those that others opened to it.
func measure(b *testing.B, n int) {
	const intervals = 20
	r, _ := startPeers(b, n, time.Second)
	time.Sleep(intervals * time.Second)
	s, c := total(r), processorTime(b)
	for b.Loop() {
		time.Sleep(intervals * time.Second)
	}
	e := total(r) - s
	d := float64(n * intervals * b.N)
	b.ReportMetric(2*float64(e)/d, "B/s")
	b.ReportMetric(float64((processorTime(b)-c).Microseconds())/d, "µs-cpu/s")
}

// processorTime returns the processor time that this process has used.
func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	is.New(b).NoErr(syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func total(r []*peer) int64 {
	var s int64
	for _, p := range r {
		s += metrics.GetOrRegisterCounter("peer.bytes.sent", p.metrics).Count()
		s += metrics.GetOrRegisterCounter("peer.bytes.received", p.metrics).Count()
	}
	return s
}
