package twirp

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/host/clock"
	"sardineknot.example/sardineknot/internal/platform/changelog"
	rpc "sardineknot.example/sardineknot/internal/rpc/changes"
)

// TestPackedSnapshot guards against a host that starts with servers that are gone, or
// without some: the packed entries are older than the log, whose later changes,
// removals included, must make up for that in each case.
func TestPackedSnapshot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		f := &Feed{Entries: changelog.NewLog()}
		n := sardineknot.StoreRevision{}
		for range rapid.IntRange(1, 6).Draw(t, "batches") {
			if rapid.IntRange(0, 9).Draw(t, "restored") == 0 {
				n = sardineknot.StoreRevision{Era: n.Era + 1}
			}
			for range rapid.IntRange(0, 2*maxLaterChanges).Draw(t, "changes") {
				n.Number++
				e := sardineknot.StoreEntry{Key: fmt.Sprint(rapid.IntRange(0, 99).Draw(t, "key")), Value: []byte("v"), Revision: n}
				if rapid.Bool().Draw(t, "removed") {
					e.Value, e.Revision.Number = nil, 0
				}
				f.Entries.Record(e)
			}
			n.Number++
			f.Entries.Commit(n)
			s, err := f.packedSnapshot(context.Background())
			is.NoErr(err)
			l, err := unpack(s.GetPacked(), s.GetEntries())
			is.NoErr(err)
			w, r := f.Entries.Snapshot()
			is.Equal(s.GetRevision(), r.Number)
			is.Equal(s.GetEra(), int64(r.Era))
			checkSame(is, entriesFromMessage(l, r.Era), w)
		}
	})
}

// checkSame checks that got and want have the same entries, in any order.
func checkSame(is *is.I, got, want []sardineknot.StoreEntry) {
	is.Helper()
	c := func(a, b sardineknot.StoreEntry) int { return cmp.Compare(a.Key, b.Key) }
	slices.SortFunc(got, c)
	slices.SortFunc(want, c)
	is.Equal(got, want)
}

// TestUnpackMalformed guards against a malformed answer that ends the process or is
// taken for an empty list.
func TestUnpackMalformed(t *testing.T) {
	p, err := pack([]sardineknot.StoreEntry{{Key: "a", Value: []byte("b"), Revision: sardineknot.StoreRevision{Number: 1}}})
	is.New(t).NoErr(err)
	for _, b := range [][]byte{nil, []byte("x"), p[:len(p)-1], p[:len(p)/2]} {
		_, err := unpack(b, nil)
		is.New(t).True(err != nil)
	}
}

// TestPlainSnapshot covers a reader of a build without packed entries.
func TestPlainSnapshot(t *testing.T) {
	is := is.New(t)
	f := &Feed{Entries: changelog.NewLog(), Clock: clock.System{}, Reachability: func() (bool, time.Time) { return true, time.Time{} }}
	f.Entries.Record(sardineknot.StoreEntry{Key: "a", Value: []byte("b"), Revision: sardineknot.StoreRevision{Number: 1}})
	f.Entries.Commit(sardineknot.StoreRevision{Number: 1})
	r, err := (&service{feed: f}).Snapshot(context.Background(), &rpc.SnapshotRequest{})
	is.NoErr(err)
	is.Equal(len(r.GetPacked()), 0)
	is.Equal(len(r.GetEntries()), 1)
}

// plainServer is a host of a build without packed entries.
type plainServer struct{ rpc.Changes }

func (plainServer) Next(context.Context, *rpc.NextRequest) (*rpc.NextResponse, error) {
	return &rpc.NextResponse{Compacted: true}, nil
}

func (plainServer) Snapshot(context.Context, *rpc.SnapshotRequest) (*rpc.SnapshotResponse, error) {
	return &rpc.SnapshotResponse{Entries: []*rpc.Entry{{Key: "a", Revision: 1}}, Revision: 2, Era: 3}, nil
}

// TestPlainServer covers a follower of a build without packed entries.
func TestPlainServer(t *testing.T) {
	is := is.New(t)
	l, n, _, err := snapshotFrom(t.Context(), plainServer{})
	is.NoErr(err)
	is.Equal(n, sardineknot.StoreRevision{Era: 3, Number: 2})
	is.Equal(l, []sardineknot.StoreEntry{{Key: "a", Revision: sardineknot.StoreRevision{Era: 3, Number: 1}}})
}
