package changelog_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/platform/changelog"
)

// record records a change of key at a revision of the first era, without a commit.
func record(l *changelog.Log, number int64, key string) {
	l.Record(sardineknot.StoreEntry{Key: key, Revision: at(number)})
}

// TestHold guards against changes that are handed on before one of an earlier revision is
// there, and against changes that are kept without limit meanwhile.
func TestHold(t *testing.T) {
	t.Run("changes that are held back wait for a commit", func(t *testing.T) {
		l := changelog.NewLog()
		put(l, 10, "a")
		record(l, 21, "b")
		l.Hold()
		checkNext(t, l, 10, "", 10)
		checkSnapshot(t, l, "a@10", at(10))
		record(l, 20, "large")
		l.Commit(at(25))
		checkNext(t, l, 10, "b@21 large@20", 25)
	})
	t.Run("the last change of a key is kept", func(t *testing.T) {
		l := changelog.NewLog()
		put(l, 10, "a")
		for i := range 1000 {
			record(l, int64(11+i), "b")
			record(l, int64(11+i), "c")
			l.Hold()
		}
		record(l, 0, "c")
		l.Hold()
		l.Commit(at(2000))
		checkNext(t, l, 10, "b@1010 c@0", 2000)
	})
	t.Run("changes that were held back in the era before are dropped", func(t *testing.T) {
		l := changelog.NewLog()
		put(l, 10, "a")
		record(l, 21, "b")
		l.Hold()
		putEra(l, 1, 20, "c")
		checkSnapshot(t, l, "c@20", sardineknot.StoreRevision{Era: 1, Number: 20})
	})
}

// TestChangeAheadOfCommit guards against a change that the log holds early, and that a reader
// never gets which reached the end of the log at another host.
func TestChangeAheadOfCommit(t *testing.T) {
	// newLog returns a log that is complete up to 20 and holds a change made at 25.
	newLog := func() *changelog.Log {
		l := changelog.NewLog()
		put(l, 10, "a")
		record(l, 25, "b")
		l.Commit(at(20))
		return l
	}
	t.Run("a reader before the end gets it at once", func(t *testing.T) {
		checkNext(t, newLog(), 10, "b@25", 20)
	})
	t.Run("a reader at the end gets it when the log has reached it", func(t *testing.T) {
		l := newLog()
		checkNext(t, l, 20, "", 20)
		put(l, 24, "c")
		checkNext(t, l, 20, "c@24", 24)
		l.Commit(at(25))
		checkNext(t, l, 24, "b@25", 25)
	})
	t.Run("one among the first entries", func(t *testing.T) {
		l := changelog.NewLog()
		record(l, 25, "b")
		l.Commit(at(20))
		put(l, 30, "c")
		checkNext(t, l, 20, "b@25 c@30", 30)
	})
	t.Run("one that was replaced or removed meanwhile", func(t *testing.T) {
		l := newLog()
		put(l, 26, "b")
		checkNext(t, l, 20, "b@26", 26)
		l = newLog()
		record(l, 0, "b")
		l.Commit(at(26))
		checkNext(t, l, 20, "b@0", 26)
	})
}

// TestCommitSnapshot guards against a reader that keeps an entry for good, because the host
// that it reads from never read it: it was written and removed while that host had no
// answer of the service, which then had discarded these changes.
func TestCommitSnapshot(t *testing.T) {
	newLog := func() *changelog.Log {
		l := changelog.NewLog()
		put(l, 10, "a")
		record(l, 90, "b")
		l.CommitSnapshot(at(100))
		return l
	}
	t.Run("a reader between the two reads all entries again", func(t *testing.T) {
		l := newLog()
		checkCompacted(t, l, 11)
		checkCompacted(t, l, 99)
	})
	t.Run("readers before and after go on", func(t *testing.T) {
		l := newLog()
		checkNext(t, l, 10, "b@90", 100)
		put(l, 101, "c")
		checkNext(t, l, 10, "b@90 c@101", 101)
		checkNext(t, l, 100, "c@101", 101)
	})
	t.Run("only the last one is remembered", func(t *testing.T) {
		l := newLog()
		record(l, 190, "c")
		l.CommitSnapshot(at(200))
		checkCompacted(t, l, 10)
		checkCompacted(t, l, 50)
		checkNext(t, l, 100, "c@190", 200)
		checkCompacted(t, l, 150)
		checkNext(t, l, 200, "", 200)
	})
	t.Run("without changes in between", func(t *testing.T) {
		l := changelog.NewLog()
		put(l, 10, "a")
		l.CommitSnapshot(at(10))
		checkNext(t, l, 10, "", 10)
		checkCompacted(t, l, 9)
	})
}

// TestLargeUpTo guards against a comparison with a reader that is further than the log, or in
// another era: what it lacks may have been removed.
func TestLargeUpTo(t *testing.T) {
	l := changelog.NewLog()
	put(l, 10, "a")
	for i, k := range []string{"b", "c"} {
		r := at(int64(20 + i*10))
		l.Record(sardineknot.StoreEntry{Key: k, Value: []byte(strings.Repeat("v", 8<<10)), Revision: r})
		l.Commit(r)
	}
	for _, c := range []struct {
		name     string
		revision sardineknot.StoreRevision
		want     string
	}{
		{"before both", at(19), ""},
		{"between", at(20), "b@20"},
		{"beyond the log", at(31), ""},
		{"another era", sardineknot.StoreRevision{Era: 1, Number: 5}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(describe(l.LargeUpTo(c.revision)), c.want)
		})
	}
}
