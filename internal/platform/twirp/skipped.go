package twirp

import (
	"context"
	"time"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/peer/progress"
	rpc "sardineknot.example/sardineknot/internal/rpc/changes"
)

// compareInterval is the time between two comparisons of the large values of a follower with
// those of another one.
const compareInterval = 4 * time.Second

// missing describes the large values that the reader which sent request does not name,
// although they were written up to the revision that it has read.
func (f *Feed) missing(request *rpc.NextRequest) []*rpc.Base {
	if !request.GetAcceptsPatches() {
		return nil
	}
	var l []*rpc.Base
	for _, e := range f.Entries.LargeUpTo(revisionOf(request)) {
		b, m := baseOf(e.Key, request.GetBases()), f.baseMessage(e)
		if b.GetRevision() < m.GetRevision() && b.GetDigest() != m.GetDigest() {
			l = append(l, m)
		}
	}
	return l
}

// readSkipped begins to read the large values in missing, which answers a request for changes
// after revision, from host. Those that have arrived or are being read are left out: the
// others were skipped by a fault, after which this host would do without them until they change.
func (f *Feed) readSkipped(missing []*rpc.Base, revision sardineknot.StoreRevision, host sardineknot.EntryHostID) {
	for _, m := range missing {
		r := sardineknot.StoreRevision{Era: revision.Era, Number: m.GetRevision()}
		if !f.transfers.lacks(m.GetKey(), r) {
			continue
		}
		f.SkippedValues.Inc(1)
		f.Log.Error().Stringer("event", sardineknot.LogLargeValueSkipped).Str("key", m.GetKey()).Str("peer", string(host)).
			Int64("revision", r.Number).Int64("read_to", revision.Number).Dur("view_ms", f.ViewAge()).Send()
		f.transfers.begin([]sardineknot.StoreEntry{{Key: m.GetKey(), Revision: r}}, host, f.Clock.Now())
	}
}

// compareValues compares the large values of this host with those of other followers until
// ctx is done. Only a follower that reads from the service does so: other hosts get the
// comparison with each answer.
func (f *Feed) compareValues(ctx context.Context) {
	for i := 0; f.Sleep(ctx, compareInterval) == nil; i++ {
		l := f.Selector.Peers()
		if len(l) > 0 && f.Selector.FollowsStore() && f.followsDirectly() {
			f.compareWith(ctx, l[i%len(l)])
		}
	}
}

// compareWith compares the large values of this host with those of host. A failure has no
// effect: the next comparison is with another host.
func (f *Feed) compareWith(ctx context.Context, host sardineknot.EntryHost) {
	r := f.Entries.End()
	if r.Absent() {
		return
	}
	ctx, cancel := progress.WithTimeout(ctx, maxPeerWait+peerMargin, peerMargin)
	defer cancel()
	f.Comparisons.Inc(1)
	c := &meteredClient{client: f.Client}
	var a *rpc.NextResponse
	err := callPeer(ctx, c, host, maxPeerWait, func(ctx context.Context, peer rpc.Changes, wait time.Duration) error {
		var e error
		a, e = peer.Next(ctx, &rpc.NextRequest{
			Era: int64(r.Era), Revision: r.Number, WaitMicros: wait.Microseconds(), AcceptsPatches: true, Bases: f.bases(), CompareOnly: true,
		})
		return e
	})
	f.PeerBytes.Inc(c.received.Load())
	if err != nil {
		f.FailedComparisons.Inc(1)
		return
	}
	f.readSkipped(a.GetMissing(), r, host.ID)
}
