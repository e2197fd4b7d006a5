package writer_test

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/configuration/writer"
	"sardineknot.example/sardineknot/internal/platform/etcd"
	standin "sardineknot.example/sardineknot/internal/standin/etcd"
	"sardineknot.example/sardineknot/internal/standin/fault"
	"sardineknot.example/sardineknot/internal/standin/record"
)

// start is the time of the first change.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// store is a client of the stand-in key-value service. It counts calls, and
// tests can intercept calls with hooks.
type store struct {
	sardineknot.Store
	// onHeadSwap replaces the next CompareAndSwap of the head.
	onHeadSwap func(swap func() error) error
	// afterList is called after the next call of Keys.
	afterList func()
	// reads and writes count the calls of Get and CompareAndSwap.
	reads  atomic.Int64
	writes atomic.Int64
}

func (s *store) Get(ctx context.Context, key string) (sardineknot.StoreEntry, error) {
	s.reads.Add(1)
	return s.Store.Get(ctx, key)
}

func (s *store) CompareAndSwap(ctx context.Context, key string, expected sardineknot.StoreRevision, value []byte, lease sardineknot.LeaseID) (sardineknot.StoreRevision, error) {
	s.writes.Add(1)
	f := s.onHeadSwap
	if f == nil || key != sardineknot.ConfigurationHeadKey {
		return s.Store.CompareAndSwap(ctx, key, expected, value, lease)
	}
	s.onHeadSwap = nil
	return sardineknot.StoreRevision{}, f(func() error {
		_, err := s.Store.CompareAndSwap(ctx, key, expected, value, lease)
		return err
	})
}

func (s *store) Keys(ctx context.Context, prefix string) ([]sardineknot.StoreEntry, error) {
	l, err := s.Store.Keys(ctx, prefix)
	if f := s.afterList; f != nil {
		s.afterList = nil
		f()
	}
	return l, err
}

func newStore(t *testing.T) *store {
	t.Helper()
	c := &fault.Injector{}
	h := httptest.NewServer(c.Wrap(standin.NewServer(c, &record.Recorder{})))
	t.Cleanup(h.Close)
	a := netip.MustParseAddrPort(strings.TrimPrefix(h.URL, "http://"))
	return &store{Store: etcd.NewClient(a, time.Minute)}
}

// operator is a writer with the head that it has read.
type operator struct {
	w    *writer.Writer
	head sardineknot.ConfigurationHead
	seen sardineknot.StoreRevision
}

// readHead returns an operator that has just read the head.
func readHead(t *testing.T, s sardineknot.Store) *operator {
	t.Helper()
	w := writer.NewWriter(s)
	h, r, err := w.Head(t.Context())
	is.New(t).NoErr(err)
	return &operator{w: w, head: h, seen: r}
}

// apply writes a configuration with contracts of the given accounts as a change
// by author.
func (o *operator) apply(t *testing.T, author string, at time.Time, accounts ...string) error {
	t.Helper()
	c := &sardineknot.Configuration{}
	for _, a := range accounts {
		c.Contracts = append(c.Contracts, sardineknot.Contract{Account: sardineknot.ClientAccountName(a)})
	}
	h := o.head
	h.Operation = "operation of " + author + " on " + fmt.Sprint(h.Revision)
	h.Author = author
	h.AcceptedAt = at
	return o.w.Write(t.Context(), c, h, o.seen)
}

// checkAccepted checks the accepted revision and its accounts.
func checkAccepted(t *testing.T, s sardineknot.Store, r sardineknot.Revision, accounts ...string) {
	t.Helper()
	i := is.New(t)
	h, _, c, err := writer.NewWriter(s).Accepted(t.Context(), nil)
	i.NoErr(err)
	i.Equal(h.Revision, r)
	i.Equal(len(c.Contracts), len(accounts))
	for n, a := range accounts {
		i.Equal(string(c.Contracts[n].Account), a)
	}
}

func TestConflictNamesOtherChange(t *testing.T) {
	i := is.New(t)
	s := newStore(t)
	a := readHead(t, s)
	b := readHead(t, s)
	i.NoErr(a.apply(t, "anna", start, "x"))
	i.NoErr(readHead(t, s).apply(t, "carla", start, "x", "z"))
	err := b.apply(t, "bjarni", start, "y")
	var c *sardineknot.ConfigurationConflictError
	i.True(errors.As(err, &c))
	i.Equal(c.Seen, sardineknot.Revision(0))
	i.Equal(c.Current, sardineknot.Revision(2))
	i.Equal(c.Other, sardineknot.ConfigurationChange{Revision: 1, Operation: "operation of anna on 0", Author: "anna", AcceptedAt: start})
	checkAccepted(t, s, 2, "x", "z")
}

// TestLostReply checks how a lost reply to the write of the head is resolved,
// depending on whether the write took effect and on the changes by others
// before the head is read again.
func TestLostReply(t *testing.T) {
	lost := &sardineknot.UnavailableError{Peer: "store", Cause: context.DeadlineExceeded}
	for _, c := range []struct {
		name string
		// effect reports whether the write takes effect.
		effect bool
		// others is the number of changes by others before the head is read
		// again.
		others int
		// expected is the final revision.
		expected sardineknot.Revision
		target   any
	}{
		{"took effect", true, 0, 1, nil},
		{"had no effect", false, 0, 1, nil},
		{"took effect, followed by others", true, 3, 4, nil},
		{"had no effect, others accepted", false, 3, 3, new(*sardineknot.ConfigurationConflictError)},
		{"took effect, followed by as many as the head lists", true, 15, 16, nil},
		{"had no effect, as many accepted as the head lists", false, 16, 16, new(*sardineknot.ConfigurationConflictError)},
		{"took effect, followed by more than the head lists", true, 16, 17, new(*sardineknot.ConfigurationOutcomeUnknownError)},
		{"had no effect, more accepted than the head lists", false, 17, 17, new(*sardineknot.ConfigurationOutcomeUnknownError)},
	} {
		t.Run(c.name, func(t *testing.T) {
			i := is.New(t)
			s := newStore(t)
			o := readHead(t, s)
			s.onHeadSwap = func(swap func() error) error {
				if c.effect {
					i.NoErr(swap())
				}
				for n := range c.others {
					i.NoErr(readHead(t, s).apply(t, fmt.Sprint("other-", n), start, "y"))
				}
				return lost
			}
			err := o.apply(t, "anna", start, "x")
			i.Equal(err == nil, c.target == nil)
			i.True(c.target == nil || errors.As(err, c.target))
			h, _, err := o.w.Head(t.Context())
			i.NoErr(err)
			i.Equal(h.Revision, c.expected)
		})
	}
}

// TestAbove checks that revisions continue above those of the hosts after the
// store was reset to an earlier revision.
func TestAbove(t *testing.T) {
	i := is.New(t)
	s := newStore(t)
	i.NoErr(readHead(t, s).apply(t, "anna", start, "x"))
	o := readHead(t, s)
	o.w.AboveRevision = 57
	i.NoErr(o.apply(t, "anna", start, "y"))
	checkAccepted(t, s, 58, "y")
	o = readHead(t, s)
	o.w.AboveRevision = 57
	i.NoErr(o.apply(t, "anna", start, "z"))
	checkAccepted(t, s, 59, "z")
}

// TestStoreCallsPerChange checks the number of calls to the store for a change
// of one account.
func TestStoreCallsPerChange(t *testing.T) {
	i := is.New(t)
	s := newStore(t)
	c := &sardineknot.Configuration{}
	for n := range 100 {
		a := sardineknot.ClientAccountName(fmt.Sprintf("account-%02d", n))
		c.Contracts = append(c.Contracts, sardineknot.Contract{Account: a})
	}
	w := writer.NewWriter(s)
	i.NoErr(w.Write(t.Context(), c, sardineknot.ConfigurationHead{}, sardineknot.StoreRevision{}))
	c.Contracts[7].Burst = 1
	s.reads.Store(0)
	s.writes.Store(0)
	h, r, o, err := w.Accepted(t.Context(), c)
	i.NoErr(err)
	i.Equal(o.Contracts[7].Burst, 0)
	i.NoErr(w.Write(t.Context(), c, h, r))
	i.Equal(s.reads.Load(), int64(2))
	i.Equal(s.writes.Load(), int64(2))
}
