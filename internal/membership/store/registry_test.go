package store_test

import (
	"bytes"
	"context"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/host/clock"
	"sardineknot.example/sardineknot/internal/membership/store"
)

// service is a fake key-value service in memory that notifies registries of its
// changes.
type service struct {
	mu      sync.Mutex
	entries map[string]sardineknot.StoreEntry
	// leases maps each lease to whether it is still valid.
	leases   map[sardineknot.LeaseID]bool
	revision sardineknot.StoreRevision
	// writes counts the calls of CompareAndSwap.
	writes int
	// ttl is the time to live of the lease granted last.
	ttl time.Duration
	// notify holds the functions that are called with each change.
	notify []func(sardineknot.StoreEntry)
	// loseReply makes the next write take effect but return an error.
	loseReply bool
	sardineknot.Store
}

// hostEntry returns the entry of the host with the given number.
func hostEntry(number int) sardineknot.StoreEntry {
	return sardineknot.StoreEntry{
		Key:   store.KeyPrefix + strconv.Itoa(number),
		Value: []byte(`{"Incarnation":1,"CallerAddress":"127.0.0.1:1","PeerAddress":"127.0.0.1:1","Zone":"z"}`),
	}
}

func newService() *service {
	return &service{entries: make(map[string]sardineknot.StoreEntry), leases: make(map[sardineknot.LeaseID]bool)}
}

func (s *service) Get(_ context.Context, k string) (sardineknot.StoreEntry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entries[k], nil
}

func (s *service) GrantLease(_ context.Context, ttl time.Duration) (sardineknot.LeaseID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ttl = ttl
	n := sardineknot.LeaseID{Number: int64(len(s.leases) + 1)}
	s.leases[n] = true
	return n, nil
}

func (s *service) KeepAlive(_ context.Context, i sardineknot.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.leases[i] {
		return errors.WithStack(&sardineknot.UnknownError{What: "Lease"})
	}
	return nil
}

func (s *service) CompareAndSwap(_ context.Context, k string, r sardineknot.StoreRevision, v []byte, _ sardineknot.LeaseID) (sardineknot.StoreRevision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	if s.entries[k].Revision != r {
		return sardineknot.StoreRevision{}, errors.WithStack(&sardineknot.ConflictError{Key: k, Expected: r})
	}
	s.putLocked(sardineknot.StoreEntry{Key: k, Value: v})
	if s.loseReply {
		s.loseReply = false
		return sardineknot.StoreRevision{}, errors.WithStack(&sardineknot.UnavailableError{Peer: "store", Cause: context.DeadlineExceeded})
	}
	return s.revision, nil
}

func (s *service) putLocked(e sardineknot.StoreEntry) {
	s.revision.Number++
	e.Revision = s.revision
	s.entries[e.Key] = e
	for _, f := range s.notify {
		f(e)
	}
}

// expireLeases expires all leases and removes all keys.
func (s *service) expireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.leases {
		s.leases[i] = false
	}
	for k := range s.entries {
		delete(s.entries, k)
		for _, f := range s.notify {
			f(sardineknot.StoreEntry{Key: k})
		}
	}
}

// start runs a registry of host n on s until the test ends.
func start(t *testing.T, s *service, n sardineknot.EntryHostID) *store.Registry {
	a := netip.MustParseAddrPort("127.0.0.1:1")
	r := store.NewRegistry(sardineknot.EntryHost{ID: n, Incarnation: 1, CallerAddress: a, PeerAddress: a, Zone: "z"})
	r.Store, r.Clock, r.Log = s, clock.System{}, zerolog.Nop()
	r.Reachability = func() (bool, time.Time) { return true, time.Time{} }
	s.mu.Lock()
	s.notify = append(s.notify, func(e sardineknot.StoreEntry) {
		r.Apply(e)
		r.Refresh()
	})
	for _, e := range s.entries {
		r.Apply(e)
	}
	s.mu.Unlock()
	ctx, cancel := context.WithCancel(t.Context())
	d := make(chan error)
	go func() { d <- r.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-d
	})
	return r
}

// aliveHosts returns the IDs of the alive hosts in r, separated by spaces.
func aliveHosts(r *store.Registry) string {
	var l []string
	for _, h := range r.Hosts() {
		if h.State == sardineknot.EntryHostAlive {
			l = append(l, string(h.ID))
		}
	}
	return strings.Join(l, " ")
}

// advance lets the registries run for d in virtual time.
func advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// run runs f as a subtest in virtual time, with a new service.
func run(t *testing.T, name string, f func(t *testing.T, is *is.I, s *service)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) { f(t, is.New(t), newService()) })
	})
}

func TestRegistry(t *testing.T) {
	run(t, "hosts find each other", func(t *testing.T, is *is.I, s *service) {
		a, b := start(t, s, "a"), start(t, s, "b")
		advance(time.Second)
		is.Equal(aliveHosts(a), "a b")
		is.Equal(aliveHosts(b), "a b")
	})
	run(t, "expired key is written again", func(t *testing.T, is *is.I, s *service) {
		a := start(t, s, "a")
		start(t, s, "b")
		advance(time.Second)
		s.expireLeases()
		advance(2 * time.Second)
		is.Equal(aliveHosts(a), "a b")
	})
	run(t, "write with a lost reply is repeated", func(t *testing.T, is *is.I, s *service) {
		s.loseReply = true
		a := start(t, s, "a")
		b := start(t, s, "b")
		advance(3 * time.Second)
		a.Leave()
		advance(time.Second)
		is.Equal(aliveHosts(b), "b")
	})
	run(t, "leaving host is not live", func(t *testing.T, is *is.I, s *service) {
		a, b := start(t, s, "a"), start(t, s, "b")
		advance(time.Second)
		b.Leave()
		advance(time.Second)
		is.Equal(aliveHosts(a), "a")
		is.Equal(aliveHosts(b), "a")
	})
}

func TestLease(t *testing.T) {
	run(t, "small fleets renew often and large ones seldom", func(t *testing.T, is *is.I, s *service) {
		for i := range 299 {
			s.putLocked(hostEntry(i))
		}
		start(t, s, "a")
		advance(10 * time.Second)
		is.Equal(s.ttl, 4200*time.Millisecond)
		s.expireLeases()
		start(t, s, "b")
		advance(10 * time.Second)
		is.Equal(s.ttl, 1575*time.Millisecond)
	})
	run(t, "the key of an earlier incarnation is replaced with one write", func(t *testing.T, is *is.I, s *service) {
		e := hostEntry(1)
		e.Key = store.KeyPrefix + "a"
		s.putLocked(e)
		start(t, s, "a").Refresh()
		advance(3 * time.Second)
		is.Equal(s.writes, 1)
	})
}

func TestExclude(t *testing.T) {
	run(t, "an exclusion long ago does not lengthen the next", func(t *testing.T, is *is.I, s *service) {
		a := start(t, s, "a")
		start(t, s, "b")
		advance(time.Second)
		for range 3 {
			a.Exclude("b")
			advance(time.Minute)
		}
		a.Exclude("b")
		advance(4 * time.Second)
		is.Equal(aliveHosts(a), "a b")
	})
	run(t, "host that does not answer is excluded temporarily", func(t *testing.T, is *is.I, s *service) {
		a := start(t, s, "a")
		start(t, s, "b")
		advance(time.Second)
		a.Exclude("b")
		is.Equal(aliveHosts(a), "a")
		advance(4 * time.Second)
		is.Equal(aliveHosts(a), "a b")
	})
}

// TestHostLines covers the start of a large fleet: each host learns of each
// other, and must not write a line for each.
func TestHostLines(t *testing.T) {
	is := is.New(t)
	var b bytes.Buffer
	r := store.NewRegistry(sardineknot.EntryHost{ID: "self", Incarnation: 1})
	r.Log, r.Clock = zerolog.New(&b), clock.System{}
	r.Reachability = func() (bool, time.Time) { return true, time.Time{} }
	for i := range 295 {
		e := hostEntry(i)
		e.Revision = sardineknot.StoreRevision{Number: 1}
		r.Apply(e)
	}
	r.Refresh()
	is.Equal(strings.Count(b.String(), "\n"), 1)
	is.True(strings.Contains(b.String(), `"joined":295`))
	is.True(b.Len() < 400)
}
