package mirror_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/host/clock"
	"sardineknot.example/sardineknot/internal/platform/mirror"
)

var errDown = errors.New("down")

// feed is a fake sardineknot.ChangeFeed whose answers the test sets.
type feed struct {
	mu sync.Mutex
	// entries is the result of Snapshot.
	entries []sardineknot.StoreEntry
	// changes is the result of the next call of Next, which clears it.
	changes []sardineknot.StoreEntry
	// at is the revision that both methods return.
	at sardineknot.StoreRevision
	// err is the error that both methods return. A CompactedError is one of Next
	// only, and cleared by the next call.
	err error
	// slow makes Next fail if it is not to wait for changes.
	slow bool
	// snapshots counts the calls of Snapshot, and nexts those of Next.
	snapshots, nexts int
}

func (f *feed) Snapshot(context.Context) ([]sardineknot.StoreEntry, sardineknot.StoreRevision, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.snapshots++
	f.clearCompacted()
	return f.entries, f.at, f.err
}

func (f *feed) Next(ctx context.Context, revision sardineknot.StoreRevision, timeout time.Duration) ([]sardineknot.StoreEntry, sardineknot.StoreRevision, error) {
	f.mu.Lock()
	l, at, err := f.changes, f.at, f.err
	if f.slow && timeout == 0 {
		err = errDown
	}
	f.changes = nil
	f.nexts++
	f.clearCompacted()
	f.mu.Unlock()
	if len(l) > 0 || err != nil {
		return l, at, err
	}
	select {
	case <-time.After(timeout):
		return nil, revision, nil
	case <-ctx.Done():
		return nil, revision, ctx.Err()
	}
}

// clearCompacted clears a CompactedError.
func (f *feed) clearCompacted() {
	var c *sardineknot.CompactedError
	if errors.As(f.err, &c) {
		f.err = nil
	}
}

// set calls g, which modifies f, with the lock held.
func (f *feed) set(g func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	g()
}

// at returns a revision of the first era.
func at(number int64) sardineknot.StoreRevision { return sardineknot.StoreRevision{Number: number} }

func entry(k string, number int64) sardineknot.StoreEntry {
	return sardineknot.StoreEntry{Key: k, Revision: at(number)}
}

// runMirror runs a mirror of f while g runs. seen holds the revisions that the
// mirror reported, by key.
func runMirror(t *testing.T, f *feed, g func(m *mirror.Mirror, seen map[string]sardineknot.StoreRevision)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		seen := make(map[string]sardineknot.StoreRevision)
		m := &mirror.Mirror{
			Feed: f, Clock: clock.System{}, Sleep: clock.System{}.Sleep, PollDelay: func() time.Duration { return 100 * time.Millisecond }, Log: zerolog.Nop(),
			OnChange: func(e sardineknot.StoreEntry) { seen[e.Key] = e.Revision },
			OnBatch:  func(sardineknot.StoreRevision) {},
			Restores: metrics.NewCounter(), OnRestore: func(sardineknot.StoreEra) {},
		}
		d := make(chan error)
		go func() { d <- m.Run(ctx) }()
		advance(time.Second)
		g(m, seen)
		cancel()
		<-d
	})
}

// advance lets the mirror run for d in virtual time.
func advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func TestMirror(t *testing.T) {
	t.Run("reports entries and changes", func(t *testing.T) {
		f := &feed{entries: []sardineknot.StoreEntry{entry("a", 1)}, at: at(1)}
		runMirror(t, f, func(_ *mirror.Mirror, seen map[string]sardineknot.StoreRevision) {
			is := is.New(t)
			is.Equal(seen["a"], at(1))
			f.set(func() { f.changes, f.at = []sardineknot.StoreEntry{entry("b", 2), entry("a", 0)}, at(3) })
			advance(3 * time.Second)
			is.Equal(seen["b"], at(2))
			is.Equal(seen["a"], at(0))
		})
	})
	t.Run("reads all keys after a compaction", func(t *testing.T) {
		f := &feed{entries: []sardineknot.StoreEntry{entry("a", 1), entry("b", 1)}, at: at(1)}
		runMirror(t, f, func(_ *mirror.Mirror, seen map[string]sardineknot.StoreRevision) {
			f.set(func() {
				f.entries, f.at = []sardineknot.StoreEntry{entry("b", 5)}, at(5)
				f.err = errors.WithStack(&sardineknot.CompactedError{After: at(1)})
			})
			advance(5 * time.Second)
			is := is.New(t)
			is.Equal(seen["a"], at(0)) // removed while changes were missed
			is.Equal(seen["b"], at(5))
		})
	})
	t.Run("reports whether the store answers", func(t *testing.T) {
		f := &feed{at: at(1)}
		runMirror(t, f, func(m *mirror.Mirror, _ map[string]sardineknot.StoreRevision) {
			is := is.New(t)
			k, _ := m.Reachability()
			is.True(k)
			f.set(func() { f.err = errDown })
			advance(5 * time.Second)
			k, s := m.Reachability()
			is.True(!k)
			f.set(func() { f.err = nil })
			advance(5 * time.Second)
			k, u := m.Reachability()
			is.True(k && u.After(s))
		})
	})
}

// revisionOf returns a revision of an era.
func revisionOf(era sardineknot.StoreEra, number int64) sardineknot.StoreRevision {
	return sardineknot.StoreRevision{Era: era, Number: number}
}

// restore makes f return entries, all with a revision of an era, as a service
// does that came back from an older copy. The next call of Next fails.
func (f *feed) restore(era sardineknot.StoreEra, number int64, keys ...string) {
	f.set(func() {
		f.err = errors.WithStack(&sardineknot.CompactedError{After: f.at})
		f.at, f.entries = revisionOf(era, number), nil
		for _, k := range keys {
			f.entries = append(f.entries, sardineknot.StoreEntry{Key: k, Revision: f.at})
		}
	})
}

// TestMirrorEra covers a service that comes back from an older copy and gives
// out revisions again.
func TestMirrorEra(t *testing.T) {
	t.Run("entries of a new era replace those with greater numbers", func(t *testing.T) {
		f := &feed{entries: []sardineknot.StoreEntry{entry("a", 7), entry("b", 8)}, at: at(9)}
		runMirror(t, f, func(_ *mirror.Mirror, seen map[string]sardineknot.StoreRevision) {
			is := is.New(t)
			f.restore(1, 5, "a", "c")
			advance(3 * time.Second)
			is.Equal(seen["a"], revisionOf(1, 5))
			is.Equal(seen["b"], revisionOf(1, 0)) // lost, and removed in the new era
			is.Equal(seen["c"], revisionOf(1, 5))
		})
	})
	t.Run("an outage counts as just ended when a new era is read", func(t *testing.T) {
		f := &feed{entries: []sardineknot.StoreEntry{entry("a", 7)}, at: at(9)}
		runMirror(t, f, func(m *mirror.Mirror, _ map[string]sardineknot.StoreRevision) {
			is := is.New(t)
			b := time.Now()
			var g time.Time
			m.OnChange = func(sardineknot.StoreEntry) { _, g = m.Reachability() }
			f.restore(1, 5)
			advance(3 * time.Second)
			is.True(!g.Before(b))
		})
	})
	t.Run("each new era is reported once", func(t *testing.T) {
		f := &feed{at: revisionOf(3, 9)}
		runMirror(t, f, func(m *mirror.Mirror, _ map[string]sardineknot.StoreRevision) {
			is := is.New(t)
			var l []sardineknot.StoreEra
			m.OnRestore = func(era sardineknot.StoreEra) { l = append(l, era) }
			f.restore(4, 5)
			advance(3 * time.Second)
			f.restore(6, 5) // came back twice meanwhile
			advance(3 * time.Second)
			f.restore(6, 7) // history lost, no new era
			advance(3 * time.Second)
			is.Equal(l, []sardineknot.StoreEra{4, 6})
			is.Equal(m.Restores.Count(), int64(2))
		})
	})
}

// TestMirrorMixedEras covers answers of another era than the last one, such as a
// late answer or one of a host that is behind.
func TestMirrorMixedEras(t *testing.T) {
	t.Run("a snapshot of an earlier era is not used", func(t *testing.T) {
		f := &feed{entries: []sardineknot.StoreEntry{{Key: "a", Revision: revisionOf(2, 7)}}, at: revisionOf(2, 7)}
		runMirror(t, f, func(_ *mirror.Mirror, seen map[string]sardineknot.StoreRevision) {
			is := is.New(t)
			f.restore(1, 9, "old")
			advance(3 * time.Second)
			is.Equal(seen["a"], revisionOf(2, 7))
			is.Equal(seen["old"], sardineknot.StoreRevision{})
			f.restore(3, 2, "a")
			advance(3 * time.Second)
			is.Equal(seen["a"], revisionOf(3, 2))
		})
	})
	t.Run("changes of another era are read again as a whole", func(t *testing.T) {
		f := &feed{entries: []sardineknot.StoreEntry{entry("a", 7)}, at: at(9)}
		runMirror(t, f, func(_ *mirror.Mirror, seen map[string]sardineknot.StoreRevision) {
			is := is.New(t)
			f.set(func() {
				f.at = revisionOf(1, 12)
				f.changes = []sardineknot.StoreEntry{{Key: "b", Revision: f.at}}
				f.entries = []sardineknot.StoreEntry{{Key: "c", Revision: f.at}}
			})
			advance(3 * time.Second)
			is.Equal(seen["a"], revisionOf(1, 0))
			is.Equal(seen["b"], sardineknot.StoreRevision{})
			is.Equal(seen["c"], revisionOf(1, 12))
		})
	})
}
