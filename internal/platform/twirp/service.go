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
	err := s.refresh(ctx, request)
	if err != nil {
		return nil, err
	}
	w := micros.Duration(request.GetWaitMicros())
	l, n, c, err := s.feed.changesAfter(ctx, revisionOf(request), min(w, maxPeerWait), b)
	var d *sardineknot.CompactedError
	if errors.As(err, &d) {
		return &rpc.NextResponse{Compacted: true, Refreshed: request.GetRefresh()}, nil
	}
	if err == nil && request.GetRefresh() && *c < 0 {
		return nil, twirp.Unavailable.Error("this host does not have all changes of the service yet")
	}
	err = s.checkAfterWait(err, len(l))
	if err != nil {
		return nil, err
	}
	a := &rpc.NextResponse{Era: int64(n.Era), Revision: n.Number, Refreshed: request.GetRefresh(), CurrentMicros: c, Missing: s.feed.missing(request)}
	if request.GetCompareOnly() {
		return a, nil
	}
	err = s.feed.setChanges(a, l, request)
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return a, nil
}

// revisionOf returns the revision after which the changes are requested.
func revisionOf(request *rpc.NextRequest) sardineknot.StoreRevision {
	return sardineknot.StoreRevision{Era: sardineknot.StoreEra(request.GetEra()), Number: request.GetRevision()}
}

// refresh fails if this host serves no changes. It reads what there is in the key-value
// service first if request needs that.
func (s *service) refresh(ctx context.Context, request *rpc.NextRequest) error {
	err := s.check()
	if err != nil || !request.GetRefresh() {
		return err
	}
	err = s.feed.Refresh(ctx)
	if err != nil {
		return twirp.Unavailable.Error(err.Error())
	}
	return nil
}

// checkAfterWait returns the error to answer with after a wait that ended with err and the
// given number of changes. Without changes, the service may have failed during the wait, or
// has begun to refuse this host.
func (s *service) checkAfterWait(err error, changes int) error {
	var o *sardineknot.StaleEraError
	if errors.As(err, &o) {
		return twirp.FailedPrecondition.Error(err.Error())
	}
	if changes == 0 {
		e := s.check()
		if e != nil {
			return e
		}
	}
	if err != nil {
		return twirp.Canceled.Error(err.Error())
	}
	return nil
}

// changesAfter waits for changes after revision, for at most wait and while this host reads
// from the service. current is the result of currentSince for begin.
func (f *Feed) changesAfter(ctx context.Context, revision sardineknot.StoreRevision, wait time.Duration, begin time.Time) (changes []sardineknot.StoreEntry, next sardineknot.StoreRevision, current *int64, err error) {
	w, cancel := f.whileDirect(ctx)
	defer cancel()
	_, _, err = f.Entries.Next(w, revision, wait)
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
