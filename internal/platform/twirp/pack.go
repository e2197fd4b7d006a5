package twirp

import (
	"bytes"
	"compress/gzip"
	"context"
	"io"
	"slices"
	"sync"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"sardineknot.example/sardineknot"
	rpc "sardineknot.example/sardineknot/internal/rpc/changes"
)

const (
	// maxLaterChanges is the number of changes that are sent beside packed entries.
	// With more, or with a large value among them, all entries are packed again.
	maxLaterChanges = 128
	// maxUnpackedBytes bounds what a reader unpacks. A part of the entries counts as
	// none, because servers would be missing.
	maxUnpackedBytes = 64 << 20
)

// packedEntries keeps the entries of the log in packed form, so that all hosts that
// start together get the same bytes.
type packedEntries struct {
	mu sync.Mutex
	// packed holds the entries at revision. It is nil before the first use.
	packed   []byte
	revision sardineknot.StoreRevision
}

// packedSnapshot returns the packed entries and what has changed since, up to the end of
// the log.
func (f *Feed) packedSnapshot(ctx context.Context) (*rpc.SnapshotResponse, error) {
	p := &f.packs
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.packed != nil {
		l, n, err := f.Entries.Next(ctx, p.revision, 0)
		if err == nil && len(l) <= maxLaterChanges && !slices.ContainsFunc(l, sardineknot.StoreEntry.Large) {
			return &rpc.SnapshotResponse{Packed: p.packed, Entries: entriesMessage(l), Era: int64(n.Era), Revision: n.Number}, nil
		}
	}
	l, n := f.Entries.Snapshot()
	b, err := pack(l)
	if err != nil {
		return nil, err
	}
	p.packed, p.revision = b, n
	return &rpc.SnapshotResponse{Packed: b, Era: int64(n.Era), Revision: n.Number}, nil
}

// pack returns entries as an Entries message in gzip format.
func pack(entries []sardineknot.StoreEntry) ([]byte, error) {
	m, err := proto.Marshal(&rpc.Entries{Entries: entriesMessage(entries)})
	if err != nil {
		return nil, errors.WithStack(err)
	}
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	_, err = w.Write(m)
	if err == nil {
		err = w.Close()
	}
	return b.Bytes(), errors.WithStack(err)
}

// unpack returns the entries of packed with the changes made since. It fails if
// packed is not the result of pack.
func unpack(packed []byte, changes []*rpc.Entry) ([]*rpc.Entry, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	b, err := io.ReadAll(io.LimitReader(r, maxUnpackedBytes+1))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if len(b) > maxUnpackedBytes {
		return nil, errors.WithStack(&sardineknot.InvalidError{What: "packed entries", Got: "more bytes", Expected: "at most 64 MB"})
	}
	var m rpc.Entries
	err = proto.Unmarshal(b, &m)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return merge(m.GetEntries(), changes), nil
}

// merge returns entries with changes, of which the last for each key counts.
func merge(entries, changes []*rpc.Entry) []*rpc.Entry {
	if len(changes) == 0 {
		return entries
	}
	m := make(map[string]*rpc.Entry, len(changes))
	for _, c := range changes {
		m[c.GetKey()] = c
	}
	r := make([]*rpc.Entry, 0, len(entries)+len(m))
	for _, e := range entries {
		if m[e.GetKey()] == nil {
			r = append(r, e)
		}
	}
	for _, c := range m {
		if c.GetRevision() != 0 {
			r = append(r, c)
		}
	}
	return r
}
