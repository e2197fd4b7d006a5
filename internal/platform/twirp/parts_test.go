package twirp

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/host/clock"
	"sardineknot.example/sardineknot/internal/platform/changelog"
	rpc "sardineknot.example/sardineknot/internal/rpc/changes"
)

// randomValue returns n bytes that cannot be compressed.
func randomValue(n int, seed uint32) []byte {
	b := make([]byte, n)
	for i := range b {
		seed = seed*1664525 + 1013904223
		b[i] = byte(seed >> 24)
	}
	return b
}

// newRandomFollower returns a feed whose log holds random values of the given length under the
// key "config", at the revisions 1, 2 and so on.
func newRandomFollower(length, versions int) *Feed {
	f := newFollower()
	for i := range versions {
		r := sardineknot.StoreRevision{Number: int64(i + 1)}
		f.Entries.Record(sardineknot.StoreEntry{Key: "config", Value: randomValue(length, uint32(i)), Revision: r})
		f.Commit(r)
	}
	return f
}

// newReader returns a feed that has begun to read the value of "config" at revision.
func newReader(revision int64) (*Feed, *transfer) {
	f := &Feed{Entries: changelog.NewLog(), Clock: clock.System{}, Log: zerolog.Nop()}
	e := sardineknot.StoreEntry{Key: "config", Revision: sardineknot.StoreRevision{Number: revision}}
	f.transfers.begin([]sardineknot.StoreEntry{e}, "a", time.Time{})
	t, _ := f.transfers.any()
	return f, t
}

// readPartOf reads the next part of r from follower.
func readPartOf(t *testing.T, f *Feed, r *transfer, follower *Feed) error {
	t.Helper()
	a, err := (&service{feed: follower}).ReadPatch(t.Context(), f.partRequest(r))
	is.New(t).NoErr(err)
	return f.acceptPart(r, a, sardineknot.EntryHost{ID: "a"})
}

// checkArrived reads the rest of r from follower and checks the entry that arrives.
func checkArrived(t *testing.T, f *Feed, r *transfer, follower *Feed, parts int, want sardineknot.StoreEntry) {
	t.Helper()
	is := is.New(t)
	n := 0
	for f.transfers.running[r.key] == r && n < 1000 {
		is.NoErr(readPartOf(t, f, r, follower))
		n++
	}
	is.Equal(n, parts)
	l := f.transfers.take()
	is.Equal(len(l), 1)
	is.Equal(l[0].Revision, want.Revision)
	is.Equal(string(l[0].Value), string(want.Value))
}

// length is the length of values that are read in four parts.
const length = 3*partBytes + 100

// version returns the i-th version of "config" that f keeps.
func version(f *Feed, i int) sardineknot.StoreEntry { return f.Entries.Versions("config")[i] }

// TestParts guards against values that are put together of parts of several patches.
func TestParts(t *testing.T) {
	t.Run("a transfer goes on at another follower", func(t *testing.T) {
		a, b := newRandomFollower(length, 1), newRandomFollower(length, 1)
		f, r := newReader(1)
		is.New(t).NoErr(readPartOf(t, f, r, a))
		checkArrived(t, f, r, b, 3, version(b, 0))
	})
	t.Run("a transfer goes on although there is a later value", func(t *testing.T) {
		a, b := newRandomFollower(length, 1), newRandomFollower(length, 2)
		f, r := newReader(1)
		is.New(t).NoErr(readPartOf(t, f, r, a))
		checkArrived(t, f, r, b, 3, version(b, 0))
	})
	t.Run("a transfer begins with the latest value", func(t *testing.T) {
		a := newRandomFollower(length, 2)
		f, r := newReader(1)
		checkArrived(t, f, r, a, 4, version(a, 1))
	})
	t.Run("a transfer of a value that is not kept begins again", func(t *testing.T) {
		a, b := newRandomFollower(length, 1), newRandomFollower(length, 9)
		f, r := newReader(1)
		is.New(t).NoErr(readPartOf(t, f, r, a))
		checkArrived(t, f, r, b, 4, version(b, len(b.Entries.Versions("config"))-1))
	})
	t.Run("another value of the same revision begins again", func(t *testing.T) {
		a, b := newRandomFollower(length, 1), newFollower()
		e := sardineknot.StoreEntry{Key: "config", Value: randomValue(length, 77), Revision: sardineknot.StoreRevision{Number: 1}}
		b.Entries.Record(e)
		b.Commit(e.Revision)
		f, r := newReader(1)
		is.New(t).NoErr(readPartOf(t, f, r, a))
		checkArrived(t, f, r, b, 4, e)
	})
}

// TestEndOfTransfer guards against transfers that never end, or end before the latest value
// has arrived.
func TestEndOfTransfer(t *testing.T) {
	t.Run("a host without the value, or with an earlier one", func(t *testing.T) {
		for _, b := range []*Feed{newFollower(), newRandomFollower(length, 2)} {
			f, r := newReader(3)
			err := readPartOf(t, f, r, b)
			var u *sardineknot.UnavailableError
			is.New(t).True(errors.As(err, &u))
		}
	})
	t.Run("a later value follows", func(t *testing.T) {
		is := is.New(t)
		a := newRandomFollower(length, 1)
		f, r := newReader(1)
		is.NoErr(readPartOf(t, f, r, a))
		f.transfers.begin([]sardineknot.StoreEntry{{Key: "config", Revision: sardineknot.StoreRevision{Number: 2}}}, "b", time.Time{})
		checkArrived(t, f, r, a, 3, version(a, 0))
		n, _ := f.transfers.any()
		is.Equal(n.announced.Number, int64(2))
		is.True(f.transfers.pending())
	})
	t.Run("a value that the service does not have any more", func(t *testing.T) {
		is := is.New(t)
		f, r := newReader(7)
		f.finishTransfer(r, sardineknot.StoreEntry{Key: "config"}, 0, "")
		l := f.transfers.take()
		is.Equal(len(l), 1)
		is.True(l[0].Revision.Absent())
		is.True(!f.transfers.pending())
	})
	t.Run("a removed value ends the transfer", func(t *testing.T) {
		f, _ := newReader(1)
		f.transfers.end([]sardineknot.StoreEntry{{Key: "config"}})
		is.New(t).True(!f.transfers.pending())
	})
}

// TestValueOfNewEra guards against a log that lacks a large value for the whole of an era,
// because the value was read from the service before the other entries of the era, put into
// the log of the era before, and ignored when it came with the others.
func TestValueOfNewEra(t *testing.T) {
	is := is.New(t)
	f, r := newReader(5)
	f.StoreCalls, f.StoreFailures = metrics.NewCounter(), metrics.NewCounter()
	f.ReadEntry = func(context.Context, string) (sardineknot.StoreEntry, error) {
		return sardineknot.StoreEntry{Key: "config", Revision: sardineknot.StoreRevision{Era: 1, Number: 3}}, nil
	}
	err := f.readWhole(t.Context(), r)
	var c *sardineknot.CompactedError
	is.True(errors.As(err, &c))
	is.Equal(len(f.transfers.take()), 0)
}

// TestMalformedParts guards against answers that take memory without limit, or make a wrong
// value.
func TestMalformedParts(t *testing.T) {
	p := &rpc.Patch{Data: []byte("x"), Size: 1}
	for name, a := range map[string]*rpc.ReadPatchResponse{
		"no data":              {Revision: 1, Patch: &rpc.Patch{}, FrameBytes: 9},
		"too long":             {Revision: 1, Patch: p, FrameBytes: 1 << 40},
		"negative length":      {Revision: 1, Patch: p, FrameBytes: -1},
		"another offset":       {Revision: 1, Patch: p, FrameBytes: 9, Offset: 5},
		"a frame that is none": {Revision: 1, Patch: p, FrameBytes: 1},
		"more than announced":  {Revision: 1, Patch: &rpc.Patch{Data: []byte("xxxx")}, FrameBytes: 2},
		"no patch":             {Revision: 1},
	} {
		t.Run(name, func(t *testing.T) {
			f, r := newReader(1)
			is := is.New(t)
			is.True(f.acceptPart(r, a, sardineknot.EntryHost{}) != nil)
			is.Equal(len(f.transfers.take()), 0)
		})
	}
}

// countedFeed is a fake sardineknot.ChangeFeed without changes that counts its calls.
type countedFeed struct {
	sardineknot.ChangeFeed
	calls int
	err   error
}

func (c *countedFeed) Next(_ context.Context, revision sardineknot.StoreRevision, _ time.Duration) ([]sardineknot.StoreEntry, sardineknot.StoreRevision, error) {
	c.calls++
	return nil, revision, c.err
}

// loneFollower is a fake sardineknot.FollowerSelector of a host without others.
type loneFollower struct{}

func (loneFollower) FollowsStore() bool             { return true }
func (loneFollower) Peers() []sardineknot.EntryHost { return nil }

// TestArrivedValueIsNoAnswer guards against a read for decisions that need the present state,
// or one that shows whether the service answers, that ends without a call because a large value
// has arrived meanwhile.
func TestArrivedValueIsNoAnswer(t *testing.T) {
	start := func() (*Feed, *countedFeed) {
		f, r := newReader(1)
		c := &countedFeed{}
		f.Store, f.Selector, f.Bound = c, loneFollower{}, func() time.Duration { return time.Second }
		f.StoreCalls, f.StoreFailures = metrics.NewCounter(), metrics.NewCounter()
		f.answers = true
		f.finishTransfer(r, sardineknot.StoreEntry{Key: "config", Revision: sardineknot.StoreRevision{Number: 1}}, 0, "a")
		return f, c
	}
	next := func(f *Feed, timeout time.Duration) (int, error) {
		l, _, err := f.Next(t.Context(), sardineknot.StoreRevision{Number: 9}, timeout)
		return len(l), err
	}
	t.Run("a wait ends", func(t *testing.T) {
		is := is.New(t)
		f, c := start()
		c.err = context.Canceled
		n, err := next(f, time.Second)
		is.NoErr(err)
		is.Equal(n, 1)
	})
	t.Run("a read without a wait", func(t *testing.T) {
		is := is.New(t)
		f, c := start()
		n, err := next(f, 0)
		is.NoErr(err)
		is.Equal(n, 1)
		is.Equal(c.calls, 1)
	})
	t.Run("a read after a failure", func(t *testing.T) {
		is := is.New(t)
		f, c := start()
		f.answers = false
		c.err = context.DeadlineExceeded
		_, err := next(f, time.Second)
		is.True(err != nil)
		c.err = nil
		n, err := next(f, time.Second)
		is.NoErr(err)
		is.Equal(n, 1)
	})
}
