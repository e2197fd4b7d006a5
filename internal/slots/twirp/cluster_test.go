package twirp_test

import (
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/host/clock"
	"sardineknot.example/sardineknot/internal/membership/rendezvous"
	"sardineknot.example/sardineknot/internal/slots/twirp"
)

const (
	settle = time.Second
	pool   = sardineknot.PoolName("model/m@1")
)

// hosts is a membership that all hosts share.
type hosts struct {
	mu      sync.Mutex
	list    []sardineknot.EntryHost
	changed chan struct{}
}

func (h *hosts) remove(n sardineknot.EntryHostID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var l []sardineknot.EntryHost
	for _, e := range h.list {
		if e.ID != n {
			l = append(l, e)
		}
	}
	h.list = l
	close(h.changed)
	h.changed = make(chan struct{})
}

// members is the membership as one host sees it.
type members struct {
	*hosts
	self sardineknot.EntryHost
}

func (m members) Self() sardineknot.EntryHost { return m.self }
func (m members) Isolated() bool              { return false }

func (m members) Hosts() []sardineknot.EntryHost {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.list
}

func (m members) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// network passes calls between hosts without sockets. Calls in flight to a host
// that dies stay silent.
type network struct {
	mu sync.Mutex
	// muxes holds the peer interface of each live host by address.
	muxes map[string]*http.ServeMux
	// calls counts the calls that reached a host.
	calls int
}

func (n *network) RoundTrip(q *http.Request) (*http.Response, error) {
	n.mu.Lock()
	m := n.muxes[q.URL.Host]
	n.calls++
	n.mu.Unlock()
	if m == nil {
		return nil, errors.New("connection refused")
	}
	w := httptest.NewRecorder()
	d := make(chan struct{})
	go func() {
		m.ServeHTTP(w, q)
		close(d)
	}()
	select {
	case <-d:
	case <-q.Context().Done():
		return nil, q.Context().Err()
	}
	if !n.alive(q.URL.Host) {
		<-q.Context().Done()
		return nil, q.Context().Err()
	}
	return w.Result(), nil
}

func (n *network) alive(a string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.muxes[a] != nil
}

func (n *network) kill(e sardineknot.EntryHost) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.muxes, e.PeerAddress.String())
}

type source struct{ c *sardineknot.Configuration }

func (s source) Current() *sardineknot.Configuration { return s.c }
func (s source) Changed() <-chan struct{}            { return nil }

// ledger is a scheduler that grants at once and records what it was told. It
// is shared by the owners, one after another.
type ledger struct {
	mu        sync.Mutex
	submitted []sardineknot.RequestKey
	adopted   []sardineknot.RunningJob
	ended     []sardineknot.RequestKey
	// hold leaves jobs waiting.
	hold bool
}

func (*ledger) SetServers(time.Time, []sardineknot.BackendServer, []sardineknot.Link) []sardineknot.Decision {
	return nil
}

func (l *ledger) Submit(_ time.Time, j sardineknot.Job) []sardineknot.Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.submitted = append(l.submitted, j.Key)
	if l.hold {
		return nil
	}
	return []sardineknot.Decision{
		{Key: j.Key, Action: sardineknot.ActionPrefill, Server: "p"},
		{Key: j.Key, Action: sardineknot.ActionDecode, Server: "d"},
	}
}

func (l *ledger) Report(_ time.Time, e sardineknot.JobEvent) []sardineknot.Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e.Kind == sardineknot.JobFinished || e.Kind == sardineknot.JobCancelled {
		l.ended = append(l.ended, e.Key)
	}
	return nil
}

func (l *ledger) Adopt(_ time.Time, r sardineknot.RunningJob) []sardineknot.Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.adopted = append(l.adopted, r)
	return nil
}

func (*ledger) Observe(time.Time, sardineknot.LoadReport) {}
func (*ledger) Wake(time.Time) []sardineknot.Decision     { return nil }
func (*ledger) NextWake() time.Time                       { return time.Time{} }
func (l *ledger) create() sardineknot.Scheduler           { return l }
func (l *ledger) counts() (submitted, adopted, ended int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.submitted), len(l.adopted), len(l.ended)
}

// cluster is three hosts and the host that owns the only shard.
type cluster struct {
	hosts   *hosts
	network *network
	// schedulers holds the scheduler of each host.
	schedulers map[sardineknot.EntryHostID]*ledger
	pools      map[sardineknot.EntryHostID]*twirp.Pool
	// owner owns the shard, next does after its death, and asker never does
	// before both are dead.
	owner, next, asker sardineknot.EntryHost
}

// run runs f in virtual time with a cluster that has settled.
func run(t *testing.T, name string, f func(*testing.T, *cluster)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t)
			time.Sleep(2 * settle)
			f(t, c)
		})
	})
}

func newCluster(t *testing.T) *cluster {
	h := &hosts{changed: make(chan struct{})}
	for i, n := range []sardineknot.EntryHostID{"h1", "h2", "h3"} {
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)}), 7500)
		h.list = append(h.list, sardineknot.EntryHost{ID: n, Incarnation: 1, PeerAddress: a})
	}
	c := &cluster{
		hosts:      h,
		network:    &network{muxes: make(map[string]*http.ServeMux)},
		schedulers: make(map[sardineknot.EntryHostID]*ledger),
		pools:      make(map[sardineknot.EntryHostID]*twirp.Pool),
	}
	for _, e := range h.list {
		c.start(t, e)
	}
	c.rank()
	return c
}

func (c *cluster) start(t *testing.T, e sardineknot.EntryHost) {
	m := members{c.hosts, e}
	l := &ledger{}
	p := &twirp.Pool{
		Members: m, Ranker: rendezvous.NewRanker(m), Clock: clock.System{}, Client: &http.Client{Transport: c.network},
		Source: source{&sardineknot.Configuration{Revision: 1, BackendServers: []sardineknot.BackendServer{
			{Name: "d", Role: sardineknot.RoleDecode, Model: "m", Version: "1", Slots: 20, State: sardineknot.BackendJoining},
			{Name: "p", Role: sardineknot.RolePrefill, Model: "m", Version: "1", Slots: 4, State: sardineknot.BackendJoining},
		}}},
		Create: func(sardineknot.PoolName) sardineknot.Scheduler { return l.create() },
		Settle: settle, Random: rand.New(rand.NewPCG(1, 1)),
	}
	x := http.NewServeMux()
	x.Handle(p.Handler())
	c.network.muxes[e.PeerAddress.String()] = x
	c.schedulers[e.ID] = l
	c.pools[e.ID] = p
	go func() { _ = p.Run(t.Context()) }()
}

// rank sets owner, next and asker.
func (c *cluster) rank() {
	l := append([]sardineknot.EntryHost(nil), c.hosts.list...)
	for i := range l {
		for j := range l[:i] {
			if rendezvous.Weight(string(pool)+"##0", l[i].ID) > rendezvous.Weight(string(pool)+"##0", l[j].ID) {
				l[i], l[j] = l[j], l[i]
			}
		}
	}
	c.owner, c.next, c.asker = l[0], l[1], l[2]
}

// kill ends the owner. The others learn of it after lag.
func (c *cluster) kill(lag time.Duration) {
	c.network.kill(c.owner)
	time.Sleep(lag)
	c.hosts.remove(c.owner.ID)
}
