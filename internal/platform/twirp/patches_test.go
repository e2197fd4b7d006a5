package twirp

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/host/clock"
	"sardineknot.example/sardineknot/internal/platform/changelog"
	rpc "sardineknot.example/sardineknot/internal/rpc/changes"
)

// largeText returns a large value that ends in end.
func largeText(end string) []byte { return []byte(strings.Repeat("a route; ", 20000) + end) }

// newFollower returns a feed whose log holds the given versions of a large value under the
// key "config", at the revisions 1, 2 and so on.
func newFollower(versions ...string) *Feed {
	f := &Feed{Entries: changelog.NewLog(), Clock: clock.System{}, Reachability: func() (bool, time.Time) { return true, time.Time{} }}
	for i, v := range versions {
		r := sardineknot.StoreRevision{Number: int64(i + 1)}
		f.Entries.Record(sardineknot.StoreEntry{Key: "config", Value: largeText(v), Revision: r})
		f.Commit(r)
	}
	return f
}

// checkChange checks that reader gets the last version from follower after revision, in an
// answer with at most maxBytes bytes of patches.
func checkChange(t *testing.T, reader, follower *Feed, revision int64, want string, maxBytes int) {
	t.Helper()
	is := is.New(t)
	p, err := (&service{feed: follower}).Next(t.Context(), &rpc.NextRequest{Revision: revision, WaitMicros: 1, AcceptsPatches: true, Bases: reader.bases()})
	is.NoErr(err)
	is.Equal(len(p.GetEntries()), 1)
	n := len(p.GetEntries()[0].GetPatch().GetData())
	if n == 0 || n > maxBytes {
		t.Errorf("the patch has %d bytes, want at most %d", n, maxBytes)
	}
	l, d, err := reader.applyPatches(entriesFromMessage(p.GetEntries(), 0), p.GetEntries())
	is.NoErr(err)
	is.Equal(len(d), 0)
	is.Equal(string(l[0].Value), string(largeText(want)))
}

// TestPatchedChange guards against hosts that get a whole large value for each small change of
// it, and against patches that refer to a value that the reader does not have.
func TestPatchedChange(t *testing.T) {
	const patchBytes, compressedBytes = 100, 1000
	f := newFollower("one", "two", "three")
	t.Run("a reader that has the version before", func(t *testing.T) {
		checkChange(t, newFollower("one", "two"), f, 2, "three", patchBytes)
	})
	t.Run("a reader that has an earlier version", func(t *testing.T) {
		checkChange(t, newFollower("one"), f, 1, "three", patchBytes)
	})
	t.Run("a reader whose version is not kept", func(t *testing.T) {
		checkChange(t, newFollower("one"), newFollower("one", "2", "3", "4", "5", "6"), 1, "6", compressedBytes)
	})
	t.Run("a reader with another value at the same revision", func(t *testing.T) {
		checkChange(t, newFollower("other"), f, 1, "three", compressedBytes)
	})
	t.Run("readers with the same base get the same bytes", func(t *testing.T) {
		is := is.New(t)
		for range 2 {
			checkChange(t, newFollower("one", "two"), f, 2, "three", patchBytes)
		}
		is.Equal(len(f.patches.made["config"]), 3) // from two, from one, and from none
	})
	t.Run("a reader of a build without patches", func(t *testing.T) {
		is := is.New(t)
		p, err := (&service{feed: f}).Next(t.Context(), &rpc.NextRequest{Revision: 2, WaitMicros: 1})
		is.NoErr(err)
		is.Equal(string(p.GetEntries()[0].GetValue()), string(largeText("three")))
		is.True(p.GetEntries()[0].GetPatch() == nil)
	})
	t.Run("a reader that has lost the base", func(t *testing.T) {
		_, _, err := newFollower().applyPatches([]sardineknot.StoreEntry{{Key: "config"}}, []*rpc.Entry{{Key: "config", Patch: &rpc.Patch{BaseRevision: 7}}})
		var u *sardineknot.UnknownError
		is.New(t).True(errors.As(err, &u))
	})
}
