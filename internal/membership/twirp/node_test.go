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

// testInterval is the heartbeat interval in the tests.
const testInterval = 20 * time.Millisecond

// hostList is a fake of the platform's host list. Fetch returns the hosts that
// the test sets.
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

// offsetClock is the system clock plus an adjustable offset.
type offsetClock struct {
	mu     sync.Mutex
	offset time.Duration
}

func (s *offsetClock) Now() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return clock.System{}.Now().Add(s.offset)
}

func (s *offsetClock) add(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.offset += d
}

// peer is a running node with the server that its peers call.
type peer struct {
	*Node
	clock   *offsetClock
	server  *http.Server
	metrics metrics.Registry
	stop    context.CancelFunc
	// storeUp determines whether CheckStore succeeds.
	storeUp atomic.Bool
}

// startPeer starts the host entry-i, which reads the host list l, until the
// test ends.
func startPeer(t testing.TB, i int, l *hostList, interval time.Duration) *peer {
	s, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	a := s.Addr().(*net.TCPAddr).AddrPort()
	h := sardineknot.EntryHost{ID: sardineknot.EntryHostID("entry-" + strconv.Itoa(i)), Incarnation: 1, CallerAddress: a, PeerAddress: a, Zone: "reykjavik-a"}
	p := &peer{clock: &offsetClock{}, metrics: metrics.NewRegistry()}
	p.Node = NewNode(h, p.clock, interval, p.metrics)
	p.Client = h2c.NewTransport(p.metrics).Client()
	p.PlatformHosts = l
	p.Log = zerolog.Nop()
	p.CheckStore = p.checkStore
	p.Revision = func() sardineknot.Revision { return 0 }
	p.server = h2c.NewServer(api.NewMembershipServer(p.Node))
	go p.server.Serve(s)
	ctx, cancel := context.WithCancel(context.Background())
	p.stop = cancel
	go p.Run(ctx)
	t.Cleanup(p.kill)
	return p
}

func (p *peer) checkStore(context.Context) error {
	if p.storeUp.Load() {
		return nil
	}
	return errors.New("down")
}

func (p *peer) kill() {
	p.stop()
	p.server.Close()
}

// startPeers starts n peers, puts them on a host list, and waits until each of
// them sees n alive hosts.
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
		p.await(t, hasAlive(n))
	}
	return r, l
}

func listedEntry(p *peer) sardineknot.ListedHost {
	s := p.Self()
	return sardineknot.ListedHost{Name: string(s.ID), Role: sardineknot.ListedEntryHost, Address: s.CallerAddress, PeerAddress: s.PeerAddress, Zone: s.Zone}
}

// await waits until met accepts the hosts of p, and fails the test after about
// 30 seconds.
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

// hasAlive returns a condition that n hosts are alive.
func hasAlive(n int) func([]sardineknot.EntryHost) bool {
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

// hasState returns a condition that host id is in state s.
func hasState(id sardineknot.EntryHostID, s sardineknot.EntryHostState) func([]sardineknot.EntryHost) bool {
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
	r, l := startPeers(t, 4, testInterval)
	i := r[3].Self().ID
	r[3].kill()
	r[0].await(t, hasState(i, sardineknot.EntryHostDead))
	r[1].await(t, hasState(i, sardineknot.EntryHostDead))
	is.New(t).True(!r[0].Isolated())
	p := startPeer(t, 3, l, testInterval)
	l.set(listedEntry(p), listedEntry(r[0]))
	r[0].await(t, hasAlive(4))
	p.await(t, hasAlive(4))
	is.New(t).True(p.Self().Incarnation > 1) // the previous incarnation was declared dead
}

func TestLeavingHost(t *testing.T) {
	r, _ := startPeers(t, 3, testInterval)
	r[2].Leave(context.Background())
	r[0].await(t, hasState("entry-2", sardineknot.EntryHostLeaving))
	r[1].await(t, hasState("entry-2", sardineknot.EntryHostLeaving))
}

func TestHostWithoutPeersAndStoreIsIsolated(t *testing.T) {
	r, _ := startPeers(t, 3, testInterval)
	r[1].kill()
	r[2].kill()
	r[0].await(t, func([]sardineknot.EntryHost) bool { return r[0].Isolated() })
}

func TestLostPeersAloneDoNotIsolate(t *testing.T) {
	r, _ := startPeers(t, 3, testInterval)
	r[0].storeUp.Store(true)
	r[1].kill()
	r[2].kill()
	r[0].await(t, hasAlive(1))
	is.New(t).True(!r[0].Isolated())
}

func TestPausedHostIsIsolatedUntilConfirmed(t *testing.T) {
	r, _ := startPeers(t, 3, testInterval)
	// A host detects its own pause as a jump of its clock.
	r[0].clock.add(time.Minute)
	is.New(t).True(r[0].Isolated()) // before the next heartbeat tick
	r[0].await(t, func([]sardineknot.EntryHost) bool { return !r[0].Isolated() })
}

func TestPausedHostDeclaredDeadTakesNewIncarnation(t *testing.T) {
	r, _ := startPeers(t, 3, testInterval)
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
	r, l := startPeers(t, 3, testInterval)
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

func TestOneHostListReaderPerZone(t *testing.T) {
	r, _ := startPeers(t, 4, testInterval)
	var n int
	for _, p := range r {
		if p.IsReader("reykjavik-a") {
			n++
		}
	}
	is.New(t).Equal(n, 1)
}

// BenchmarkHeartbeats measures the heartbeat traffic and processor time of a
// host for different numbers of hosts.
func BenchmarkHeartbeats(b *testing.B) {
	for _, n := range []int{4, 8, 16, 32} {
		b.Run(strconv.Itoa(n), func(b *testing.B) { measure(b, n) })
	}
}

// measure runs n hosts and reports the bytes per second that a host sends and
// receives, and the processor time that it uses. A host counts only the bytes
// on connections that it opened. The total is doubled, because each of these
// bytes is also sent or received by the host at the other end.
func measure(b *testing.B, n int) {
	const intervals = 20
	r, _ := startPeers(b, n, time.Second)
	time.Sleep(intervals * time.Second)
	s, c := totalBytes(r), processorTime(b)
	for b.Loop() {
		time.Sleep(intervals * time.Second)
	}
	e := totalBytes(r) - s
	d := float64(n * intervals * b.N)
	b.ReportMetric(2*float64(e)/d, "B/s")
	b.ReportMetric(float64((processorTime(b)-c).Microseconds())/d, "µs-cpu/s")
}

// processorTime returns the processor time that this process has used so far.
func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	is.New(b).NoErr(syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// totalBytes returns the number of bytes that the hosts have counted.
func totalBytes(r []*peer) int64 {
	var s int64
	for _, p := range r {
		s += metrics.GetOrRegisterCounter("peer.bytes.sent", p.metrics).Count()
		s += metrics.GetOrRegisterCounter("peer.bytes.received", p.metrics).Count()
	}
	return s
}
