package twirp

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
	rpc "sardineknot.example/sardineknot/internal/rpc/changes"
)

// callPeer calls ask with a client of host. The call may take peerMargin more
// than wait.
func callPeer(ctx context.Context, client *http.Client, host sardineknot.EntryHost, wait time.Duration, ask func(context.Context, rpc.Changes, time.Duration) error) error {
	ctx, cancel := context.WithTimeout(ctx, wait+peerMargin)
	defer cancel()
	err := ask(ctx, rpc.NewChangesProtobufClient("http://"+host.PeerAddress.String(), client), wait)
	if isAnswer(err) {
		return err
	}
	return errors.WithStack(&sardineknot.UnavailableError{Peer: string(host.ID), Cause: err})
}

// snapshotFrom reads all entries of peer.
func snapshotFrom(ctx context.Context, peer rpc.Changes) ([]sardineknot.StoreEntry, sardineknot.StoreRevision, error) {
	a, err := peer.Snapshot(ctx, &rpc.SnapshotRequest{})
	if err != nil {
		return nil, sardineknot.StoreRevision{}, err
	}
	e := sardineknot.StoreEra(a.GetEra())
	return entriesFromMessage(a.GetEntries(), e), sardineknot.StoreRevision{Era: e, Number: a.GetRevision()}, nil
}

// nextFrom reads the changes of peer after revision, for which peer waits for
// at most wait. It fails with a CompactedError if peer does not have them.
func nextFrom(ctx context.Context, peer rpc.Changes, revision sardineknot.StoreRevision, wait time.Duration) ([]sardineknot.StoreEntry, sardineknot.StoreRevision, error) {
	a, err := peer.Next(ctx, &rpc.NextRequest{Era: int64(revision.Era), Revision: revision.Number, WaitMicros: wait.Microseconds()})
	if err != nil {
		return nil, revision, err
	}
	if a.GetCompacted() {
		return nil, sardineknot.StoreRevision{}, errors.WithStack(&sardineknot.CompactedError{After: revision})
	}
	e := sardineknot.StoreEra(a.GetEra())
	return entriesFromMessage(a.GetEntries(), e), sardineknot.StoreRevision{Era: e, Number: a.GetRevision()}, nil
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
