package ledger

import (
	"context"
	"maps"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

// eraStore is a store in memory that can come back from an empty copy.
type eraStore struct {
	sardineknot.Store
	entries  map[string]sardineknot.StoreEntry
	revision sardineknot.StoreRevision
	// beforeWrite is called before the next write, unless it is nil.
	beforeWrite func()
}

func (s *eraStore) Get(_ context.Context, key string) (sardineknot.StoreEntry, error) {
	e, ok := s.entries[key]
	if !ok {
		e = sardineknot.StoreEntry{Key: key, Revision: sardineknot.StoreRevision{Era: s.revision.Era}}
	}
	return e, nil
}

func (s *eraStore) CompareAndSwap(ctx context.Context, key string, expected sardineknot.StoreRevision, value []byte, _ sardineknot.LeaseID) (sardineknot.StoreRevision, error) {
	if f := s.beforeWrite; f != nil {
		s.beforeWrite = nil
		f()
	}
	e, _ := s.Get(ctx, key)
	if e.Revision != expected {
		return sardineknot.StoreRevision{}, errors.WithStack(&sardineknot.ConflictError{Key: key, Expected: expected})
	}
	s.revision.Number++
	s.entries[key] = sardineknot.StoreEntry{Key: key, Value: value, Revision: s.revision}
	return s.revision, nil
}

// restore begins an era without any entry.
func (s *eraStore) restore() {
	clear(s.entries)
	s.revision = sardineknot.StoreRevision{Era: s.revision.Era + 1}
}

// copy returns the entries as the store has them in the next era.
func (s *eraStore) copy() map[string]sardineknot.StoreEntry {
	m := maps.Clone(s.entries)
	for k, e := range m {
		e.Revision.Era++
		m[k] = e
	}
	return m
}

// newEraHosts returns two hosts that share a store that can come back older.
func newEraHosts() (*eraStore, *testHost, *testHost) {
	s := &eraStore{entries: make(map[string]sardineknot.StoreEntry)}
	var l []*testHost
	for _, n := range []sardineknot.EntryHostID{"a", "b"} {
		h := &testHost{clock: &clock{now: time.Unix(1_800_000_000, 0)}}
		h.Ledger = NewLedger(s, h.clock, sardineknot.EntryHost{ID: n, Incarnation: 1}, h.wait)
		l = append(l, h)
	}
	return s, l[0], l[1]
}

// TestRestore covers a store that comes back from an older copy without the
// records of orders that engines have seen.
func TestRestore(t *testing.T) {
	checks := sardineknot.BackendServer{Name: "decode-1", ChecksFencing: true}
	t.Run("tokens go on above those that this process used", func(t *testing.T) {
		s, a, _ := newEraHosts()
		issue(t, a, checks)
		o := issue(t, a, checks)
		s.restore()
		is.New(t).True(issue(t, a, checks).Token > o.Token)
		s.restore()
		is.New(t).True(issue(t, a, checks).Token > o.Token+1)
	})
	t.Run("tokens go on above those that this process saw", func(t *testing.T) {
		s, a, b := newEraHosts()
		issue(t, a, checks)
		o := issue(t, b, checks)
		is.New(t).NoErr(a.MarkDone(context.Background(), o))
		s.restore()
		is.New(t).True(issue(t, a, checks).Token > o.Token)
	})
	t.Run("waits until an order whose record was lost can no longer be sent", func(t *testing.T) {
		s, a, _ := newEraHosts()
		issue(t, a, checks)
		s.restore()
		issue(t, a, checks)
		assertSlept(t, a, orderValidity+waitMargin)
		a.clock.now = a.clock.now.Add(orderValidity + waitMargin)
		issue(t, a, checks)
		assertSlept(t, a, orderValidity+waitMargin)
	})
}

// TestLostRecord guards against two orders with one token when the store has lost the
// record of the first one, which the issuer of the second one has never read.
func TestLostRecord(t *testing.T) {
	checks := sardineknot.BackendServer{Name: "decode-1", ChecksFencing: true}
	t.Run("tokens of a new era are greater than all before", func(t *testing.T) {
		s, a, b := newEraHosts()
		o := issue(t, a, checks)
		for range 3 {
			s.restore()
			n := issue(t, b, checks)
			is.New(t).True(n.Token > o.Token)
			o = n
			s.restore()
			n = issue(t, a, checks)
			is.New(t).True(n.Token > o.Token)
			o = n
		}
	})
	t.Run("tokens are numbers that every decoder reads exactly", func(t *testing.T) {
		var k tokens
		n := k.next("decode-1", 1<<21-1)
		is.New(t).Equal(sardineknot.FencingToken(float64(n)), n)
	})
}

// TestOrderWaitsForEra guards against two orders in quick succession when the store has
// lost the record of the first one.
func TestOrderWaitsForEra(t *testing.T) {
	checks := sardineknot.BackendServer{Name: "decode-1", ChecksFencing: true}
	ignores := sardineknot.BackendServer{Name: "decode-1"}
	t.Run("the next order waits until the first one can no longer be sent", func(t *testing.T) {
		for _, e := range []sardineknot.BackendServer{checks, ignores} {
			s, a, b := newEraHosts()
			issue(t, a, e)
			s.restore()
			issue(t, b, e)
			assertSlept(t, b, orderValidity+waitMargin)
		}
	})
	t.Run("so does one to an engine whose older record, of the same host, is back", func(t *testing.T) {
		s, a, b := newEraHosts()
		o := issue(t, b, ignores)
		is.New(t).NoErr(b.MarkDone(context.Background(), o))
		c := s.copy()
		issue(t, a, ignores)
		s.restore()
		s.entries = c
		issue(t, b, ignores)
		assertSlept(t, b, orderValidity+waitMargin)
	})
	t.Run("the wait counts from the time at which the host learned of the era", func(t *testing.T) {
		s, a, b := newEraHosts()
		issue(t, a, checks)
		s.restore()
		b.BeginEra(1)
		b.clock.now = b.clock.now.Add(4 * time.Second)
		issue(t, b, checks)
		assertSlept(t, b, time.Second)
		b.clock.now = b.clock.now.Add(time.Second)
		issue(t, b, checks)
		assertSlept(t, b, time.Second)
	})
	t.Run("a store that never came back older delays no first order", func(t *testing.T) {
		_, a, _ := newEraHosts()
		issue(t, a, ignores)
		assertSlept(t, a, 0)
	})
	t.Run("a process that starts in a later era waits once", func(t *testing.T) {
		s, a, b := newEraHosts()
		issue(t, a, checks)
		s.restore()
		s.restore()
		o := issue(t, b, checks)
		assertSlept(t, b, orderValidity+waitMargin)
		is.New(t).True(o.Token > 2*eraTokens)
	})
}
