package groupcommit

import (
	"context"
	"fmt"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/rpc/claimstore"
)

// maxLoadAttempts limits the attempts to read a head together with all its
// archives.
const maxLoadAttempts = 4

func (s *shard) headKey() string { return s.prefix + "head" }

func (s *shard) archivePrefix() string { return s.prefix + "archive/" }

func (s *shard) archiveKey(sequence uint64) string {
	return fmt.Sprintf("%s%016x", s.archivePrefix(), sequence)
}

// load reads the state of the shard from the store.
func (s *shard) load(ctx context.Context) error {
	e, err := s.ledger.store.Get(ctx, s.headKey())
	if err != nil {
		return err
	}
	return s.applyHead(ctx, e)
}

// applyHead sets s.state to the state that entry, the head, and its archives
// describe. If an archive is missing, because it has expired and was deleted
// meanwhile, applyHead reads the head again. On failure, it sets s.state to
// nil.
func (s *shard) applyHead(ctx context.Context, entry sardineknot.StoreEntry) error {
	for range maxLoadAttempts {
		n, err := s.decodeState(ctx, entry)
		if err != nil {
			s.state = nil
			return err
		}
		if n != nil {
			s.state = n
			return nil
		}
		entry, err = s.ledger.store.Get(ctx, s.headKey())
		if err != nil {
			s.state = nil
			return err
		}
	}
	s.state = nil
	return newUnavailableError(errors.New("an archive is missing"))
}

// decodeState returns the state that entry, the head, describes. It returns nil
// if one of the archives is missing.
func (s *shard) decodeState(ctx context.Context, entry sardineknot.StoreEntry) (*state, error) {
	var h claimstore.Head
	err := proto.Unmarshal(entry.Value, &h)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	b, err := decodeBucket(h.GetBucket())
	if err != nil {
		return nil, errors.WithStack(err)
	}
	n := &state{revision: entry.Revision, sequence: h.GetSequence(), head: b}
	m := s.loadedArchives()
	if s.state == nil && len(h.GetArchives()) > 0 {
		m, err = s.listArchives(ctx, &h)
	}
	for _, a := range h.GetArchives() {
		v := m[a.GetSequence()]
		if v == nil && err == nil {
			v, err = s.readArchive(ctx, a.GetSequence())
		}
		if v == nil || err != nil {
			return nil, err
		}
		n.archives = append(n.archives, archive{sequence: a.GetSequence(), bucket: v})
	}
	return n, nil
}

// loadedArchives returns the archives of the current state by sequence number.
// They never change, so they need not be read again.
func (s *shard) loadedArchives() map[uint64]*bucket {
	m := make(map[uint64]*bucket)
	if s.state == nil {
		return m
	}
	for _, a := range s.state.archives {
		m[a.sequence] = a.bucket
	}
	return m
}

// readArchive returns the archive with the given sequence number, or nil if it
// is missing.
func (s *shard) readArchive(ctx context.Context, sequence uint64) (*bucket, error) {
	e, err := s.ledger.store.Get(ctx, s.archiveKey(sequence))
	if err != nil || e.Revision.Absent() {
		return nil, err
	}
	return decodeArchive(e)
}

// listArchives reads all archives of the shard with one call and returns those
// to which head refers, by sequence number. It deletes the archives to which
// neither head nor any later head can refer.
func (s *shard) listArchives(ctx context.Context, head *claimstore.Head) (map[uint64]*bucket, error) {
	l, err := s.ledger.store.List(ctx, s.archivePrefix())
	if err != nil {
		return nil, err
	}
	k := make(map[string]uint64)
	for _, a := range head.GetArchives() {
		k[s.archiveKey(a.GetSequence())] = a.GetSequence()
	}
	m := make(map[uint64]*bucket)
	for _, e := range l {
		n, ok := k[e.Key]
		if !ok && e.Key < s.archiveKey(head.GetSequence()) {
			_ = s.ledger.store.Delete(ctx, e.Key, e.Revision)
		}
		if !ok {
			continue
		}
		m[n], err = decodeArchive(e)
		if err != nil {
			return nil, err
		}
	}
	return m, nil
}

// decodeArchive returns the bucket in entry, an archive. It fails if the value
// is malformed.
func decodeArchive(entry sardineknot.StoreEntry) (*bucket, error) {
	var p claimstore.Bucket
	err := proto.Unmarshal(entry.Value, &p)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	b, err := decodeBucket(&p)
	return b, errors.WithStack(err)
}
