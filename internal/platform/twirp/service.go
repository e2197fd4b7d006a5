package twirp

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/peer/micros"
	rpc "sardineknot.example/sardineknot/internal/rpc/changes"
)

// service serves the log of this host to other hosts.
type service struct {
	feed *Feed
}

var _ rpc.Changes = (*service)(nil)

// Handler returns the handler of requests from other hosts, and the path prefix
// under which it must be registered.
func (f *Feed) Handler() (path string, handler http.Handler) {
	s := rpc.NewChangesServer(&service{feed: f})
	return s.PathPrefix(), meter(s, f.ServedBytes)
}

// Snapshot implements rpc.Changes.
func (s *service) Snapshot(ctx context.Context, request *rpc.SnapshotRequest) (*rpc.SnapshotResponse, error) {
	b := s.feed.Clock.Now()
	err := s.check()
	if err != nil {
		return nil, err
	}
	c := s.feed.currentSince(b)
	if request.GetAcceptsPacked() {
		r, err := s.feed.packedSnapshot(ctx)
		if err != nil {
			return nil, twirp.InternalErrorWith(err)
		}
		r.CurrentMicros = c
		return r, nil
	}
	l, n := s.feed.Entries.Snapshot()
	return &rpc.SnapshotResponse{Entries: entriesMessage(l), Era: int64(n.Era), Revision: n.Number, CurrentMicros: c}, nil
}

// Next implements rpc.Changes.
func (s *service) Next(ctx context.Context, request *rpc.NextRequest) (*rpc.NextResponse, error) {
	b := s.feed.Clock.Now()
	err := s.check()
	if err != nil {
		return nil, err
	}
	if request.GetRefresh() {
		err = s.feed.Refresh(ctx)
	}
	if err != nil {
		return nil, twirp.Unavailable.Error(err.Error())
	}
	w := micros.Duration(request.GetWaitMicros())
	r := sardineknot.StoreRevision{Era: sardineknot.StoreEra(request.GetEra()), Number: request.GetRevision()}
	l, n, c, err := s.feed.changesAfter(ctx, r, min(w, maxPeerWait), b)
	var d *sardineknot.CompactedError
	if errors.As(err, &d) {
		return &rpc.NextResponse{Compacted: true, Refreshed: request.GetRefresh()}, nil
	}
	var o *sardineknot.StaleEraError
	if errors.As(err, &o) {
		return nil, twirp.FailedPrecondition.Error(err.Error())
	}
	if err != nil {
		return nil, twirp.Canceled.Error(err.Error())
	}
	if len(l) == 0 {
		// The service may have failed during the wait.
		err = s.check()
	}
	if err != nil {
		return nil, err
	}
	a := &rpc.NextResponse{Era: int64(n.Era), Revision: n.Number, Refreshed: request.GetRefresh(), CurrentMicros: c}
	err = s.feed.setChanges(a, l, request)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return a, nil
}

// changesAfter waits for changes after revision, for at most wait. current is the result
// of currentSince for begin.
func (f *Feed) changesAfter(ctx context.Context, revision sardineknot.StoreRevision, wait time.Duration, begin time.Time) (changes []sardineknot.StoreEntry, next sardineknot.StoreRevision, current *int64, err error) {
	_, _, err = f.Entries.Next(ctx, revision, wait)
	if err != nil {
		return nil, revision, nil, err
	}
	// The changes are read after the time for which they are claimed to be complete.
	current = f.currentSince(begin)
	changes, next, err = f.Entries.Next(ctx, revision, 0)
	return changes, next, current, err
}

// check returns an error if this host does not read from the service itself, or
// cannot reach it. Answers of such a host might be outdated without limit.
func (s *service) check() error {
	k, _ := s.feed.Reachability()
	if !k {
		return twirp.Unavailable.Error("the key-value service does not answer")
	}
	if !s.feed.followsDirectly() {
		return twirp.FailedPrecondition.Error("this host does not read from the key-value service")
	}
	if s.feed.transfers.pending() {
		return twirp.Unavailable.Error("this host does not have all large values yet")
	}
	return nil
}

// followsDirectly reports whether the last answer came from the service.
func (f *Feed) followsDirectly() bool { return f.currentSource() == "" }
