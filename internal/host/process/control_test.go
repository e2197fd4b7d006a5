package process

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/configuration/writer"
	standin "sardineknot.example/sardineknot/internal/standin/etcd"
	"sardineknot.example/sardineknot/internal/standin/fault"
	"sardineknot.example/sardineknot/internal/standin/httpsd"
	"sardineknot.example/sardineknot/internal/standin/record"
)

const (
	// window is the duration of one measurement.
	window = 5 * time.Second
	// requestsPerHost is the rate of requests at each host, per second: 1,500
	// requests per second over 360 hosts.
	requestsPerHost = 4.2
	// settlingTime is the time after the start in which all hosts discover each
	// other.
	settlingTime = 15 * time.Second
)

// cluster holds several entry hosts that run in this process, with shared
// backend servers.
type cluster struct {
	fixture
	hosts []*Process
	// store counts the calls to the stand-ins for the store and the host list.
	store *record.Recorder
}

// newCluster starts n entry hosts that share a store, a host list and backend
// servers, and waits until they have discovered each other.
func newCluster(t testing.TB, n int) *cluster {
	i := is.New(t)
	c := &cluster{fixture: newBackends(t), store: &record.Recorder{}}
	m := http.NewServeMux()
	m.Handle("/v3/", standin.NewServer(&fault.Injector{}, c.store))
	m.Handle("/hosts", httpsd.NewServer(&fault.Injector{}, c.store))
	a := startServer(t, m)
	var l []string
	var s []sardineknot.Settings
	for k := range n {
		v := sardineknot.Settings{ID: sardineknot.EntryHostID(fmt.Sprint("entry-", k)), Zone: "reykjavik-a", Store: a, HostList: a}
		v.PlacementValidity = time.Millisecond
		// Each host has an address of its own, because outgoing connections
		// may occupy the ports of 127.0.0.1 before the host listens on them.
		h := netip.AddrFrom4([4]byte{127, 9, byte(n), byte(k + 1)})
		v.CallerAddress, v.PeerAddress, v.AdminAddress = netip.AddrPortFrom(h, 7400), netip.AddrPortFrom(h, 7500), netip.AddrPortFrom(h, 7600)
		s = append(s, v)
		l = append(l, fmt.Sprintf(`{"targets":[%q],"labels":{"name":%q,"role":"entry","zone":"reykjavik-a","state":"live","peer":%q}}`, v.CallerAddress, v.ID, v.PeerAddress))
	}
	p, err := http.Post("http://"+a.String()+"/hosts", "application/json", strings.NewReader("["+strings.Join(l, ",")+"]"))
	i.NoErr(err)
	p.Body.Close()
	for _, v := range s {
		c.hosts = append(c.hosts, NewProcess(v, zerolog.Nop()))
	}
	i.NoErr(writer.NewWriter(c.hosts[0].store).Write(t.Context(), c.configuration(), sardineknot.ConfigurationHead{}, sardineknot.StoreRevision{}))
	c.run(t)
	return c
}

// run runs all hosts until the end of t.
func (c *cluster) run(t testing.TB) {
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	for _, p := range c.hosts {
		g.Go(func() error {
			err := p.Run(ctx)
			if err != nil {
				t.Error(err)
			}
			return err
		})
	}
	t.Cleanup(func() {
		cancel()
		is.New(t).NoErr(g.Wait())
	})
	for _, p := range c.hosts {
		for p.source.Current().Revision == 0 {
			time.Sleep(time.Millisecond)
		}
	}
	time.Sleep(settlingTime)
}

// peerBytes returns the number of bytes that the hosts have exchanged. Requests
// are counted where they are sent, and responses where they are received.
func (c *cluster) peerBytes() int64 {
	var n int64
	for _, p := range c.hosts {
		n += metrics.GetOrRegisterCounter("peer.bytes.sent", p.metrics).Count()
		n += metrics.GetOrRegisterCounter("peer.bytes.received", p.metrics).Count()
	}
	return n
}

// storeCalls returns the number of calls that the platform stand-ins have
// recorded, by kind.
func (c *cluster) storeCalls() map[string]int {
	m := make(map[string]int)
	for _, l := range c.store.Lines() {
		var k string
		var n int
		if _, err := fmt.Sscanf(l, "count kind=%s calls=%d", &k, &n); err == nil {
			m[k] = n
		}
	}
	return m
}

// sendRequests sends requests to the hosts in turn for the duration of window
// and returns their number.
func (c *cluster) sendRequests(t testing.TB) int {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	n := int(requestsPerHost * float64(len(c.hosts)) * window.Seconds())
	k := time.NewTicker(window / time.Duration(n))
	defer k.Stop()
	var g errgroup.Group
	for i := range n {
		<-k.C
		f := c.fixture
		f.entry = c.hosts[i%len(c.hosts)].settings.CallerAddress
		g.Go(func() error { return f.generate(client) })
	}
	if err := g.Wait(); err != nil {
		t.Error(err)
	}
	return n
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// BenchmarkControl measures the control traffic of clusters of different sizes,
// idle and with each host at its peak load. Run it with -benchtime 1x.
func BenchmarkControl(b *testing.B) {
	for _, n := range []int{2, 4, 8, 16, 32} {
		b.Run(fmt.Sprint(n, " hosts"), func(b *testing.B) {
			c := newCluster(b, n)
			h := float64(n) * window.Seconds()
			for b.Loop() {
				s, u, k := c.peerBytes(), processorTime(), c.storeCalls()
				time.Sleep(window)
				idle := float64(c.peerBytes() - s)
				b.ReportMetric(idle/h, "idle-B/s/host")
				b.ReportMetric(100*(processorTime()-u).Seconds()/h, "idle-%core/host")
				for x, v := range c.storeCalls() {
					b.ReportMetric(float64(v-k[x])/window.Seconds(), "idle-store-"+x+"/s")
				}
				s = c.peerBytes()
				r := c.sendRequests(b)
				b.ReportMetric((float64(c.peerBytes()-s)-idle)/float64(r), "B/request")
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}
