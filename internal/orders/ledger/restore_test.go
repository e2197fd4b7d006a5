package ledger

import (
	"context"
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
		issue(t, a, checks)
		assertSlept(t, a, orderValidity+waitMargin)
	})
}

// TestRestoreDuringOrder covers a store that comes back while an order is issued
// or before it is marked as done.
func TestRestoreDuringOrder(t *testing.T) {
	checks := sardineknot.BackendServer{Name: "decode-1", ChecksFencing: true}
	t.Run("a token whose write met the return is not used again", func(t *testing.T) {
		is := is.New(t)
		s, a, _ := newEraHosts()
		o := issue(t, a, checks)
		s.beforeWrite = s.restore
		_, err := a.IssueOrder(context.Background(), checks, sardineknot.EngineState{})
		var c *sardineknot.ConflictError
		is.True(errors.As(err, &c))
		is.True(issue(t, a, checks).Token > o.Token+1)
	})
	t.Run("a write that failed within an era does not delay the next order", func(t *testing.T) {
		s, a, _ := newEraHosts()
		issue(t, a, checks)
		s.beforeWrite = func() { clear(s.entries) }
		_, err := a.IssueOrder(context.Background(), checks, sardineknot.EngineState{})
		is.New(t).True(err != nil)
		issue(t, a, checks)
		assertSlept(t, a, 0)
	})
	t.Run("another host's order with the same token is not marked as done", func(t *testing.T) {
		s, a, b := newEraHosts()
		o := issue(t, a, checks)
		s.restore()
		is.New(t).Equal(issue(t, b, checks).Token, o.Token)
		is.New(t).NoErr(a.MarkDone(context.Background(), o))
		v, _, err := a.read(context.Background(), checks.Name)
		is.New(t).NoErr(err)
		is.New(t).True(!v.Done)
	})
}
