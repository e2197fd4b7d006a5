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
	// window is how long the control traffic is measured.
	window = 5 * time.Second
	// requestsPerHost is the rate of requests at each host: 1,500 a second
	// over 360 hosts.
	requestsPerHost = 4.2
	// settle is the time after the start in which all hosts have met.
	settle = 15 * time.Second
)

// fleet is a number of entry hosts in this process, beside shared backends.
type fleet struct {
	bed
	hosts []*Process
	store *record.Recorder
}

func newFleet(t testing.TB, n int) *fleet {
	i := is.New(t)
	f := &fleet{bed: newBackends(t), store: &record.Recorder{}}
	m := http.NewServeMux()
	m.Handle("/v3/", standin.NewServer(&fault.Control{}, f.store))
	m.Handle("/hosts", httpsd.NewServer(&fault.Control{}, f.store))
	a := startServer(t, m)
	var l []string
	var s []sardineknot.Settings
	for k := range n {
		v := sardineknot.Settings{ID: sardineknot.EntryHostID(fmt.Sprint("entry-", k)), Zone: "reykjavik-a", Store: a, HostList: a}
		v.PlacementValidity = time.Millisecond
		// Ports of 127.0.0.1 may be taken by connections before the host
		// listens.
		h := netip.AddrFrom4([4]byte{127, 9, byte(n), byte(k + 1)})
		v.CallerAddress, v.PeerAddress, v.AdminAddress = netip.AddrPortFrom(h, 7400), netip.AddrPortFrom(h, 7500), netip.AddrPortFrom(h, 7600)
		s = append(s, v)
		l = append(l, fmt.Sprintf(`{"targets":[%q],"labels":{"name":%q,"role":"entry","zone":"reykjavik-a","state":"live","peer":%q}}`, v.CallerAddress, v.ID, v.PeerAddress))
	}
	p, err := http.Post("http://"+a.String()+"/hosts", "application/json", strings.NewReader("["+strings.Join(l, ",")+"]"))
	i.NoErr(err)
	p.Body.Close()
	for _, v := range s {
		f.hosts = append(f.hosts, NewProcess(v, zerolog.Nop()))
	}
	i.NoErr(writer.NewWriter(f.hosts[0].store).Write(t.Context(), f.configuration(), sardineknot.ConfigurationHead{}, 0))
	f.run(t)
	return f
}

// run runs all hosts until the end of t.
func (f *fleet) run(t testing.TB) {
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	for _, p := range f.hosts {
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
	for _, p := range f.hosts {
		for p.source.Current().Revision == 0 {
			time.Sleep(time.Millisecond)
		}
	}
	time.Sleep(settle)
}

// sent returns the bytes that all hosts have sent to each other: calls, and
// the replies that the callers have received.
func (f *fleet) sent() int64 {
	var n int64
	for _, p := range f.hosts {
		n += metrics.GetOrRegisterCounter("peer.bytes.sent", p.metrics).Count()
		n += metrics.GetOrRegisterCounter("peer.bytes.received", p.metrics).Count()
	}
	return n
}

// calls returns the calls that the platform has counted, by kind.
func (f *fleet) calls() map[string]int {
	m := make(map[string]int)
	for _, l := range f.store.Lines() {
		var k string
		var n int
		if _, err := fmt.Sscanf(l, "count kind=%s calls=%d", &k, &n); err == nil {
			m[k] = n
		}
	}
	return m
}

// load sends requests at each host in turn for the window and returns their
// number.
func (f *fleet) load(t testing.TB) int {
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	n := int(requestsPerHost * float64(len(f.hosts)) * window.Seconds())
	k := time.NewTicker(window / time.Duration(n))
	defer k.Stop()
	var g errgroup.Group
	for i := range n {
		<-k.C
		b := f.bed
		b.entry = f.hosts[i%len(f.hosts)].settings.CallerAddress
		g.Go(func() error { return b.generate(c) })
	}
	if err := g.Wait(); err != nil {
		t.Error(err)
	}
	return n
}

func processorTime() time.Duration {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// BenchmarkControl measures the control traffic of a fleet, idle and under the
// load of one host at the peak, for some numbers of hosts. Run it with
// -benchtime 1x.
func BenchmarkControl(b *testing.B) {
	for _, n := range []int{2, 4, 8, 16, 32} {
		b.Run(fmt.Sprint(n, " hosts"), func(b *testing.B) {
			f := newFleet(b, n)
			h := float64(n) * window.Seconds()
			for b.Loop() {
				s, c, k := f.sent(), processorTime(), f.calls()
				time.Sleep(window)
				idle := float64(f.sent() - s)
				b.ReportMetric(idle/h, "idle-B/s/host")
				b.ReportMetric(100*(processorTime()-c).Seconds()/h, "idle-%core/host")
				for x, v := range f.calls() {
					b.ReportMetric(float64(v-k[x])/window.Seconds(), "idle-store-"+x+"/s")
				}
				s = f.sent()
				r := f.load(b)
				b.ReportMetric((float64(f.sent()-s)-idle)/float64(r), "B/request")
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}
