package twirp

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/peer/progress"
	"sardineknot.example/sardineknot/internal/platform/patch"
	rpc "sardineknot.example/sardineknot/internal/rpc/changes"
)

const (
	// partBytes is the length of the parts in which a patch is read. Many readers share the
	// link of a follower, on which other answers must not wait.
	partBytes = 16 << 10
	// partTimeout bounds the time without progress in a read of a part.
	partTimeout = 500 * time.Millisecond
	// maxFrameBytes bounds the length of a patch. Data that cannot be compressed gets a
	// little longer.
	maxFrameBytes = sardineknot.MaxStoreValueBytes + 64<<10
	// partRetryDelay is the delay after the failure of several followers.
	partRetryDelay = 100 * time.Millisecond
)

// ReadPatch implements rpc.Changes. Any host may serve a value that it has.
func (s *service) ReadPatch(_ context.Context, request *rpc.ReadPatchRequest) (*rpc.ReadPatchResponse, error) {
	l := s.feed.Entries.Versions(request.GetKey())
	r := sardineknot.StoreRevision{Era: sardineknot.StoreEra(request.GetEra()), Number: request.GetRevision()}
	if request.GetOffset() > 0 {
		i := slices.IndexFunc(l, func(v sardineknot.StoreEntry) bool { return v.Revision == r })
		if i >= 0 {
			return s.part(l[i], l, request)
		}
	}
	if len(l) == 0 || l[len(l)-1].Revision.Era != r.Era || l[len(l)-1].Revision.Compare(r) < 0 {
		return &rpc.ReadPatchResponse{}, nil
	}
	return s.part(l[len(l)-1], l, request)
}

// part returns the requested part of the patch that makes the value of e, which is one of
// versions.
func (s *service) part(e sardineknot.StoreEntry, versions []sardineknot.StoreEntry, request *rpc.ReadPatchRequest) (*rpc.ReadPatchResponse, error) {
	p, b, err := s.feed.patches.find(e, request.GetBase(), versions)
	if err != nil {
		return nil, err
	}
	n := int64(len(p.Data))
	o := request.GetOffset()
	if o < 0 || o > n || request.GetFrameDigest() != p.DataDigest {
		o = 0
	}
	m := patchMessage(p, b)
	m.Data = p.Data[o:min(n, o+partBytes)]
	return &rpc.ReadPatchResponse{Revision: e.Revision.Number, Patch: m, Offset: o, FrameBytes: n, FrameDigest: p.DataDigest}, nil
}

// Run reads large values, and compares them with those of other followers, until ctx is done.
// It always returns nil.
func (f *Feed) Run(ctx context.Context) error {
	var g errgroup.Group
	g.Go(func() error {
		f.compareValues(ctx)
		return nil
	})
	f.readLargeValues(ctx)
	return g.Wait()
}

// readLargeValues reads large values until ctx is done.
func (f *Feed) readLargeValues(ctx context.Context) {
	for ctx.Err() == nil {
		t := f.transfers.wait(ctx)
		if t == nil {
			break
		}
		err := f.advance(ctx, t)
		if err == nil || ctx.Err() != nil {
			continue
		}
		f.recordTransferFailure(t, err)
		if t.failures%maxPeersTried == 0 {
			_ = f.Sleep(ctx, partRetryDelay)
		}
	}
}

// advance reads the next part of t from a follower or, if followers fail or are too slow for
// the bound, the whole value from the service.
func (f *Feed) advance(ctx context.Context, t *transfer) error {
	l := f.Selector.Peers()
	if len(l) == 0 || t.failures >= maxPeersTried || f.untilValueDue() <= 0 {
		err := f.readWhole(ctx, t)
		if err == nil || len(l) == 0 {
			return err
		}
	}
	_, s := f.transfers.target(t)
	i := max(0, slices.IndexFunc(l, func(h sardineknot.EntryHost) bool { return h.ID == s }))
	return f.readPart(ctx, t, l[(i+t.failures)%len(l)])
}

// readPart reads the next part of t from host.
func (f *Feed) readPart(ctx context.Context, t *transfer, host sardineknot.EntryHost) error {
	w := partTimeout
	if d := f.untilValueDue(); d > 0 {
		w = min(w, d)
	}
	ctx, cancel := progress.WithTimeout(ctx, w, partTimeout)
	defer cancel()
	f.PeerCalls.Inc(1)
	c := &meteredClient{client: f.Client}
	var a *rpc.ReadPatchResponse
	err := callPeer(ctx, c, host, 0, func(ctx context.Context, peer rpc.Changes, _ time.Duration) error {
		var e error
		a, e = peer.ReadPatch(ctx, f.partRequest(t))
		return e
	})
	f.PeerBytes.Inc(c.received.Load())
	if err == nil {
		err = f.acceptPart(t, a, host)
	}
	if err != nil {
		f.PeerFailures.Inc(1)
		f.DiscardedBytes.Inc(c.received.Load())
	}
	return err
}

// partRequest returns the request for the next part of t.
func (f *Feed) partRequest(t *transfer) *rpc.ReadPatchRequest {
	r, _ := f.transfers.target(t)
	if len(t.frame) == 0 {
		t.base = sardineknot.StoreEntry{}
		l := f.Entries.Versions(t.key)
		if len(l) > 0 {
			t.base = l[len(l)-1]
		}
	} else {
		r = t.revision
	}
	q := &rpc.ReadPatchRequest{Key: t.key, Era: int64(r.Era), Revision: r.Number, Offset: int64(len(t.frame)), FrameDigest: t.frameDigest}
	if t.base.Key != "" {
		q.Base = &rpc.Base{Key: t.key, Revision: t.base.Revision.Number, Digest: patch.Digest(t.base.Value)}
	}
	return q
}

// acceptPart adds the part in answer, which host has sent, to t. If it was the last one, the
// entry is complete.
func (f *Feed) acceptPart(t *transfer, answer *rpc.ReadPatchResponse, host sardineknot.EntryHost) error {
	p := answer.GetPatch()
	if answer.GetRevision() == 0 || p == nil {
		return errors.WithStack(&sardineknot.UnavailableError{Peer: string(host.ID)})
	}
	n := answer.GetFrameBytes()
	if len(p.GetData()) == 0 || n <= 0 || n > maxFrameBytes {
		return errors.WithStack(&sardineknot.InvalidError{What: "part of a patch", Got: "no or too many bytes", Expected: "a part of at most 1.1 MB"})
	}
	if answer.GetOffset() == 0 {
		r, _ := f.transfers.target(t)
		t.frame = make([]byte, 0, n)
		t.revision = sardineknot.StoreRevision{Era: r.Era, Number: answer.GetRevision()}
		t.patch, t.frameBytes, t.frameDigest = &rpc.Patch{BaseRevision: p.GetBaseRevision(), Size: p.GetSize(), Digest: p.GetDigest()}, n, answer.GetFrameDigest()
	}
	if answer.GetOffset() != int64(len(t.frame)) || answer.GetFrameDigest() != t.frameDigest {
		return errors.WithStack(&sardineknot.InvalidError{What: "part of a patch", Got: "another part", Expected: "the requested one"})
	}
	t.failures = 0
	t.frame = append(t.frame, p.GetData()...)
	if int64(len(t.frame)) < t.frameBytes {
		return nil
	}
	return f.complete(t, host.ID)
}

// complete makes the entry of t from its patch, whose last part source has sent.
func (f *Feed) complete(t *transfer, source sardineknot.EntryHostID) error {
	var b []byte
	if t.patch.GetBaseRevision() != 0 {
		b = t.base.Value
	}
	n := len(t.frame)
	v, err := patch.Patch{Data: t.frame, Size: int(t.patch.GetSize()), Digest: t.patch.GetDigest()}.Apply(b)
	if err != nil {
		t.frame, t.frameDigest = nil, 0
		return err
	}
	f.finishTransfer(t, sardineknot.StoreEntry{Key: t.key, Value: v, Revision: t.revision}, n, source)
	return nil
}

// readWhole reads the value of t from the service. The service is not called again soon
// after a call for a large value. It fails with a CompactedError if the service is in another
// era than the value that was announced: all entries of an era are read together.
func (f *Feed) readWhole(ctx context.Context, t *transfer) error {
	n := f.Clock.Now()
	if n.Sub(f.valueAskedAt) < storeInterval {
		return errors.WithStack(&sardineknot.UnavailableError{Peer: "key-value service"})
	}
	f.valueAskedAt = n
	f.StoreCalls.Inc(1)
	e, err := f.ReadEntry(ctx, t.key)
	if err == nil {
		err = f.admit(e.Revision, nil)
	}
	if err != nil {
		f.StoreFailures.Inc(1)
		return err
	}
	r, _ := f.transfers.target(t)
	if e.Revision.Era != r.Era {
		return errors.WithStack(&sardineknot.CompactedError{After: r})
	}
	f.finishTransfer(t, e, len(e.Value), "")
	return nil
}

// finishTransfer ends t with entry, which has arrived from source, or from the service if
// source is empty, in the given number of bytes.
func (f *Feed) finishTransfer(t *transfer, entry sardineknot.StoreEntry, received int, source sardineknot.EntryHostID) {
	n := f.Clock.Now()
	if !f.transfers.finish(t, entry, n) {
		return
	}
	f.Log.Info().Stringer("event", sardineknot.LogLargeValueRead).Str("key", t.key).Str("peer", string(source)).Bool("direct", source == "").
		Int("value_bytes", len(entry.Value)).Int("received_bytes", received).Dur("took_ms", n.Sub(t.beganAt)).Send()
}

// recordTransferFailure records that a call for t failed with err. The first failure since the
// last part is logged.
func (f *Feed) recordTransferFailure(t *transfer, err error) {
	t.failures++
	if t.failures > 1 {
		return
	}
	f.Log.Info().Stringer("event", sardineknot.LogLargeValueDelayed).Str("key", t.key).Int("received_bytes", len(t.frame)).
		Dur("took_ms", f.Clock.Now().Sub(t.beganAt)).Err(err).Send()
}
