package twirp_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
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
	"sardineknot.example/sardineknot/internal/host/clock"
	"sardineknot.example/sardineknot/internal/membership/followers"
	"sardineknot.example/sardineknot/internal/peer/progress"
	"sardineknot.example/sardineknot/internal/platform/changelog"
	"sardineknot.example/sardineknot/internal/platform/mirror"
	"sardineknot.example/sardineknot/internal/platform/twirp"
)

var errCut = errors.New("cut off")

// hostFeed is the access of one host to the service.
type hostFeed struct {
	service *service
	cut     atomic.Bool
	// silent makes calls end without an answer when their time is over.
	silent atomic.Bool
	// old, if set, replaces the state of the service for this host.
	old atomic.Pointer[changelog.Log]
	// carry takes the time in which entries arrive from the service. Nil means no time.
	carry func(ctx context.Context, entries []sardineknot.StoreEntry) error
}

func (f *hostFeed) call(ctx context.Context) error {
	f.service.calls.Add(1)
	if f.silent.Load() {
		<-ctx.Done()
		return errors.WithStack(ctx.Err())
	}
	if f.service.down.Load() || f.cut.Load() {
		return errCut
	}
	return nil
}

// Snapshot implements sardineknot.ChangeFeed.
func (f *hostFeed) Snapshot(ctx context.Context) ([]sardineknot.StoreEntry, sardineknot.StoreRevision, error) {
	err := f.call(ctx)
	if err != nil {
		return nil, sardineknot.StoreRevision{}, err
	}
	s := f.service.log.Load()
	if o := f.old.Load(); o != nil {
		s = o
	}
	l, n := s.Snapshot()
	return l, n, f.arrive(ctx, l)
}

// getTimeout bounds the time without progress in get.
const getTimeout = 800 * time.Millisecond

// get reads the entry of key.
func (f *hostFeed) get(ctx context.Context, key string) (sardineknot.StoreEntry, error) {
	ctx, cancel := progress.WithTimeout(ctx, getTimeout, getTimeout)
	defer cancel()
	l, _, err := f.Snapshot(ctx)
	for _, e := range l {
		if e.Key == key {
			return e, err
		}
	}
	return sardineknot.StoreEntry{Key: key}, err
}

// arrive waits until entries have arrived.
func (f *hostFeed) arrive(ctx context.Context, entries []sardineknot.StoreEntry) error {
	if f.carry == nil {
		return nil
	}
	return f.carry(ctx, entries)
}

// Next implements sardineknot.ChangeFeed.
func (f *hostFeed) Next(ctx context.Context, revision sardineknot.StoreRevision, timeout time.Duration) ([]sardineknot.StoreEntry, sardineknot.StoreRevision, error) {
	err := f.call(ctx)
	if err != nil {
		return nil, revision, err
	}
	s := f.service.log.Load()
	if o := f.old.Load(); o != nil {
		s = o
	}
	l, n, err := s.Next(ctx, revision, timeout)
	if err == nil {
		err = f.arrive(ctx, l)
	}
	if err != nil {
		return nil, revision, err
	}
	return l, n, nil
}

// cluster is a set of hosts that follow the service and each other in virtual
// time, without a network.
type cluster struct {
	service *service
	// bound is the time within which a change must reach the hosts.
	bound time.Duration
	hosts []*host
}

// host is one entry host of a cluster. It implements sardineknot.Membership:
// all hosts count as alive, so that failed followers are found by calls only.
type host struct {
	sardineknot.Membership
	cluster *cluster
	entry   sardineknot.EntryHost
	list    []sardineknot.EntryHost
	store   *hostFeed
	feed    *twirp.Feed
	mirror  *mirror.Mirror
	handler http.Handler
	dead    atomic.Bool
	// paused is closed when the host is no longer frozen. It is nil if it is not.
	paused atomic.Pointer[chan struct{}]
	// delay is how much later the host answers, in nanoseconds.
	delay atomic.Int64
	// lossy makes every second answer get lost. answers counts them.
	lossy   atomic.Bool
	answers atomic.Int64
	// harmed is set while a fault concerns the host.
	harmed bool
	// link carries the answers of the host and to the host. Nil means that they take no time.
	link *link
	// sent counts the bytes of the answers of the host over link.
	sent atomic.Int64

	mu sync.Mutex
	// seen holds the values that the host has read, by key. seenAt holds the
	// time of the last change of each.
	seen   map[string]string
	seenAt map[string]time.Time
}

func (h *host) Self() sardineknot.EntryHost    { return h.entry }
func (h *host) Hosts() []sardineknot.EntryHost { return h.list }

// RoundTrip implements http.RoundTripper. It calls the handler of the addressed
// host. A dead host does not answer.
func (h *host) RoundTrip(r *http.Request) (*http.Response, error) {
	p, err := netip.ParseAddrPort(r.URL.Host)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	for _, o := range h.cluster.hosts {
		if o.entry.PeerAddress != p {
			continue
		}
		if o.dead.Load() {
			<-r.Context().Done()
			return nil, r.Context().Err()
		}
		w := httptest.NewRecorder()
		o.serve(w, r)
		if r.Context().Err() != nil {
			return nil, r.Context().Err()
		}
		return sendResponse(r.Context(), w.Result(), o, h)
	}
	return nil, errCut
}

func (h *host) apply(e sardineknot.StoreEntry) {
	h.mu.Lock()
	h.seen[e.Key] = string(e.Value)
	h.seenAt[e.Key] = time.Now()
	h.mu.Unlock()
	// Entries of the kind "beat" tell nothing new.
	if !strings.HasPrefix(e.Key, "beat") {
		h.feed.Entries.Record(e)
	}
}

// get returns the value of key that the host has read, and when.
func (h *host) get(key string) (string, time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.seen[key], h.seenAt[key]
}

// newService returns a service that holds a configuration.
func newService() *service {
	s := &service{}
	s.log.Store(changelog.NewLog())
	s.put("config", "1")
	return s
}

// newEntries returns the entries of count hosts that are spread over zones.
func newEntries(count, zones int) []sardineknot.EntryHost {
	var l []sardineknot.EntryHost
	for i := range count {
		l = append(l, sardineknot.EntryHost{
			ID: sardineknot.EntryHostID(fmt.Sprintf("host-%d", i)), Zone: sardineknot.AvailabilityZone(fmt.Sprintf("zone-%d", i%zones)),
			PeerAddress: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 1),
		})
	}
	return l
}

// siteBound is the bound of the hosts of start. Tests state it where they use it.
const siteBound = 4 * time.Second

// start starts count hosts that are spread over zones.
func start(t *testing.T, count, zones int) *cluster {
	c := &cluster{service: newService(), bound: siteBound}
	l := newEntries(count, zones)
	for _, e := range l {
		c.hosts = append(c.hosts, newHost(c, e, l))
	}
	for _, h := range c.hosts {
		go h.run(t.Context())
	}
	advance(10 * time.Second)
	return c
}

func newHost(c *cluster, self sardineknot.EntryHost, list []sardineknot.EntryHost) *host {
	h := &host{cluster: c, entry: self, list: list, store: &hostFeed{service: c.service}, seen: make(map[string]string), seenAt: make(map[string]time.Time)}
	h.feed = &twirp.Feed{
		Store: pausedFeed{h.store, h}, Entries: changelog.NewLog(), Selector: followers.NewSelector(h), Clock: clock.System{}, Client: &http.Client{Transport: h},
		ReadEntry: h.store.get, Sleep: clock.System{}.Sleep,
		Log: zerolog.Nop(), Bound: func() time.Duration { return c.bound }, StoreCalls: metrics.NewCounter(), PeerCalls: metrics.NewCounter(),
		StoreFailures: metrics.NewCounter(), PeerFailures: metrics.NewCounter(),
		PeerBytes: metrics.NewCounter(), DiscardedBytes: metrics.NewCounter(), ServedBytes: metrics.NewCounter(),
		SkippedValues: metrics.NewCounter(), Comparisons: metrics.NewCounter(), FailedComparisons: metrics.NewCounter(),
	}
	_, h.handler = h.feed.Handler()
	h.mirror = &mirror.Mirror{
		Feed: h.feed, Clock: clock.System{}, Sleep: clock.System{}.Sleep, Log: zerolog.Nop(),
		PollDelay: func() time.Duration { return 100 * time.Millisecond }, OnChange: h.apply, OnBatch: h.feed.Commit,
		Restores: metrics.NewCounter(), OnRestore: func(sardineknot.StoreEra) {},
	}
	h.feed.Reachability, h.feed.Refresh = h.mirror.Reachability, h.mirror.Refresh
	return h
}

// run follows the service until ctx is done.
func (h *host) run(ctx context.Context) {
	go func() { _ = h.feed.Run(ctx) }()
	_ = h.mirror.Run(ctx)
}

// advance lets the hosts run for d in virtual time.
func advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// followers returns the hosts that read from the service.
func (c *cluster) followers() []*host {
	var l []*host
	for _, h := range c.hosts {
		if h.feed.Selector.FollowsStore() {
			l = append(l, h)
		}
	}
	return l
}

// checkChange writes a configuration and checks that every live host for which
// in returns true has read it within limit.
func (c *cluster) checkChange(t *testing.T, value string, limit time.Duration, in func(*host) bool) {
	t.Helper()
	b := time.Now()
	c.service.put("config", value)
	advance(limit)
	for _, h := range c.hosts {
		if h.dead.Load() || !in(h) {
			continue
		}
		v, s := h.get("config")
		if v != value || s.Sub(b) > limit {
			t.Errorf("%s has read %q after %v, want %q", h.entry.ID, v, s.Sub(b), value)
		}
	}
}

func everyHost(*host) bool { return true }

// countCalls returns the number of calls to the service a second, over ten
// seconds in which backend servers write as often as they do on a busy day.
func (c *cluster) countCalls() int64 {
	n := c.service.calls.Load()
	for i := range 500 {
		c.service.put(fmt.Sprintf("beat-%d", i%70), "x")
		advance(20 * time.Millisecond)
	}
	return (c.service.calls.Load() - n) / 10
}

// run runs f as a subtest in virtual time.
func run(t *testing.T, name string, f func(t *testing.T)) {
	t.Run(name, func(t *testing.T) { synctest.Test(t, f) })
}

// TestManyHosts covers the load "many small entry hosts": the calls to the
// service must not grow with the number of hosts, because its rates do not.
func TestManyHosts(t *testing.T) {
	for _, n := range []int{7, 63, 295} {
		run(t, fmt.Sprintf("%d hosts", n), func(t *testing.T) {
			is := is.New(t)
			c := start(t, n, 6)
			is.True(len(c.followers()) <= 12)
			is.True(c.countCalls() <= 12*10) // each follower waits for 100 ms after each call
			c.checkChange(t, "2", time.Second, everyHost)
		})
	}
}

// TestFailures covers hosts and connections that fail: changes must still be in
// force everywhere within the bound of four seconds.
func TestFailures(t *testing.T) {
	const bound = 4 * time.Second
	run(t, "a follower of each zone is dead", func(t *testing.T) {
		c := start(t, 60, 3)
		for i, h := range c.followers() {
			h.dead.Store(i%2 == 0)
		}
		c.checkChange(t, "2", bound, everyHost)
	})
	run(t, "all followers of a zone are dead", func(t *testing.T) {
		c := start(t, 60, 3)
		for _, h := range c.followers() {
			h.dead.Store(h.entry.Zone == "zone-0")
		}
		c.checkChange(t, "2", bound, everyHost)
	})
	run(t, "followers of a zone are cut off from the service only", func(t *testing.T) {
		c := start(t, 60, 3)
		for _, h := range c.followers() {
			h.store.cut.Store(h.entry.Zone == "zone-0")
		}
		advance(5 * time.Second)
		c.checkChange(t, "2", bound, func(h *host) bool { return !h.store.cut.Load() })
	})
	run(t, "all followers are dead", func(t *testing.T) {
		c := start(t, 60, 3)
		for _, h := range c.followers() {
			h.dead.Store(true)
		}
		advance(5 * time.Second)
		c.checkChange(t, "2", bound, everyHost)
	})
	run(t, "an outage of the service does not multiply the calls", func(t *testing.T) {
		is := is.New(t)
		c := start(t, 295, 6)
		c.service.down.Store(true)
		advance(5 * time.Second)
		n := c.service.calls.Load()
		advance(10 * time.Second)
		n = (c.service.calls.Load() - n) / 10
		is.True(n <= 12*10+295/2) // followers, and others at storeInterval
		c.service.down.Store(false)
		c.checkChange(t, "2", bound, everyHost)
	})
	run(t, "the service has forgotten its history", func(t *testing.T) {
		c := start(t, 60, 3)
		c.service.forget()
		c.checkChange(t, "2", bound, everyHost)
	})
}
