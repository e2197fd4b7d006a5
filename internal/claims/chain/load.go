package chain

import (
	"context"
	"fmt"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/rpc/claimstore"
)

// maxLoads bounds the tries to read a head with all its archives.
const maxLoads = 4

func (s *shard) headKey() string { return s.prefix + "head" }

func (s *shard) archivePrefix() string { return s.prefix + "archive/" }

func (s *shard) archiveKey(sequence uint64) string {
	return fmt.Sprintf("%s%016x", s.archivePrefix(), sequence)
}

// load reads the state from the store.
func (s *shard) load(ctx context.Context) error {
	e, err := s.ledger.store.Get(ctx, s.headKey())
	if err != nil {
		return err
	}
	return s.adopt(ctx, e)
}

// adopt makes s.state that of the head e, with its archives. It reads the head
// again if an archive has expired meanwhile.
func (s *shard) adopt(ctx context.Context, e sardineknot.StoreEntry) error {
	for range maxLoads {
		n, err := s.build(ctx, e)
		if err != nil {
			s.state = nil
			return err
		}
		if n != nil {
			s.state = n
			return nil
		}
		e, err = s.ledger.store.Get(ctx, s.headKey())
		if err != nil {
			s.state = nil
			return err
		}
	}
	s.state = nil
	return unavailable(errors.New("an archive is missing"))
}

// build returns the state of the head e, or nil if an archive is missing.
func (s *shard) build(ctx context.Context, e sardineknot.StoreEntry) (*state, error) {
	var h claimstore.Head
	err := proto.Unmarshal(e.Value, &h)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	b, err := decodeBucket(h.GetBucket())
	if err != nil {
		return nil, errors.WithStack(err)
	}
	n := &state{revision: e.Revision, sequence: h.GetSequence(), head: b}
	m := s.known()
	if s.state == nil && len(h.GetArchives()) > 0 {
		m, err = s.list(ctx, &h)
	}
	for _, a := range h.GetArchives() {
		v := m[a.GetSequence()]
		if v == nil && err == nil {
			v, err = s.read(ctx, a.GetSequence())
		}
		if v == nil || err != nil {
			return nil, err
		}
		n.archives = append(n.archives, archive{sequence: a.GetSequence(), bucket: v})
	}
	return n, nil
}

// known returns the archives of the present state, which never change.
func (s *shard) known() map[uint64]*bucket {
	m := make(map[uint64]*bucket)
	if s.state == nil {
		return m
	}
	for _, a := range s.state.archives {
		m[a.sequence] = a.bucket
	}
	return m
}

// read returns an archive, or nil if it is missing.
func (s *shard) read(ctx context.Context, sequence uint64) (*bucket, error) {
	e, err := s.ledger.store.Get(ctx, s.archiveKey(sequence))
	if err != nil || e.Revision == 0 {
		return nil, err
	}
	return decodeArchive(e)
}

// list reads all archives in one call. It deletes those that h does not name
// and that no later head can name.
func (s *shard) list(ctx context.Context, h *claimstore.Head) (map[uint64]*bucket, error) {
	l, err := s.ledger.store.List(ctx, s.archivePrefix())
	if err != nil {
		return nil, err
	}
	k := make(map[string]uint64)
	for _, a := range h.GetArchives() {
		k[s.archiveKey(a.GetSequence())] = a.GetSequence()
	}
	m := make(map[uint64]*bucket)
	for _, e := range l {
		n, ok := k[e.Key]
		if !ok && e.Key < s.archiveKey(h.GetSequence()) {
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

func decodeArchive(e sardineknot.StoreEntry) (*bucket, error) {
	var p claimstore.Bucket
	err := proto.Unmarshal(e.Value, &p)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	b, err := decodeBucket(&p)
	return b, errors.WithStack(err)
}
