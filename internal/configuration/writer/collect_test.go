package writer_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot"
)

// collectInterval is the number of revisions between collections.
const collectInterval = 64

// advanceToCollection accepts changes that alternate between two configurations
// until the next change triggers a collection.
func advanceToCollection(t *testing.T, s *store, at time.Time) {
	t.Helper()
	for {
		o := readHead(t, s)
		if (o.head.Revision+1)%collectInterval == 0 {
			return
		}
		is.New(t).NoErr(o.apply(t, "anna", at, []string{"a", "b"}[o.head.Revision%2]))
	}
}

// countBundles returns the number of stored bundles.
func countBundles(t *testing.T, s *store) int {
	t.Helper()
	l, err := s.Store.Keys(t.Context(), sardineknot.ConfigurationBundlePrefix)
	is.New(t).NoErr(err)
	return len(l)
}

func TestCollect(t *testing.T) {
	i := is.New(t)
	s := newStore(t)
	i.NoErr(readHead(t, s).apply(t, "anna", start, "old"))
	advanceToCollection(t, s, start)
	i.NoErr(readHead(t, s).apply(t, "anna", start, "first"))
	i.Equal(countBundles(t, s), 4) // old, a, b and first: none is an hour old
	advanceToCollection(t, s, start)
	i.NoErr(readHead(t, s).apply(t, "anna", start.Add(59*time.Minute), "second"))
	i.Equal(countBundles(t, s), 5) // old became a candidate 59 minutes ago
	advanceToCollection(t, s, start)
	i.NoErr(readHead(t, s).apply(t, "anna", start.Add(time.Hour), "third"))
	// old was removed; a, b, first and second were referenced after the first
	// collection or are newer.
	i.Equal(countBundles(t, s), 5)
	checkAccepted(t, s, 3*collectInterval, "third")
}

// TestCollectDuringWrite runs a collection between the reads and writes of a
// writer that references the bundle to be removed.
func TestCollectDuringWrite(t *testing.T) {
	prepare := func(t *testing.T) *store {
		s := newStore(t)
		is.New(t).NoErr(readHead(t, s).apply(t, "anna", start, "old"))
		advanceToCollection(t, s, start)
		is.New(t).NoErr(readHead(t, s).apply(t, "anna", start, "first"))
		advanceToCollection(t, s, start)
		return s
	}
	late := start.Add(2 * time.Hour)
	t.Run("writer saw the head before the collector's", func(t *testing.T) {
		i := is.New(t)
		s := prepare(t)
		o := readHead(t, s)
		i.NoErr(readHead(t, s).apply(t, "collector", late, "second"))
		i.True(o.apply(t, "bjarni", late, "old") != nil)
		checkAccepted(t, s, 2*collectInterval, "second")
	})
	t.Run("writer is accepted after the collector listed the bundles", func(t *testing.T) {
		i := is.New(t)
		s := prepare(t)
		o := readHead(t, s)
		s.afterList = func() { i.NoErr(readHead(t, s.Store).apply(t, "bjarni", start, "old")) }
		i.True(o.apply(t, "collector", late, "second") != nil)
		checkAccepted(t, s, 2*collectInterval, "old")
	})
	t.Run("writer follows the collector's head before the removal", func(t *testing.T) {
		i := is.New(t)
		s := prepare(t)
		s.onHeadSwap = func(swap func() error) error {
			i.NoErr(swap())
			i.NoErr(readHead(t, s).apply(t, "bjarni", late, "old"))
			return nil
		}
		i.NoErr(readHead(t, s).apply(t, "collector", late, "second"))
		checkAccepted(t, s, 2*collectInterval+1, "old")
	})
	t.Run("writer follows the removal", func(t *testing.T) {
		i := is.New(t)
		s := prepare(t)
		n := countBundles(t, s)
		i.NoErr(readHead(t, s).apply(t, "collector", late, "second"))
		i.Equal(countBundles(t, s), n) // old was removed, second was added
		i.NoErr(readHead(t, s).apply(t, "bjarni", late, "old"))
		checkAccepted(t, s, 2*collectInterval+1, "old")
	})
}
