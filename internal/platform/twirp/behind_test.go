package twirp_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/host/clock"
	"sardineknot.example/sardineknot/internal/platform/changelog"
	"sardineknot.example/sardineknot/internal/platform/twirp"
)

// fixedFeed is a fake sardineknot.ChangeFeed without changes, at a fixed revision.
type fixedFeed struct{ at sardineknot.StoreRevision }

func (f *fixedFeed) Snapshot(context.Context) ([]sardineknot.StoreEntry, sardineknot.StoreRevision, error) {
	return nil, f.at, nil
}

func (f *fixedFeed) Next(context.Context, sardineknot.StoreRevision, time.Duration) ([]sardineknot.StoreEntry, sardineknot.StoreRevision, error) {
	return nil, f.at, nil
}

// fixedSelector is a fake sardineknot.FollowerSelector of a host that reads from the followers in
// the list.
type fixedSelector []sardineknot.EntryHost

func (fixedSelector) FollowsStore() bool               { return false }
func (s fixedSelector) Peers() []sardineknot.EntryHost { return s }

// newFixedFeed returns a feed that reads from followers and the service.
func newFixedFeed(s sardineknot.ChangeFeed, followers ...sardineknot.EntryHost) *twirp.Feed {
	return &twirp.Feed{
		Store: s, Selector: fixedSelector(followers), Entries: changelog.NewLog(), Client: http.DefaultClient, Clock: clock.System{}, Log: zerolog.Nop(),
		Bound:        func() time.Duration { return time.Minute },
		Reachability: func() (bool, time.Time) { return true, time.Time{} },
		Refresh:      func(context.Context) error { return nil },
		StoreCalls:   metrics.NewCounter(), PeerCalls: metrics.NewCounter(), StoreFailures: metrics.NewCounter(), PeerFailures: metrics.NewCounter(),
		PeerBytes: metrics.NewCounter(), DiscardedBytes: metrics.NewCounter(), ServedBytes: metrics.NewCounter(),
	}
}

// startFollower starts a follower that has read the service up to revision.
func startFollower(t *testing.T, name sardineknot.EntryHostID, revision sardineknot.StoreRevision) (sardineknot.EntryHost, *httptest.Server) {
	t.Helper()
	f := newFixedFeed(nil)
	f.Entries.Commit(revision)
	_, h := f.Handler()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return sardineknot.EntryHost{ID: name, PeerAddress: netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))}, s
}

// TestFollowerBehind guards against keys that are back although they were removed, and
// keys that are gone although they exist, because all keys were read from a follower that
// is behind what this host has read.
func TestFollowerBehind(t *testing.T) {
	at := func(era, number int64) sardineknot.StoreRevision {
		return sardineknot.StoreRevision{Era: sardineknot.StoreEra(era), Number: number}
	}
	for _, c := range []struct {
		name           string
		follower, want sardineknot.StoreRevision
	}{
		{"behind", at(1, 40), at(1, 60)},
		{"as new", at(1, 50), at(1, 50)},
		{"in a later era", at(2, 3), at(2, 3)},
		{"in an earlier era", at(0, 70), at(1, 60)},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			a, s := startFollower(t, "a", at(1, 50))
			b, _ := startFollower(t, "b", c.follower)
			f := newFixedFeed(&fixedFeed{at: at(1, 60)}, a, b)
			_, n, err := f.Next(t.Context(), at(1, 50), time.Millisecond)
			is.NoErr(err)
			is.Equal(n, at(1, 50))
			s.Close()
			_, n, err = f.Snapshot(t.Context())
			is.NoErr(err)
			is.Equal(n, c.want)
		})
	}
}
