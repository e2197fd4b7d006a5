package writer_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot"
)

// collectInterval is the number of revisions between two collections.
const collectInterval = 64

// fill accepts changes that alternate between two configurations until the
// next change is one that collects.
func fill(t *testing.T, s *store, at time.Time) {
	t.Helper()
	for {
		o := see(t, s)
		if (o.head.Revision+1)%collectInterval == 0 {
			return
		}
		is.New(t).NoErr(o.apply(t, "anna", at, []string{"a", "b"}[o.head.Revision%2]))
	}
}

// bundles returns the number of stored bundles.
func bundles(t *testing.T, s *store) int {
	t.Helper()
	l, err := s.Store.Keys(t.Context(), sardineknot.ConfigurationBundlePrefix)
	is.New(t).NoErr(err)
	return len(l)
}

func TestCollect(t *testing.T) {
	i := is.New(t)
	s := newStore(t)
	i.NoErr(see(t, s).apply(t, "anna", start, "old"))
	fill(t, s, start)
	i.NoErr(see(t, s).apply(t, "anna", start, "first"))
	i.Equal(bundles(t, s), 4) // old, a, b, first: nothing is an hour old
	fill(t, s, start)
	i.NoErr(see(t, s).apply(t, "anna", start.Add(59*time.Minute), "second"))
	i.Equal(bundles(t, s), 5) // old was found 59 minutes ago
	fill(t, s, start)
	i.NoErr(see(t, s).apply(t, "anna", start.Add(time.Hour), "third"))
	// old is gone; a, b, first and second were named since the first
	// collection or are younger.
	i.Equal(bundles(t, s), 5)
	accepted(t, s, 3*collectInterval, "third")
}

// TestCollectBesideWriter runs a collection between the reads and writes of a
// writer that names the bundle that is about to be removed.
func TestCollectBesideWriter(t *testing.T) {
	prepare := func(t *testing.T) *store {
		s := newStore(t)
		is.New(t).NoErr(see(t, s).apply(t, "anna", start, "old"))
		fill(t, s, start)
		is.New(t).NoErr(see(t, s).apply(t, "anna", start, "first"))
		fill(t, s, start)
		return s
	}
	late := start.Add(2 * time.Hour)
	t.Run("which saw the head before the collector's", func(t *testing.T) {
		i := is.New(t)
		s := prepare(t)
		o := see(t, s)
		i.NoErr(see(t, s).apply(t, "collector", late, "second"))
		i.True(o.apply(t, "bjarni", late, "old") != nil)
		accepted(t, s, 2*collectInterval, "second")
	})
	t.Run("which is accepted while the collector has listed", func(t *testing.T) {
		i := is.New(t)
		s := prepare(t)
		o := see(t, s)
		s.listed = func() { i.NoErr(see(t, s.Store).apply(t, "bjarni", start, "old")) }
		i.True(o.apply(t, "collector", late, "second") != nil)
		accepted(t, s, 2*collectInterval, "old")
	})
	t.Run("which follows the collector's head before the removal", func(t *testing.T) {
		i := is.New(t)
		s := prepare(t)
		s.head = func(swap func() error) error {
			i.NoErr(swap())
			i.NoErr(see(t, s).apply(t, "bjarni", late, "old"))
			return nil
		}
		i.NoErr(see(t, s).apply(t, "collector", late, "second"))
		accepted(t, s, 2*collectInterval+1, "old")
	})
	t.Run("which follows the removal", func(t *testing.T) {
		i := is.New(t)
		s := prepare(t)
		n := bundles(t, s)
		i.NoErr(see(t, s).apply(t, "collector", late, "second"))
		i.Equal(bundles(t, s), n) // old is gone, second is new
		i.NoErr(see(t, s).apply(t, "bjarni", late, "old"))
		accepted(t, s, 2*collectInterval+1, "old")
	})
}
