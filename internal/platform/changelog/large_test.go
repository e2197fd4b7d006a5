package changelog_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/platform/changelog"
)

// putLarge commits a batch that sets key to a large value, and small to a short one.
func putLarge(l *changelog.Log, number int64, key, small string) {
	l.Record(sardineknot.StoreEntry{Key: key, Value: []byte(strings.Repeat("v", 300<<10)), Revision: at(number)})
	l.Record(sardineknot.StoreEntry{Key: small, Revision: at(number)})
	l.Commit(at(number))
}

// checkVersions checks the versions of key.
func checkVersions(t *testing.T, l *changelog.Log, key, want string) {
	t.Helper()
	is.New(t).Equal(describe(l.Versions(key)), want)
}

// TestLargeValues guards against a log that holds each version of a configuration for
// thousands of changes, which is more than the memory of a host.
func TestLargeValues(t *testing.T) {
	t.Run("a reader gets the last version only", func(t *testing.T) {
		l := changelog.NewLog()
		put(l, 1, "a")
		putLarge(l, 10, "c", "x")
		putLarge(l, 20, "c", "y")
		putLarge(l, 30, "c", "z")
		checkNext(t, l, 1, "x@10 y@20 c@30 z@30", 30)
		checkNext(t, l, 20, "c@30 z@30", 30)
		checkVersions(t, l, "c", "c@10 c@20 c@30")
	})
	t.Run("several versions in one batch", func(t *testing.T) {
		l := changelog.NewLog()
		put(l, 1, "a")
		for _, n := range []int64{10, 11} {
			l.Record(sardineknot.StoreEntry{Key: "c", Value: make([]byte, 300<<10), Revision: at(n)})
		}
		l.Commit(at(11))
		checkNext(t, l, 1, "c@11", 11)
		checkVersions(t, l, "c", "c@10 c@11")
	})
	t.Run("a removed value and a short one have no versions", func(t *testing.T) {
		l := changelog.NewLog()
		put(l, 1, "a")
		putLarge(l, 10, "c", "x")
		put(l, 20, "c")
		checkVersions(t, l, "c", "")
		checkNext(t, l, 1, "x@10 c@20", 20)
		putLarge(l, 30, "c", "y")
		l.Record(sardineknot.StoreEntry{Key: "c"})
		l.Commit(at(31))
		checkVersions(t, l, "c", "")
		checkNext(t, l, 20, "y@30 c@0", 31)
	})
	t.Run("the memory is bounded", func(t *testing.T) {
		is := is.New(t)
		l := changelog.NewLog()
		put(l, 1, "a")
		for i := range 1000 {
			putLarge(l, int64(10+i), "c", fmt.Sprint("x", i))
		}
		n := 0
		r, _, err := l.Next(t.Context(), at(1), time.Millisecond)
		is.NoErr(err)
		for _, e := range append(r, l.Versions("c")...) {
			n += len(e.Value)
		}
		is.True(n <= 3*sardineknot.MaxStoreValueBytes)
		is.Equal(len(l.Large()), 1)
	})
}
