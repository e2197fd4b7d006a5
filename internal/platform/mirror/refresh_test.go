package mirror_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/platform/mirror"
)

// refresh calls m.Refresh and returns how long that took.
func refresh(t *testing.T, m *mirror.Mirror) (time.Duration, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	b := time.Now()
	err := m.Refresh(ctx)
	return time.Since(b), err
}

// refuses checks that m.Refresh fails with an UnavailableError within a second.
func refuses(t *testing.T, m *mirror.Mirror) {
	t.Helper()
	_, err := refresh(t, m)
	var u *sardineknot.UnavailableError
	is.New(t).True(errors.As(err, &u))
}

// TestRefresh guards against decisions by a view that is older than a call that needs
// the present one.
func TestRefresh(t *testing.T) {
	t.Run("reports changes at once that a pause or a long poll would delay", func(t *testing.T) {
		for _, d := range []time.Duration{10 * time.Millisecond, 300 * time.Millisecond, 1050 * time.Millisecond} {
			f := &feed{at: at(1)}
			runMirror(t, f, func(m *mirror.Mirror, seen map[string]sardineknot.StoreRevision) {
				is := is.New(t)
				advance(d)
				f.set(func() { f.changes, f.at = []sardineknot.StoreEntry{entry("a", 2)}, at(2) })
				e, err := refresh(t, m)
				is.NoErr(err)
				is.True(e < 50*time.Millisecond)
				is.Equal(seen["a"], at(2))
			})
		}
	})
	t.Run("waits until all keys are read if the service has discarded changes", func(t *testing.T) {
		f := &feed{at: at(1)}
		runMirror(t, f, func(m *mirror.Mirror, seen map[string]sardineknot.StoreRevision) {
			is := is.New(t)
			f.set(func() {
				f.entries, f.at = []sardineknot.StoreEntry{entry("b", 5)}, at(5)
				f.err = errors.WithStack(&sardineknot.CompactedError{After: at(1)})
			})
			_, err := refresh(t, m)
			is.NoErr(err)
			is.Equal(seen["b"], at(5))
		})
	})
	t.Run("many calls share few polls", func(t *testing.T) {
		f := &feed{at: at(1)}
		runMirror(t, f, func(m *mirror.Mirror, _ map[string]sardineknot.StoreRevision) {
			is := is.New(t)
			n := f.nexts
			for range 1000 {
				go func() { _, _ = refresh(t, m) }()
				advance(time.Millisecond)
			}
			advance(time.Second)
			is.True(f.nexts-n <= 24)
		})
	})
}

// TestRefreshFails guards against a view that is taken for the present one although the
// service does not answer, or is available again and may still lack keys.
func TestRefreshFails(t *testing.T) {
	t.Run("fails while the service does not answer", func(t *testing.T) {
		f := &feed{at: at(1)}
		runMirror(t, f, func(m *mirror.Mirror, _ map[string]sardineknot.StoreRevision) {
			f.set(func() { f.err = errDown })
			refuses(t, m) // not noticed yet
			refuses(t, m)
		})
	})
	t.Run("one failure does not make the service unavailable, and two do", func(t *testing.T) {
		f := &feed{at: at(1)}
		runMirror(t, f, func(m *mirror.Mirror, _ map[string]sardineknot.StoreRevision) {
			f.set(func() { f.slow = true })
			refuses(t, m)
			advance(2 * time.Second)
			k, _ := m.Reachability()
			is.New(t).True(k)
			refuses(t, m)
			refuses(t, m)
			k, _ = m.Reachability()
			is.New(t).True(!k)
		})
	})
	t.Run("fails just after an outage, when keys may still be missing", func(t *testing.T) {
		f := &feed{at: at(1)}
		runMirror(t, f, func(m *mirror.Mirror, _ map[string]sardineknot.StoreRevision) {
			f.set(func() { f.err = errDown })
			advance(3 * time.Second)
			f.set(func() { f.err = nil })
			advance(time.Second)
			refuses(t, m)
			advance(3 * time.Second)
			_, err := refresh(t, m)
			is.New(t).NoErr(err)
		})
	})
	t.Run("fails just after a return from an older copy", func(t *testing.T) {
		f := &feed{at: at(1)}
		runMirror(t, f, func(m *mirror.Mirror, seen map[string]sardineknot.StoreRevision) {
			f.restore(1, 5, "a")
			refuses(t, m)
			is.New(t).Equal(seen["a"], revisionOf(1, 5))
		})
	})
}
