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

// hostList is a fake list of live hosts, which all members of a cluster share.
type hostList struct {
	mu      sync.Mutex
	list    []sardineknot.EntryHost
	changed chan struct{}
}

func (h *hostList) remove(host sardineknot.EntryHostID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var l []sardineknot.EntryHost
	for _, e := range h.list {
		if e.ID != host {
			l = append(l, e)
		}
	}
	h.list = l
	close(h.changed)
	h.changed = make(chan struct{})
}

// members is a fake sardineknot.Membership of one host.
type members struct {
	*hostList
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

// network is a fake http.RoundTripper that connects hosts without sockets. A
// call that is in progress when its host is killed gets no response.
type network struct {
	mu sync.Mutex
	// muxes holds the handler of each live host, by address.
	muxes map[string]*http.ServeMux
	// calls is the number of calls made.
	calls int
}

func (n *network) RoundTrip(request *http.Request) (*http.Response, error) {
	n.mu.Lock()
	m := n.muxes[request.URL.Host]
	n.calls++
	n.mu.Unlock()
	if m == nil {
		return nil, errors.New("connection refused")
	}
	w := httptest.NewRecorder()
	d := make(chan struct{})
	go func() {
		m.ServeHTTP(w, request)
		close(d)
	}()
	select {
	case <-d:
	case <-request.Context().Done():
		return nil, request.Context().Err()
	}
	if !n.alive(request.URL.Host) {
		<-request.Context().Done()
		return nil, request.Context().Err()
	}
	return w.Result(), nil
}

func (n *network) alive(address string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.muxes[address] != nil
}

func (n *network) kill(host sardineknot.EntryHost) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.muxes, host.PeerAddress.String())
}

// source is a fake configuration source whose configuration never changes.
type source struct{ c *sardineknot.Configuration }

func (s source) Current() *sardineknot.Configuration { return s.c }
func (s source) Changed() <-chan struct{}            { return nil }

// newConfiguration returns a configuration with the decode engine "d" in the
// given state and the prefill engine "p".
func newConfiguration(state sardineknot.BackendState) *sardineknot.Configuration {
	return &sardineknot.Configuration{Revision: 1, BackendServers: []sardineknot.BackendServer{
		{Name: "d", Role: sardineknot.RoleDecode, Model: "m", Version: "1", Slots: 20, State: state},
		{Name: "p", Role: sardineknot.RolePrefill, Model: "m", Version: "1", Slots: 4, State: sardineknot.BackendJoining},
	}}
}

// recordingScheduler is a fake scheduler that grants engines at once and
// records the submitted, adopted and ended jobs. A host uses the same one each
// time that it becomes the owner.
type recordingScheduler struct {
	mu        sync.Mutex
	submitted []sardineknot.RequestKey
	adopted   []sardineknot.RunningJob
	ended     []sardineknot.RequestKey
	// hold disables grants, so that jobs wait.
	hold bool
	// servers is the number of servers that accept new work, and serversAtSubmit
	// that number at the submission of each job.
	servers         int
	serversAtSubmit []int
	// backoffs holds those of the submitted jobs.
	backoffs []sardineknot.ServerBackoff
}

func (s *recordingScheduler) SetServers(_ time.Time, servers []sardineknot.BackendServer, _ []sardineknot.Link) []sardineknot.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.servers = len(servers)
	return nil
}

func (s *recordingScheduler) Submit(_ time.Time, job sardineknot.Job) []sardineknot.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.submitted = append(s.submitted, job.Key)
	s.backoffs = append(s.backoffs, job.Backoffs...)
	s.serversAtSubmit = append(s.serversAtSubmit, s.servers)
	if s.hold {
		return nil
	}
	return []sardineknot.Decision{
		{Key: job.Key, Action: sardineknot.ActionPrefill, Server: "p"},
		{Key: job.Key, Action: sardineknot.ActionDecode, Server: "d"},
	}
}

func (s *recordingScheduler) Report(_ time.Time, event sardineknot.JobEvent) []sardineknot.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	if event.Kind == sardineknot.JobFinished || event.Kind == sardineknot.JobCancelled {
		s.ended = append(s.ended, event.Key)
	}
	return nil
}

func (s *recordingScheduler) Adopt(_ time.Time, running sardineknot.RunningJob) []sardineknot.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.adopted = append(s.adopted, running)
	return nil
}

func (*recordingScheduler) ObserveLoad(time.Time, sardineknot.LoadReport) {}
func (*recordingScheduler) Wake(time.Time) []sardineknot.Decision         { return nil }
func (*recordingScheduler) NextWake() time.Time                           { return time.Time{} }
func (s *recordingScheduler) create() sardineknot.Scheduler               { return s }
func (s *recordingScheduler) counts() (submitted, adopted, ended int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.submitted), len(s.adopted), len(s.ended)
}

// testCluster is a cluster of three hosts with a single shard.
type testCluster struct {
	hosts   *hostList
	network *network
	// schedulers holds the scheduler of each host.
	schedulers map[sardineknot.EntryHostID]*recordingScheduler
	pools      map[sardineknot.EntryHostID]*twirp.Pool
	// sources holds the configuration source of each host.
	sources map[sardineknot.EntryHostID]*changingSource
	// owner owns the shard. successor becomes the owner when owner is dead, and
	// requester only when both are dead.
	owner, successor, requester sardineknot.EntryHost
}

// run runs test as a subtest, in virtual time and with a cluster whose settling
// time has passed.
func run(t *testing.T, name string, test func(*testing.T, *testCluster)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(t)
			time.Sleep(2 * settle)
			test(t, c)
		})
	})
}

func newCluster(t *testing.T) *testCluster {
	h := &hostList{changed: make(chan struct{})}
	for i, n := range []sardineknot.EntryHostID{"h1", "h2", "h3"} {
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)}), 7500)
		h.list = append(h.list, sardineknot.EntryHost{ID: n, Incarnation: 1, PeerAddress: a})
	}
	c := &testCluster{
		hosts:      h,
		network:    &network{muxes: make(map[string]*http.ServeMux)},
		schedulers: make(map[sardineknot.EntryHostID]*recordingScheduler),
		pools:      make(map[sardineknot.EntryHostID]*twirp.Pool),
		sources:    make(map[sardineknot.EntryHostID]*changingSource),
	}
	for _, e := range h.list {
		c.start(t, e)
	}
	c.rank()
	return c
}

func (c *testCluster) start(t *testing.T, host sardineknot.EntryHost) {
	m := members{c.hosts, host}
	l := &recordingScheduler{}
	v := &changingSource{}
	v.Store(newConfiguration(sardineknot.BackendJoining))
	c.sources[host.ID] = v
	p := &twirp.Pool{
		Members: m, Ranker: rendezvous.NewRanker(m), Clock: clock.System{}, Client: &http.Client{Transport: c.network},
		Source:          v,
		CreateScheduler: func(sardineknot.PoolName) sardineknot.Scheduler { return l.create() },
		SettlingTime:    settle, Random: rand.New(rand.NewPCG(1, 1)),
	}
	x := http.NewServeMux()
	x.Handle(p.Handler())
	c.network.muxes[host.PeerAddress.String()] = x
	c.schedulers[host.ID] = l
	c.pools[host.ID] = p
	go func() { _ = p.Run(t.Context()) }()
}

// rank sets owner, successor and requester.
func (c *testCluster) rank() {
	l := append([]sardineknot.EntryHost(nil), c.hosts.list...)
	for i := range l {
		for j := range l[:i] {
			if rendezvous.Weight(string(pool)+"##0", l[i].ID) > rendezvous.Weight(string(pool)+"##0", l[j].ID) {
				l[i], l[j] = l[j], l[i]
			}
		}
	}
	c.owner, c.successor, c.requester = l[0], l[1], l[2]
}

// kill disconnects the owner, and removes it from the membership after lag.
func (c *testCluster) kill(lag time.Duration) {
	c.network.kill(c.owner)
	time.Sleep(lag)
	c.hosts.remove(c.owner.ID)
}
