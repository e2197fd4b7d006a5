package process

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/configuration/writer"
	"sardineknot.example/sardineknot/internal/standin/engine"
	standin "sardineknot.example/sardineknot/internal/standin/etcd"
	"sardineknot.example/sardineknot/internal/standin/fault"
	"sardineknot.example/sardineknot/internal/standin/httpsd"
	"sardineknot.example/sardineknot/internal/standin/plain"
	"sardineknot.example/sardineknot/internal/standin/record"
)

// fixture holds the addresses of one entry host and its backend servers, which
// all run in this process.
type fixture struct {
	entry   netip.AddrPort
	prefill netip.AddrPort
	decode  netip.AddrPort
	plain   netip.AddrPort
}

// newBackends starts the backend servers and returns a fixture without an entry
// host.
func newBackends(t testing.TB) fixture {
	f := fixture{prefill: startEngine(t, "prefill-1"), decode: startEngine(t, "decode-1")}
	f.plain = startServer(t, &plain.Server{Name: "plain-1", Faults: &fault.Injector{}, Log: &record.Recorder{}})
	return f
}

// newFixture starts an entry host and its backend servers.
func newFixture(t testing.TB) fixture {
	i := is.New(t)
	f := newBackends(t)
	m := http.NewServeMux()
	m.Handle("/v3/", standin.NewServer(&fault.Injector{}, &record.Recorder{}))
	m.Handle("/hosts", httpsd.NewServer(&fault.Injector{}, &record.Recorder{}))
	s := sardineknot.Settings{ID: "entry-1", Zone: "reykjavik-a", Heartbeat: 100 * time.Millisecond}
	s.Store = startServer(t, m)
	s.HostList = s.Store
	s.CallerAddress, s.PeerAddress, s.AdminAddress = freeAddress(t), freeAddress(t), freeAddress(t)
	f.entry = s.CallerAddress
	p := NewProcess(s, zerolog.Nop())
	i.NoErr(writer.NewWriter(p.store).Write(t.Context(), f.configuration(), sardineknot.ConfigurationHead{}, sardineknot.StoreRevision{}))
	ctx, cancel := context.WithCancel(context.Background())
	d := make(chan error, 1)
	go func() { d <- p.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		i.NoErr(<-d)
	})
	for p.source.Current().Revision == 0 {
		time.Sleep(time.Millisecond)
	}
	return f
}

func (f fixture) configuration() *sardineknot.Configuration {
	v := sardineknot.BackendServer{Zone: "reykjavik-a", Model: "m", Version: "1", Slots: 1000, State: sardineknot.BackendJoining}
	p, d, s := v, v, v
	p.Name, p.Address, p.Role = "prefill-1", f.prefill, sardineknot.RolePrefill
	d.Name, d.Address, d.Role = "decode-1", f.decode, sardineknot.RoleDecode
	s.Name, s.Address, s.Role, s.Service, s.Model, s.Version = "plain-1", f.plain, sardineknot.RolePlain, "s", "", ""
	g := sardineknot.Work{Name: "g", Kind: sardineknot.WorkGeneration, Model: "m", Version: "1", FirstToken: time.Minute, PerToken: time.Second, MaxTokens: 1000, Objective: 0.9}
	c := sardineknot.Work{Name: "s", Kind: sardineknot.WorkService, Service: "s", FirstToken: time.Minute, Objective: 0.9}
	return &sardineknot.Configuration{
		Contracts:      []sardineknot.Contract{{Account: "verk", Work: []sardineknot.Work{g, c}}},
		BackendServers: []sardineknot.BackendServer{d, s, p},
	}
}

func startEngine(t testing.TB, name string) netip.AddrPort {
	s := &engine.Server{Name: name, Slots: 1000, EvictionDelay: time.Second, Faults: &fault.Injector{}, Log: &record.Recorder{}}
	a := startServer(t, s)
	s.Address = a.String()
	return a
}

func startServer(t testing.TB, h http.Handler) netip.AddrPort {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
}

func freeAddress(t testing.TB) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	defer l.Close()
	return netip.MustParseAddrPort(l.Addr().String())
}

// requestNumber is the number of the last request, over all benchmarks.
var requestNumber atomic.Int64

// generate requests an answer of 20 tokens from the entry host.
func (f fixture) generate(c *http.Client) error {
	return post(c, "http://"+f.entry.String()+"/v1/completions", "g", `{"prompt":"a b c","max_tokens":20,"stream":true}`)
}

// generateDirectly sends to the engines the calls that the entry host makes
// when it handles generate.
func (f fixture) generateDirectly(c *http.Client) error {
	n := requestNumber.Add(1)
	err := post(c, "http://"+f.prefill.String()+"/v1/completions", "g",
		fmt.Sprintf(`{"prompt":"a b c","max_tokens":1,"request_id":"x/%d/0","kv_transfer_params":{"do_remote_decode":true}}`, n))
	if err != nil {
		return err
	}
	return post(c, "http://"+f.decode.String()+"/v1/completions", "g", fmt.Sprintf(
		`{"prompt":"a b c","max_tokens":20,"stream":true,"request_id":"x/%d/0","kv_transfer_params":{"do_remote_prefill":true,"remote_host":%q,"remote_port":%d}}`,
		n, f.prefill.Addr(), f.prefill.Port()))
}

// post sends body in a request for work with a new request identifier, and
// reads the answer. It fails unless the status is 200.
func post(c *http.Client, url, work, body string) error {
	h, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return err
	}
	h.Header.Set("X-Client-Account", "verk")
	h.Header.Set("X-Work", work)
	h.Header.Set("X-Request-Id", fmt.Sprint("r", requestNumber.Add(1)))
	p, err := c.Do(h)
	if err != nil {
		return err
	}
	defer p.Body.Close()
	a, err := io.ReadAll(p.Body)
	if err != nil || p.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d, body %s, error %w", p.StatusCode, a, err)
	}
	return nil
}

// BenchmarkOverhead compares a generation through the entry host with the same
// calls sent directly to the engines, and with a call to a plain service.
func BenchmarkOverhead(b *testing.B) {
	f := newFixture(b)
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	b.Run("direct", func(b *testing.B) { measure(b, func() error { return f.generateDirectly(c) }) })
	b.Run("entry host", func(b *testing.B) { measure(b, func() error { return f.generate(c) }) })
	b.Run("plain service", func(b *testing.B) {
		measure(b, func() error { return post(c, "http://"+f.entry.String()+"/v1/services", "s", "body") })
	})
	b.Run("entry host in parallel", func(b *testing.B) {
		b.ReportAllocs()
		b.RunParallel(func(p *testing.PB) {
			for p.Next() {
				if err := f.generate(c); err != nil {
					b.Error(err)
				}
			}
		})
		b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
	})
}

// measure runs f sequentially and reports the median and the 99th percentile of
// its duration.
func measure(b *testing.B, f func() error) {
	b.ReportAllocs()
	l := make([]time.Duration, 0, b.N)
	for b.Loop() {
		t := time.Now()
		if err := f(); err != nil {
			b.Fatal(err)
		}
		l = append(l, time.Since(t))
	}
	slices.Sort(l)
	b.ReportMetric(float64(l[len(l)/2].Microseconds()), "p50-us")
	b.ReportMetric(float64(l[len(l)*99/100].Microseconds()), "p99-us")
}
