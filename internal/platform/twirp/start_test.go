package twirp_test

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot"
)

const (
	startedHosts   = 300
	startedServers = 1000
	// readAllTime and listTime are the times in which the service answers reads of all
	// keys and of the keys of hosts.
	readAllTime = time.Second
	listTime    = 100 * time.Millisecond
)

// countedStore counts what all hosts read from the service, in which hosts have keys.
type countedStore struct {
	mu sync.Mutex
	*service
	// reads and bytes count the reads of all keys, and the bytes of these and of the
	// keys of hosts.
	reads, bytes int
}

// startedStore is the access of one host to the service.
type startedStore struct {
	*hostFeed
	counted *countedStore
}

func (s *countedStore) count(l []sardineknot.StoreEntry) {
	for _, e := range l {
		s.bytes += len(e.Key) + len(e.Value)
	}
}

// register writes the key of a host.
func (s *countedStore) register(id sardineknot.EntryHostID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put("hosts/"+string(id), strings.Repeat("x", 200))
}

// expire removes the key of a host.
func (s *countedStore) expire(id sardineknot.EntryHostID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision.Number++
	l := s.log.Load()
	l.Record(sardineknot.StoreEntry{Key: "hosts/" + string(id)})
	l.Commit(s.revision)
}

// list returns the keys of hosts.
func (s *countedStore) list(context.Context, string) ([]sardineknot.StoreEntry, error) {
	time.Sleep(listTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	l, _ := s.log.Load().Snapshot()
	l = slices.DeleteFunc(l, func(e sardineknot.StoreEntry) bool { return !strings.HasPrefix(e.Key, "hosts/") })
	s.count(l)
	return l, nil
}

// Snapshot implements sardineknot.ChangeFeed.
func (s *startedStore) Snapshot(ctx context.Context) ([]sardineknot.StoreEntry, sardineknot.StoreRevision, error) {
	time.Sleep(readAllTime)
	l, n, err := s.hostFeed.Snapshot(ctx)
	s.counted.mu.Lock()
	defer s.counted.mu.Unlock()
	s.counted.reads++
	s.counted.count(l)
	return l, n, err
}

// newStopped returns a cluster of hosts that are not started and have no other host in their list.
func newStopped() (*cluster, *countedStore) {
	s := &countedStore{service: newService()}
	for i := range startedServers {
		s.put(fmt.Sprintf("servers/%d", i), strings.Repeat("x", 300))
	}
	c := &cluster{service: s.service, bound: siteBound}
	l := newEntries(startedHosts, 6)
	for _, e := range l {
		h := newHost(c, e, []sardineknot.EntryHost{e})
		h.feed.Store = &startedStore{hostFeed: h.store, counted: s}
		h.feed.FirstStoreWait = func() time.Duration { return 10 * time.Second }
		h.mirror.List, h.mirror.Prefix = s.list, "hosts/"
		h.mirror.OnList = func(calls int) time.Duration { return h.register(s, calls) }
		h.mirror.OnChange = func(e sardineknot.StoreEntry) {
			h.apply(e)
			h.learn(l, e)
		}
		c.hosts = append(c.hosts, h)
	}
	return c, s
}

// register writes the key of the host, and waits for those of others if it was not
// there, as the gateway does.
func (h *host) register(s *countedStore, calls int) time.Duration {
	v, _ := h.get("hosts/" + string(h.entry.ID))
	if calls > 0 || v != "" {
		return 0
	}
	s.register(h.entry.ID)
	return 300 * time.Millisecond
}

// learn adds the host of entry, one of all, to those that h has, or removes it.
func (h *host) learn(all []sardineknot.EntryHost, entry sardineknot.StoreEntry) {
	n, ok := strings.CutPrefix(entry.Key, "hosts/")
	if !ok || n == string(h.entry.ID) {
		return
	}
	i := slices.IndexFunc(all, func(e sardineknot.EntryHost) bool { return string(e.ID) == n })
	l := slices.DeleteFunc(slices.Clone(h.list), func(e sardineknot.EntryHost) bool { return e.ID == all[i].ID })
	if !entry.Revision.Absent() {
		l = append(l, all[i])
	}
	slices.SortFunc(l, func(a, b sardineknot.EntryHost) int { return cmp.Compare(a.ID, b.ID) })
	h.list = l
}

// run starts the hosts that are not dead, and checks that each has all entries within
// limit.
func (c *cluster) run(t *testing.T, limit time.Duration) {
	t.Helper()
	for _, h := range c.hosts {
		if !h.dead.Load() {
			go h.run(t.Context())
		}
	}
	advance(limit)
	for _, h := range c.hosts {
		if h.dead.Load() {
			continue
		}
		v, _ := h.get("config")
		if n := h.servers(); v == "" || n != startedServers {
			t.Errorf("%s has the configuration %q and %d servers, want all", h.entry.ID, v, n)
		}
	}
}

// servers returns the number of backend servers that the host has.
func (h *host) servers() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for k := range h.seen {
		if strings.HasPrefix(k, "servers/") {
			n++
		}
	}
	return n
}

// kill marks the followers of the zones for which in returns true as dead. All hosts
// are known to each other.
func (c *cluster) kill(in func(sardineknot.AvailabilityZone) bool) {
	var l []sardineknot.EntryHost
	for _, h := range c.hosts {
		l = append(l, h.entry)
	}
	for _, h := range c.hosts {
		o := h.list
		h.list = l
		h.dead.Store(in(h.entry.Zone) && h.feed.Selector.FollowsStore())
		h.list = o
	}
}

// newKilled returns a stopped cluster whose hosts still have keys. Those of them that
// would read from the service do not return if in returns true for their zone.
func newKilled(in func(sardineknot.AvailabilityZone) bool) (*cluster, *countedStore) {
	c, s := newStopped()
	for _, h := range c.hosts {
		s.register(h.entry.ID)
	}
	c.kill(in)
	return c, s
}

func noZone(sardineknot.AvailabilityZone) bool    { return false }
func everyZone(sardineknot.AvailabilityZone) bool { return true }

// check checks that there were at most the given numbers of reads of all keys, and of
// the keys of hosts.
func (s *countedStore) check(t *testing.T, reads, lists int) {
	t.Helper()
	const all = startedServers * 320 // bytes of all keys of servers
	const list = startedHosts * 220  // bytes of all keys of hosts
	t.Logf("%d reads of all keys, %d bytes", s.reads, s.bytes)
	is := is.New(t)
	is.True(s.reads <= reads)
	is.True(s.bytes <= reads*(all+list)+lists*list)
}

// TestStartTogether guards against hosts that all read all keys from the service when
// all were killed: its rates and the hosts' links then keep them from serving.
func TestStartTogether(t *testing.T) {
	const limit = 5 * time.Second
	run(t, "the keys of hosts are still there", func(t *testing.T) {
		c, s := newKilled(noZone)
		c.run(t, limit)
		s.check(t, 12, startedHosts*2)
	})
	run(t, "the keys of hosts are gone", func(t *testing.T) {
		c, s := newStopped()
		c.run(t, limit)
		s.check(t, 12, startedHosts*3)
	})
	run(t, "the followers of a zone are silent", func(t *testing.T) {
		c, s := newKilled(func(z sardineknot.AvailabilityZone) bool { return z == "zone-0" })
		c.run(t, limit)
		s.check(t, 10, startedHosts*2)
	})
}

// TestStartWithoutFollowers guards against hosts that wait for ever for followers that
// were not started again, or read all keys together because of that.
func TestStartWithoutFollowers(t *testing.T) {
	run(t, "their keys lapse", func(t *testing.T) {
		c, s := newKilled(everyZone)
		time.AfterFunc(1500*time.Millisecond, func() {
			for _, h := range c.hosts {
				if h.dead.Load() {
					s.expire(h.entry.ID)
				}
			}
		})
		c.run(t, 5*time.Second)
		s.check(t, 12, startedHosts*4)
	})
	run(t, "their keys stay", func(t *testing.T) {
		c, s := newKilled(everyZone)
		for i, h := range c.hosts {
			h.feed.FirstStoreWait = func() time.Duration { return 3*time.Second + time.Duration(i)*10*time.Millisecond }
		}
		var n int
		time.AfterFunc(3*time.Second, func() { n = s.reads })
		c.run(t, 10*time.Second)
		is.New(t).Equal(n, 0)
		s.check(t, startedHosts, startedHosts*7)
	})
}
