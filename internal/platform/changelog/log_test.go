package changelog_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/platform/changelog"
)

// at returns a revision of the first era.
func at(number int64) sardineknot.StoreRevision { return sardineknot.StoreRevision{Number: number} }

// put commits a batch that sets the given keys to a revision of the first era.
func put(l *changelog.Log, number int64, keys ...string) {
	revision := at(number)
	for _, k := range keys {
		l.Record(sardineknot.StoreEntry{Key: k, Revision: revision})
	}
	l.Commit(revision)
}

// describe returns entries as text, such as "a@1 b@0".
func describe(entries []sardineknot.StoreEntry) string {
	var r []string
	for _, e := range entries {
		r = append(r, fmt.Sprintf("%s@%d", e.Key, e.Revision.Number))
	}
	return strings.Join(r, " ")
}

// checkNext checks the changes after a revision of the first era, and the next
// revision.
func checkNext(t *testing.T, l *changelog.Log, after int64, want string, next int64) {
	t.Helper()
	r, n, err := l.Next(t.Context(), at(after), time.Millisecond)
	is := is.New(t)
	is.NoErr(err)
	is.Equal(describe(r), want)
	is.Equal(n, at(next))
}

// checkCompacted checks that the changes after a revision of the first era are not kept.
func checkCompacted(t *testing.T, l *changelog.Log, after int64) {
	t.Helper()
	_, _, err := l.Next(t.Context(), at(after), 0)
	var c *sardineknot.CompactedError
	is.New(t).True(errors.As(err, &c))
}

func TestLog(t *testing.T) {
	t.Run("a reader gets the batches that it lacks", func(t *testing.T) {
		l := changelog.NewLog()
		put(l, 10, "a", "b")
		put(l, 20, "c")
		put(l, 30, "a")
		checkNext(t, l, 10, "c@20 a@30", 30)
		checkNext(t, l, 15, "c@20 a@30", 30)
		checkNext(t, l, 20, "a@30", 30)
		checkNext(t, l, 30, "", 30)
	})
	t.Run("a reader that is ahead keeps its revision", func(t *testing.T) {
		l := changelog.NewLog()
		put(l, 10, "a")
		checkNext(t, l, 40, "", 40)
		put(l, 50, "b")
		checkNext(t, l, 40, "b@50", 50)
	})
	t.Run("the snapshot has no removed entries", func(t *testing.T) {
		is := is.New(t)
		l := changelog.NewLog()
		put(l, 10, "a", "b")
		l.Record(sardineknot.StoreEntry{Key: "a"})
		l.Commit(at(11))
		r, n := l.Snapshot()
		is.Equal(describe(r), "b@10")
		is.Equal(n, at(11))
		checkNext(t, l, 10, "a@0", 11)
	})
	t.Run("changes before the first batch and discarded changes are missing", func(t *testing.T) {
		l := changelog.NewLog()
		checkCompacted(t, l, 0)
		put(l, 10, "a")
		checkCompacted(t, l, 9)
		for i := range 5000 {
			put(l, int64(11+i), "a")
		}
		checkCompacted(t, l, 500)
		checkNext(t, l, 5009, "a@5010", 5010)
	})
}

func TestWait(t *testing.T) {
	t.Run("a reader waits for the next batch", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			l := changelog.NewLog()
			put(l, 10, "a")
			time.AfterFunc(time.Second, func() { put(l, 20, "b") })
			b := time.Now()
			r, _, err := l.Next(t.Context(), at(10), time.Minute)
			is.NoErr(err)
			is.Equal(describe(r), "b@20")
			is.Equal(time.Since(b), time.Second)
		})
	})
	t.Run("a cancelled reader stops waiting", func(t *testing.T) {
		l := changelog.NewLog()
		put(l, 10, "a")
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, _, err := l.Next(ctx, at(10), time.Minute)
		is.New(t).True(errors.Is(err, context.Canceled))
	})
}

// putEra commits a batch that sets the given keys to a revision of an era.
func putEra(l *changelog.Log, era sardineknot.StoreEra, number int64, keys ...string) {
	r := sardineknot.StoreRevision{Era: era, Number: number}
	for _, k := range keys {
		l.Record(sardineknot.StoreEntry{Key: k, Revision: r})
	}
	l.Commit(r)
}

// checkSnapshot checks the entries of the log, of which there is one at most.
func checkSnapshot(t *testing.T, l *changelog.Log, want string, revision sardineknot.StoreRevision) {
	t.Helper()
	is := is.New(t)
	r, n := l.Snapshot()
	is.Equal(describe(r), want)
	is.Equal(n, revision)
}

// TestLogEra covers a service that came back from an older copy and gives out
// revisions again: changes of both eras must not be mixed.
func TestLogEra(t *testing.T) {
	t.Run("a new era begins with its own entries", func(t *testing.T) {
		l := changelog.NewLog()
		put(l, 10, "a")
		put(l, 30, "b")
		putEra(l, 1, 20, "c")
		checkSnapshot(t, l, "c@20", sardineknot.StoreRevision{Era: 1, Number: 20})
		checkCompacted(t, l, 10)
		checkCompacted(t, l, 30)
		putEra(l, 1, 30, "d")
		r, n, err := l.Next(t.Context(), sardineknot.StoreRevision{Era: 1, Number: 20}, time.Millisecond)
		is := is.New(t)
		is.NoErr(err)
		is.Equal(describe(r), "d@30")
		is.Equal(n, sardineknot.StoreRevision{Era: 1, Number: 30})
	})
	t.Run("a batch of an earlier era is dropped", func(t *testing.T) {
		l := changelog.NewLog()
		putEra(l, 1, 20, "c")
		put(l, 30, "a")
		checkSnapshot(t, l, "c@20", sardineknot.StoreRevision{Era: 1, Number: 20})
	})
	t.Run("a reader of a later era is told so", func(t *testing.T) {
		l := changelog.NewLog()
		put(l, 30, "a")
		_, _, err := l.Next(t.Context(), sardineknot.StoreRevision{Era: 1, Number: 20}, 0)
		var s *sardineknot.StaleEraError
		is.New(t).True(errors.As(err, &s))
	})
	t.Run("a reader that waits learns of a new era", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			l := changelog.NewLog()
			put(l, 10, "a")
			time.AfterFunc(time.Second, func() { putEra(l, 1, 20) })
			b := time.Now()
			_, _, err := l.Next(t.Context(), at(10), time.Minute)
			var c *sardineknot.CompactedError
			is.New(t).True(errors.As(err, &c))
			is.New(t).Equal(time.Since(b), time.Second)
		})
	})
}
