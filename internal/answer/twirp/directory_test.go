package twirp_test

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/answer/twirp"
	"sardineknot.example/sardineknot/internal/host/clock"
	"sardineknot.example/sardineknot/internal/membership/rendezvous"
)

const settle = time.Second

// cluster consists of three hosts, each with a directory, and of their fake
// membership.
type cluster struct {
	sardineknot.Membership

	mu      sync.Mutex
	hosts   []sardineknot.EntryHost
	changed chan struct{}
	// muxes holds the peer handler of each live host by address.
	muxes       map[string]*http.ServeMux
	directories map[sardineknot.EntryHostID]*twirp.Directory
	// displaced lists the requests that some host reported as displaced.
	displaced []sardineknot.RequestKey
}

// members is a fake membership from the point of view of one host.
type members struct {
	*cluster
	self sardineknot.EntryHost
}

func (m members) Self() sardineknot.EntryHost { return m.self }
func (m members) Isolated() bool              { return false }

func (c *cluster) Hosts() []sardineknot.EntryHost {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hosts
}

func (c *cluster) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// transport is a fake http.RoundTripper that passes the calls of one host to
// the handlers of the others. Calls from and to a dead host fail.
type transport struct {
	*cluster
	from string
}

func (t transport) RoundTrip(q *http.Request) (*http.Response, error) {
	t.mu.Lock()
	m := t.muxes[q.URL.Host]
	l := t.muxes[t.from] != nil
	t.mu.Unlock()
	if m == nil || !l {
		return nil, errors.New("connection refused")
	}
	w := httptest.NewRecorder()
	m.ServeHTTP(w, q)
	return w.Result(), nil
}

func (c *cluster) dead(h sardineknot.EntryHostID, _ sardineknot.Incarnation) bool {
	for _, e := range c.Hosts() {
		if e.ID == h {
			return false
		}
	}
	return true
}

// kill removes a host and notifies the others at once.
func (c *cluster) kill(n sardineknot.EntryHostID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var l []sardineknot.EntryHost
	for _, e := range c.hosts {
		if e.ID == n {
			delete(c.muxes, e.PeerAddress.String())
			continue
		}
		l = append(l, e)
	}
	c.hosts = l
	close(c.changed)
	c.changed = make(chan struct{})
}

// killAndWait removes a host and waits until the others have processed the
// change.
func (c *cluster) killAndWait(n sardineknot.EntryHostID) {
	c.kill(n)
	synctest.Wait()
}

// run runs f in a synctest bubble with a cluster whose settling time has
// passed.
func run(t *testing.T, name string, f func(*testing.T, *cluster)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c := &cluster{
				changed: make(chan struct{}), muxes: make(map[string]*http.ServeMux),
				directories: make(map[sardineknot.EntryHostID]*twirp.Directory),
			}
			for i, n := range []sardineknot.EntryHostID{"h1", "h2", "h3"} {
				a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)}), 7500)
				c.hosts = append(c.hosts, sardineknot.EntryHost{ID: n, Incarnation: 1, PeerAddress: a})
			}
			for _, e := range c.hosts {
				c.start(t, e)
			}
			time.Sleep(2 * settle)
			f(t, c)
		})
	})
}

func (c *cluster) start(t *testing.T, e sardineknot.EntryHost) {
	m := members{c, e}
	d := &twirp.Directory{
		Members: m, Ranker: rendezvous.NewRanker(m), IsDead: c.dead, Clock: clock.System{},
		Client: &http.Client{Transport: transport{c, e.PeerAddress.String()}}, SettlingTime: settle,
		OnDisplaced: func(k sardineknot.RequestKey) { c.displaced = append(c.displaced, k) },
	}
	x := http.NewServeMux()
	x.Handle(d.Handler())
	c.muxes[e.PeerAddress.String()] = x
	c.directories[e.ID] = d
	go func() { _ = d.Run(t.Context()) }()
}

func record(id string, h sardineknot.EntryHostID) sardineknot.AnswerRecord {
	return sardineknot.AnswerRecord{
		Key: sardineknot.RequestKey{Account: "a", ID: sardineknot.RequestID(id)}, Host: h, Incarnation: 1, DecodeEngine: "d", Attempt: 3,
		PeerAddress: netip.MustParseAddrPort("127.0.0.1:7500"),
	}
}

// checkRegister registers eight requests with h and checks which host produces
// the answers and which host's record was replaced.
func checkRegister(t *testing.T, c *cluster, h, current, previous sardineknot.EntryHostID) {
	t.Helper()
	for _, i := range []string{"1", "2", "3", "4", "5", "6", "7", "8"} {
		r, p, err := c.directories[h].Register(t.Context(), record(i, h))
		is.New(t).NoErr(err)
		is.New(t).Equal(r, record(i, current))
		if previous == "" {
			is.New(t).True(p == nil)
			continue
		}
		is.New(t).True(p != nil)
		is.New(t).Equal(*p, record(i, previous))
	}
}

func TestDirectory(t *testing.T) {
	run(t, "all hosts get the same record", func(t *testing.T, c *cluster) {
		checkRegister(t, c, "h1", "h1", "")
		checkRegister(t, c, "h2", "h1", "")
		checkRegister(t, c, "h3", "h1", "")
	})
	run(t, "records of a live host survive dead owners", func(t *testing.T, c *cluster) {
		checkRegister(t, c, "h1", "h1", "")
		c.killAndWait("h3")
		checkRegister(t, c, "h2", "h1", "")
		c.killAndWait("h2")
		checkRegister(t, c, "h1", "h1", "h1")
	})
	run(t, "one host takes over an answer of a dead host", func(t *testing.T, c *cluster) {
		checkRegister(t, c, "h3", "h3", "")
		c.killAndWait("h3")
		checkRegister(t, c, "h1", "h1", "h3")
		checkRegister(t, c, "h2", "h1", "")
	})
	run(t, "unregistered answer is marked as ended", func(t *testing.T, c *cluster) {
		checkRegister(t, c, "h1", "h1", "")
		c.directories["h1"].Unregister(t.Context(), record("1", "h1"))
		r, p, err := c.directories["h2"].Register(t.Context(), record("1", "h2"))
		is.New(t).NoErr(err)
		is.New(t).Equal(r.Host, sardineknot.EntryHostID("h2"))
		is.New(t).True(p.Ended)
		is.New(t).Equal(p.Attempt, 3)
	})
}
