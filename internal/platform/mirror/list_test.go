package mirror_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/host/clock"
	"sardineknot.example/sardineknot/internal/platform/mirror"
)

// lister is a fake of the service's list of a prefix. It has no more answers than
// lists.
type lister struct {
	lists [][]sardineknot.StoreEntry
	calls int
}

func (l *lister) list(context.Context, string) ([]sardineknot.StoreEntry, error) {
	l.calls++
	if l.calls > len(l.lists) {
		return nil, errDown
	}
	return l.lists[l.calls-1], nil
}

// runListing runs a mirror of f for d that begins with the keys of l, and returns the
// revisions that it reported, by key. again is what OnList returns first.
func runListing(t *testing.T, f *feed, l *lister, d, again time.Duration) map[string]sardineknot.StoreRevision {
	seen := make(map[string]sardineknot.StoreRevision)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), d)
		defer cancel()
		m := &mirror.Mirror{
			Feed: f, Clock: clock.System{}, Sleep: clock.System{}.Sleep, PollDelay: func() time.Duration { return 100 * time.Millisecond }, Log: zerolog.Nop(),
			OnChange: func(e sardineknot.StoreEntry) { seen[e.Key] = e.Revision }, OnBatch: func(sardineknot.StoreRevision) {},
			Restores: metrics.NewCounter(), OnRestore: func(sardineknot.StoreEra) { t.Error("a start is not a restore") },
			List: l.list, OnList: func(calls int) time.Duration {
				if calls == 0 {
					return again
				}
				return 0
			},
		}
		is.New(t).NoErr(m.Run(ctx))
	})
	return seen
}

// TestList covers a start, at which the keys of hosts are read before all others.
func TestList(t *testing.T) {
	t.Run("a key that is gone meanwhile is reported as removed", func(t *testing.T) {
		is := is.New(t)
		f := &feed{entries: []sardineknot.StoreEntry{entry("b", 2), entry("s", 3)}, at: at(4)}
		l := &lister{lists: [][]sardineknot.StoreEntry{{entry("a", 1), entry("b", 2)}}}
		s := runListing(t, f, l, time.Second, 0)
		is.Equal(s, map[string]sardineknot.StoreRevision{"a": {}, "b": at(2), "s": at(3)})
	})
	t.Run("the keys are read again if there are to be more", func(t *testing.T) {
		is := is.New(t)
		f := &feed{err: errDown}
		l := &lister{lists: [][]sardineknot.StoreEntry{{entry("a", 1)}, {entry("b", 2)}}}
		s := runListing(t, f, l, 400*time.Millisecond, 300*time.Millisecond)
		is.Equal(s, map[string]sardineknot.StoreRevision{"a": {}, "b": at(2)})
	})
	t.Run("all keys are not read while the keys of hosts cannot be", func(t *testing.T) {
		is := is.New(t)
		f, l := &feed{at: at(1)}, &lister{}
		runListing(t, f, l, 10*time.Second, 0)
		is.Equal(f.snapshots, 0)
		is.True(l.calls > 1)
	})
	t.Run("keys of an era before that of the list are not used", func(t *testing.T) {
		is := is.New(t)
		n := sardineknot.StoreRevision{Era: 1, Number: 1}
		f := &feed{entries: []sardineknot.StoreEntry{entry("s", 9)}, at: at(9)}
		l := &lister{lists: [][]sardineknot.StoreEntry{{{Key: "a", Revision: n}}, {{Key: "a", Revision: n}}}}
		s := runListing(t, f, l, time.Second, 0)
		is.Equal(s, map[string]sardineknot.StoreRevision{"a": n})
	})
}
