package reach_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/backend/reach"
	"sardineknot.example/sardineknot/internal/host/clock"
)

// world is a fake of the servers and of the other hosts of one host.
type world struct {
	sardineknot.Membership
	mu      sync.Mutex
	servers []sardineknot.BackendServer
	hosts   []sardineknot.EntryHost
	// silent and refused hold the servers that this host does not reach, dead those that
	// no host reaches, and cutHosts the other hosts that reach none.
	silent, refused, dead map[netip.AddrPort]bool
	cutHosts              map[sardineknot.EntryHostID]bool
	// dials counts the connections that this host has tried to open itself, and changes
	// the calls of Changed. asked holds the hosts from which it has requested tunnels.
	dials   int
	asked   []sardineknot.EntryHostID
	changes atomic.Int64
}

// tunnelConn is a fake connection through another host.
type tunnelConn struct {
	net.Conn
	host sardineknot.EntryHostID
}

func (c *tunnelConn) Host() sardineknot.EntryHostID { return c.host }
func (c *tunnelConn) ServerEnded() bool             { return false }
func (c *tunnelConn) Close() error                  { return nil }

func (w *world) Current() *sardineknot.Configuration {
	return &sardineknot.Configuration{BackendServers: w.servers}
}
func (w *world) Changed() <-chan struct{}          { return nil }
func (w *world) Self() sardineknot.EntryHost       { return w.hosts[0] }
func (w *world) Hosts() []sardineknot.EntryHost    { return w.hosts }
func (w *world) server(n int) netip.AddrPort       { return w.servers[n].Address }
func (w *world) host(n int) *sardineknot.EntryHost { return &w.hosts[n] }

// direct connects to a server for this host.
func (w *world) direct(ctx context.Context, a netip.AddrPort) (net.Conn, error) {
	w.mu.Lock()
	w.dials++
	s, r := w.silent[a], w.refused[a] || w.dead[a]
	w.mu.Unlock()
	switch {
	case s:
		<-ctx.Done()
		return nil, ctx.Err()
	case r:
		return nil, errors.New("connection refused")
	}
	time.Sleep(time.Millisecond)
	c, o := net.Pipe()
	o.Close()
	return c, nil
}

// Open implements sardineknot.TunnelOpener.
func (w *world) Open(_ context.Context, h sardineknot.EntryHost, a netip.AddrPort) (net.Conn, error) {
	time.Sleep(2 * time.Millisecond)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.asked = append(w.asked, h.ID)
	switch {
	case w.cutHosts[h.ID]:
		return nil, &sardineknot.CutError{Host: h.ID}
	case w.dead[a]:
		return nil, &sardineknot.NotReachedError{Host: h.ID, Server: a}
	}
	return &tunnelConn{host: h.ID}, nil
}

// dialled returns dials.
func (w *world) dialled() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dials
}

// cut makes this host reach none of servers.
func (w *world) cut(silent bool, servers ...sardineknot.BackendServer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range servers {
		w.silent[s.Address], w.refused[s.Address] = silent, !silent
	}
}

// heal makes this host reach all servers that live.
func (w *world) heal() {
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(w.silent)
	clear(w.refused)
}

// run runs test in virtual time with eight servers of two services and seven hosts of
// three zones, of which the first is this host.
func run(t *testing.T, test func(t *testing.T, w *world, d *reach.Dialer)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := &world{silent: make(map[netip.AddrPort]bool), refused: make(map[netip.AddrPort]bool), dead: make(map[netip.AddrPort]bool), cutHosts: make(map[sardineknot.EntryHostID]bool)}
		for n := range 8 {
			w.servers = append(w.servers, sardineknot.BackendServer{
				Name: sardineknot.BackendServerName(fmt.Sprint("s", n)), Service: []string{"a", "b"}[n/4], Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(n)}), 1),
			})
		}
		for n := range 7 {
			w.hosts = append(w.hosts, sardineknot.EntryHost{ID: sardineknot.EntryHostID(fmt.Sprint("h", n)), Zone: sardineknot.AvailabilityZone(fmt.Sprint("z", n%3)), State: sardineknot.EntryHostAlive})
		}
		d := reach.NewDialer()
		d.Self, d.Members, d.Tunnels, d.Source, d.Clock, d.Direct = "h0", w, w, w, clock.System{}, w.direct
		d.Random, d.Changed, d.Log, d.Metrics = rand.New(rand.NewPCG(1, 1)), func() { w.changes.Add(1) }, zerolog.Nop(), metrics.NewRegistry()
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = d.Run(ctx) }()
		time.Sleep(time.Minute)
		test(t, w, d)
		cancel()
		time.Sleep(2 * time.Second) // probes that are due or in progress end
		synctest.Wait()
	})
}

// dial connects to address and returns the host through which the connection goes, or
// an empty name, and the time that it took.
func dial(t *testing.T, d *reach.Dialer, address netip.AddrPort) (through sardineknot.EntryHostID, took time.Duration, err error) {
	t.Helper()
	b := time.Now()
	c, err := d.Dial(t.Context(), address)
	took = time.Since(b)
	if k, ok := c.(sardineknot.TunnelConn); ok {
		through = k.Host()
	}
	return through, took, err
}

// TestCut guards against a host that fails although others reach the servers.
func TestCut(t *testing.T) {
	for _, silent := range []bool{false, true} {
		t.Run(fmt.Sprintf("the first call after an idle time, silent: %v", silent), func(t *testing.T) {
			run(t, func(t *testing.T, w *world, d *reach.Dialer) {
				is := is.New(t)
				w.cut(silent, w.servers...)
				h, n, err := dial(t, d, w.server(0))
				is.NoErr(err)
				is.True(h != "")
				is.True(n <= 300*time.Millisecond)
				_, n, err = dial(t, d, w.server(5))
				is.NoErr(err)
				is.True(n <= 5*time.Millisecond)
				is.Equal(w.changes.Load(), int64(1))
			})
		})
	}
	t.Run("ends soon after it is over, and comes again", func(t *testing.T) {
		run(t, func(t *testing.T, w *world, d *reach.Dialer) {
			for range 2 {
				w.cut(true, w.servers...)
				h, _, err := dial(t, d, w.server(0))
				is.New(t).NoErr(err)
				is.New(t).True(h != "")
				time.Sleep(5 * time.Second)
				w.heal()
				time.Sleep(time.Second)
				h, _, err = dial(t, d, w.server(0))
				is.New(t).NoErr(err)
				is.New(t).Equal(h, sardineknot.EntryHostID(""))
				time.Sleep(time.Second)
			}
			is.New(t).Equal(w.changes.Load(), int64(4))
		})
	})
}

// TestCutAfterFailures guards against a host that does not notice that it is cut because the
// first calls fail while its last connections still count, and open the circuits of all servers,
// so that no further call connects.
func TestCutAfterFailures(t *testing.T) {
	run(t, func(t *testing.T, w *world, d *reach.Dialer) {
		is := is.New(t)
		_, _, err := dial(t, d, w.server(0))
		is.NoErr(err)
		w.cut(false, w.servers...)
		_, _, err = dial(t, d, w.server(0))
		is.True(err != nil) // the server may be at fault
		time.Sleep(600 * time.Millisecond)
		is.Equal(w.changes.Load(), int64(1))
		_, n, err := dial(t, d, w.server(0))
		is.NoErr(err)
		is.True(n <= 5*time.Millisecond)
	})
}

// TestConnectionsWhileCut checks connections of a host that is cut.
func TestConnectionsWhileCut(t *testing.T) {
	t.Run("silence of open connections", func(t *testing.T) {
		run(t, func(t *testing.T, w *world, d *reach.Dialer) {
			w.cut(true, w.servers...)
			d.ReportSilence()
			_, n, err := dial(t, d, w.server(0))
			is.New(t).NoErr(err)
			is.New(t).True(n <= 5*time.Millisecond)
		})
	})
	t.Run("a server that is dead fails at once", func(t *testing.T) {
		run(t, func(t *testing.T, w *world, d *reach.Dialer) {
			w.cut(false, w.servers...)
			_, _, err := dial(t, d, w.server(0))
			is.New(t).NoErr(err)
			w.dead[w.server(1)] = true
			_, n, err := dial(t, d, w.server(1))
			is.New(t).True(err != nil)
			is.New(t).True(n <= 5*time.Millisecond)
		})
	})
	t.Run("connections through others are not used after it", func(t *testing.T) {
		run(t, func(t *testing.T, w *world, d *reach.Dialer) {
			w.cut(false, w.servers...)
			c, err := d.Dial(t.Context(), w.server(0))
			is.New(t).NoErr(err)
			is.New(t).True(d.Usable(c))
			w.host(slices.IndexFunc(w.hosts, func(h sardineknot.EntryHost) bool { return h.ID == c.(sardineknot.TunnelConn).Host() })).State = sardineknot.EntryHostLeaving
			is.New(t).True(!d.Usable(c)) // the other host stops
		})
	})
}

// noCut checks that the host detected no cut and requested no tunnel.
func noCut(t *testing.T, w *world) {
	t.Helper()
	is.New(t).Equal(w.changes.Load(), int64(0))
	w.mu.Lock()
	defer w.mu.Unlock()
	is.New(t).Equal(len(w.asked), 0)
}

// TestNoCut guards against servers that fail being taken for a cut, and against costs
// while nothing is cut.
func TestNoCut(t *testing.T) {
	t.Run("one server is silent", func(t *testing.T) {
		run(t, func(t *testing.T, w *world, d *reach.Dialer) {
			w.cut(true, w.servers[0])
			_, _, err := dial(t, d, w.server(0))
			is.New(t).True(err != nil)
			noCut(t, w)
		})
	})
	t.Run("all servers of a service are gone", func(t *testing.T) {
		run(t, func(t *testing.T, w *world, d *reach.Dialer) {
			for n := range 4 {
				w.dead[w.server(n)] = true
			}
			for n := range 40 {
				_, _, err := dial(t, d, w.server(n%4))
				is.New(t).True(err != nil)
				time.Sleep(50 * time.Millisecond)
			}
			noCut(t, w)
			is.New(t).True(w.dialled() <= 40+3*5) // a probe each half second at most, of three servers
		})
	})
	t.Run("all servers are gone", func(t *testing.T) {
		run(t, func(t *testing.T, w *world, d *reach.Dialer) {
			for n := range w.servers {
				w.dead[w.server(n)] = true
			}
			_, n, err := dial(t, d, w.server(0))
			is.New(t).True(err != nil)
			is.New(t).True(n <= 300*time.Millisecond)
			is.New(t).Equal(w.changes.Load(), int64(0))
		})
	})
	t.Run("nothing is sent while nothing fails", func(t *testing.T) {
		run(t, func(t *testing.T, w *world, d *reach.Dialer) {
			for n := range 20 {
				_, took, err := dial(t, d, w.server(n%8))
				is.New(t).NoErr(err)
				is.New(t).Equal(took, time.Millisecond)
				time.Sleep(time.Second)
			}
			time.Sleep(time.Minute)
			is.New(t).Equal(w.dialled(), 20)
			noCut(t, w)
		})
	})
}

// TestRefusingServer guards against connections that are opened to look for a cut while the
// host connects to other servers than the one that fails.
func TestRefusingServer(t *testing.T) {
	run(t, func(t *testing.T, w *world, d *reach.Dialer) {
		_, _, err := dial(t, d, w.server(1))
		is.New(t).NoErr(err)
		w.dead[w.server(0)] = true
		for n := range 40 {
			_, _, _ = dial(t, d, w.server(n%8))
			time.Sleep(50 * time.Millisecond)
		}
		noCut(t, w)
		is.New(t).Equal(w.dialled(), 41)
	})
}

// TestHelpers checks through which hosts a host that is cut connects.
func TestHelpers(t *testing.T) {
	t.Run("one of its zone first", func(t *testing.T) {
		run(t, func(t *testing.T, w *world, d *reach.Dialer) {
			w.cut(false, w.servers...)
			for n := range 20 {
				h, _, err := dial(t, d, w.server(n%8))
				is.New(t).NoErr(err)
				is.New(t).True(h == "h3" || h == "h6")
			}
		})
	})
	t.Run("all others while its zone is cut, each of them", func(t *testing.T) {
		run(t, func(t *testing.T, w *world, d *reach.Dialer) {
			w.cut(false, w.servers...)
			w.cutHosts["h3"], w.cutHosts["h6"] = true, true
			m := make(map[sardineknot.EntryHostID]int)
			for n := range 200 {
				h, _, err := dial(t, d, w.server(n%8))
				is.New(t).NoErr(err)
				m[h]++
				time.Sleep(10 * time.Millisecond)
			}
			is.New(t).Equal(len(m), 4)
			for _, n := range m {
				is.New(t).True(n > 25)
			}
			n := 0
			for _, h := range w.asked {
				if w.cutHosts[h] {
					n++
				}
			}
			is.New(t).True(n <= 8) // each of both once a second
		})
	})
	t.Run("none that is leaving or dead", func(t *testing.T) {
		run(t, func(t *testing.T, w *world, d *reach.Dialer) {
			w.cut(false, w.servers...)
			w.host(3).State, w.host(6).State = sardineknot.EntryHostLeaving, sardineknot.EntryHostDead
			_, _, err := dial(t, d, w.server(0))
			is.New(t).NoErr(err)
			is.New(t).True(!slices.Contains(w.asked, "h3") && !slices.Contains(w.asked, "h6"))
		})
	})
}

// TestHelping checks the results of a host that opens connections for others.
func TestHelping(t *testing.T) {
	t.Run("a host that is cut helps nobody, at once", func(t *testing.T) {
		run(t, func(t *testing.T, w *world, d *reach.Dialer) {
			w.cut(true, w.servers...)
			var c *sardineknot.CutError
			_, err := d.DialDirect(t.Context(), w.server(0))
			is.New(t).True(errors.As(err, &c))
			time.Sleep(time.Second)
			b := time.Now()
			_, err = d.DialDirect(t.Context(), w.server(0))
			is.New(t).True(errors.As(err, &c))
			is.New(t).Equal(time.Since(b), time.Duration(0)) // it has found out
		})
	})
	t.Run("a server that is gone is reported by a host that reaches others", func(t *testing.T) {
		run(t, func(t *testing.T, w *world, d *reach.Dialer) {
			w.dead[w.server(0)] = true
			var c *sardineknot.CutError
			_, err := d.DialDirect(t.Context(), w.server(0))
			is.New(t).True(err != nil && !errors.As(err, &c))
		})
	})
}
