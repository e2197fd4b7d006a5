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
	// keyLeases holds the lease that each key was last written under.
	keyLeases map[string]sardineknot.LeaseID
	// renewed holds the leases that were renewed since the last restore.
	renewed []sardineknot.LeaseID
	// restored holds the functions that are called with each new era.
	restored []func(sardineknot.StoreEra)
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
	return &service{entries: make(map[string]sardineknot.StoreEntry), leases: make(map[sardineknot.LeaseID]bool), keyLeases: make(map[string]sardineknot.LeaseID)}
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
	n := sardineknot.LeaseID{Era: s.revision.Era, Number: int64(len(s.leases) + 1)}
	s.leases[n] = true
	return n, nil
}

func (s *service) KeepAlive(_ context.Context, i sardineknot.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.renewed = append(s.renewed, i)
	i.Era = s.revision.Era // as the service, which sees numbers only
	if !s.leases[i] {
		return errors.WithStack(&sardineknot.UnknownError{What: "Lease"})
	}
	return nil
}

func (s *service) CompareAndSwap(_ context.Context, k string, r sardineknot.StoreRevision, v []byte, i sardineknot.LeaseID) (sardineknot.StoreRevision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	if s.entries[k].Revision != r {
		return sardineknot.StoreRevision{}, errors.WithStack(&sardineknot.ConflictError{Key: k, Expected: r})
	}
	s.keyLeases[k] = i
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

// restore makes the service come back from an empty copy: it begins an era and
// grants leases from the first number on. The first is granted to another client.
func (s *service) restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision = sardineknot.StoreRevision{Era: s.revision.Era + 1}
	clear(s.leases)
	s.leases[sardineknot.LeaseID{Era: s.revision.Era, Number: 1}] = true
	s.renewed = nil
	for _, f := range s.restored {
		f(s.revision.Era)
	}
	for k := range s.entries {
		delete(s.entries, k)
		for _, f := range s.notify {
			f(sardineknot.StoreEntry{Key: k, Revision: sardineknot.StoreRevision{Era: s.revision.Era}})
		}
	}
}

// forgetRenewals clears the record of renewed leases.
func (s *service) forgetRenewals() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.renewed = nil
}

// checkEra checks that key exists under a lease of the current era, and that no
// lease of an earlier one was renewed.
func (s *service) checkEra(t *testing.T, key string) {
	t.Helper()
	is := is.New(t)
	s.mu.Lock()
	defer s.mu.Unlock()
	is.True(!s.entries[key].Revision.Absent())
	is.Equal(s.keyLeases[key].Era, s.revision.Era)
	is.True(s.keyLeases[key].Number > 1)
	for _, i := range s.renewed {
		is.Equal(i.Era, s.revision.Era)
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
	s.restored = append(s.restored, r.BeginEra)
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

// TestRestore covers a service that comes back from an older copy and grants the
// number of a host's lease to another client: the host must take a new lease and
// write its key at once, before its renewal is due.
func TestRestore(t *testing.T) {
	run(t, "the key is written at once under a new lease", func(t *testing.T, is *is.I, s *service) {
		a, b := start(t, s, "a"), start(t, s, "b")
		advance(3 * time.Second)
		s.restore()
		advance(50 * time.Millisecond)
		s.checkEra(t, store.KeyPrefix+"a")
		s.checkEra(t, store.KeyPrefix+"b")
		is.Equal(aliveHosts(a), "a b")
		advance(10 * time.Second)
		s.checkEra(t, store.KeyPrefix+"a")
		is.Equal(aliveHosts(b), "a b")
	})
	run(t, "a second return during the recovery", func(t *testing.T, is *is.I, s *service) {
		start(t, s, "a")
		advance(3 * time.Second)
		s.restore()
		s.restore()
		advance(50 * time.Millisecond)
		s.checkEra(t, store.KeyPrefix+"a")
		s.restore()
		advance(50 * time.Millisecond)
		s.checkEra(t, store.KeyPrefix+"a")
		is.Equal(s.revision.Era, sardineknot.StoreEra(3))
	})
	run(t, "a host that is slow to learn of it", func(t *testing.T, is *is.I, s *service) {
		start(t, s, "a")
		advance(3 * time.Second)
		s.mu.Lock()
		l := s.restored
		s.restored = nil // cut off
		s.mu.Unlock()
		s.restore()
		advance(5 * time.Second)
		for _, f := range l {
			f(1)
		}
		advance(50 * time.Millisecond)
		s.forgetRenewals()
		advance(10 * time.Second)
		s.checkEra(t, store.KeyPrefix+"a")
		is.Equal(s.revision.Era, sardineknot.StoreEra(1))
	})
}
