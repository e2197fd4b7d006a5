package twirp

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/peer/micros"
	"sardineknot.example/sardineknot/internal/peer/progress"
	rpc "sardineknot.example/sardineknot/internal/rpc/changes"
)

// callPeer calls ask with a client of host.
func callPeer(ctx context.Context, client rpc.HTTPClient, host sardineknot.EntryHost, wait time.Duration, ask func(context.Context, rpc.Changes, time.Duration) error) error {
	err := ask(ctx, rpc.NewChangesProtobufClient("http://"+host.PeerAddress.String(), client), wait)
	if isAnswer(err) {
		return err
	}
	return errors.WithStack(&sardineknot.UnavailableError{Peer: string(host.ID), Cause: err})
}

// snapshotFrom reads all entries of peer. It first requests no more than whether peer
// serves, because a peer that is silent must be noticed soon, while many hosts that
// read all entries at once may take long. current is as in nextFrom.
func snapshotFrom(ctx context.Context, peer rpc.Changes) (entries []sardineknot.StoreEntry, revision sardineknot.StoreRevision, current time.Duration, err error) {
	err = probe(ctx, peer)
	if err != nil {
		return nil, sardineknot.StoreRevision{}, 0, err
	}
	ctx, cancel := progress.WithTimeout(ctx, peerSnapshotTimeout, peerSnapshotTimeout)
	defer cancel()
	a, err := peer.Snapshot(ctx, &rpc.SnapshotRequest{AcceptsPacked: true})
	if err != nil {
		return nil, sardineknot.StoreRevision{}, 0, err
	}
	e := sardineknot.StoreEra(a.GetEra())
	l := a.GetEntries()
	if len(a.GetPacked()) > 0 {
		l, err = unpack(a.GetPacked(), l)
	}
	return entriesFromMessage(l, e), sardineknot.StoreRevision{Era: e, Number: a.GetRevision()}, micros.Duration(a.GetCurrentMicros()), err
}

// probe fails unless peer serves what it has read. No peer has the changes after
// revision zero, so the answer is short.
func probe(ctx context.Context, peer rpc.Changes) error {
	ctx, cancel := context.WithTimeout(ctx, retryWait+peerMargin)
	defer cancel()
	_, err := peer.Next(ctx, &rpc.NextRequest{})
	return err
}

// answer is the answer of a follower or of the service to a request for changes.
type answer struct {
	changes []sardineknot.StoreEntry
	// deferred holds the changed entries, without values, whose values are to be read apart.
	deferred []sardineknot.StoreEntry
	// missing describes the large values that the follower has and this host lacks.
	missing []*rpc.Base
	// next is the revision to pass to the next request.
	next sardineknot.StoreRevision
	// current is the time, counted from the call, at which a follower's answer was complete
	// at the earliest. It is negative if that was before the call. asOf is the same as a
	// time.
	current time.Duration
	asOf    time.Time
}

// nextFrom reads the changes of peer after revision, for which peer waits for
// at most wait. If wait is zero, peer first reads what there is in the service. The answer
// must begin within peerMargin more, and go on. It fails with a CompactedError if peer does not have them,
// and with an UnavailableError if it has not read the service as requested. It does not set
// asOf.
func (f *Feed) nextFrom(ctx context.Context, peer rpc.Changes, revision sardineknot.StoreRevision, wait time.Duration) (answer, error) {
	ctx, cancel := progress.WithTimeout(ctx, wait+peerMargin, peerMargin)
	defer cancel()
	a, err := peer.Next(ctx, &rpc.NextRequest{
		Era: int64(revision.Era), Revision: revision.Number, WaitMicros: wait.Microseconds(), Refresh: wait == 0,
		AcceptsPatches: true, Bases: f.bases(),
	})
	if err != nil {
		return answer{}, err
	}
	if wait == 0 && !a.GetRefreshed() {
		return answer{}, errors.WithStack(&sardineknot.UnavailableError{Peer: "follower"})
	}
	if a.GetCompacted() {
		return answer{}, errors.WithStack(&sardineknot.CompactedError{After: revision})
	}
	e := sardineknot.StoreEra(a.GetEra())
	m, err := changes(a)
	if err != nil {
		return answer{}, err
	}
	c, d, err := f.applyPatches(entriesFromMessage(m, e), m)
	if err != nil {
		return answer{}, err
	}
	return answer{
		changes: c, deferred: d, missing: a.GetMissing(), next: sardineknot.StoreRevision{Era: e, Number: a.GetRevision()},
		current: micros.Duration(a.GetCurrentMicros()),
	}, nil
}

// entriesFromMessage returns the entries of message, which were read in era.
func entriesFromMessage(message []*rpc.Entry, era sardineknot.StoreEra) []sardineknot.StoreEntry {
	l := make([]sardineknot.StoreEntry, 0, len(message))
	for _, e := range message {
		l = append(l, sardineknot.StoreEntry{Key: e.GetKey(), Value: e.GetValue(), Revision: sardineknot.StoreRevision{Era: era, Number: e.GetRevision()}})
	}
	return l
}

func entriesMessage(entries []sardineknot.StoreEntry) []*rpc.Entry {
	l := make([]*rpc.Entry, 0, len(entries))
	for _, e := range entries {
		l = append(l, &rpc.Entry{Key: e.Key, Value: e.Value, Revision: e.Revision.Number})
	}
	return l
}
