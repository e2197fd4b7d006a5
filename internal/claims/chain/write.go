package chain

import (
	"bytes"
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/rpc/claimstore"
)

// maxHeadBytes leaves room below the longest value of the store.
const maxHeadBytes = sardineknot.MaxStoreValueBytes * 3 / 4

// write replaces the head by one with the records of d. It reports false if
// another write came first.
func (s *shard) write(ctx context.Context, d draft) (bool, error) {
	t := s.ledger.clock.Now()
	s.nextWrite = t.Add(orDefault(s.ledger.WriteInterval, defaultWriteInterval))
	n, x, err := s.next(ctx, d.added, t)
	if err != nil {
		return false, err
	}
	s.group++
	h := s.encode(n)
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(h)
	if err != nil {
		return false, errors.WithStack(err)
	}
	if len(b) > maxHeadBytes {
		return false, unavailable(errors.New("the head of the shard is full"))
	}
	s.ledger.writes.Inc(1)
	r, err := s.ledger.store.CompareAndSwap(ctx, s.headKey(), s.state.revision, b, 0)
	if err != nil {
		return s.resolve(ctx, err)
	}
	n.revision = r
	s.state = n
	s.ledger.recorded.Inc(int64(len(d.added)))
	s.remove(ctx, x)
	return true, nil
}

// resolve finds out by the head whether a write took effect that failed with
// cause.
func (s *shard) resolve(ctx context.Context, cause error) (bool, error) {
	var c *sardineknot.ConflictError
	var u *sardineknot.UnavailableError
	if !errors.As(cause, &c) && !errors.As(cause, &u) {
		return false, cause
	}
	e, err := s.ledger.store.Get(ctx, s.headKey())
	if err != nil {
		s.state = nil
		return false, err
	}
	var h claimstore.Head
	err = proto.Unmarshal(e.Value, &h)
	if err != nil {
		return false, errors.WithStack(err)
	}
	m := s.wrote(&h)
	return m, s.adopt(ctx, e)
}

// wrote reports whether h is the last write of this host.
func (s *shard) wrote(h *claimstore.Head) bool {
	e := s.ledger.self
	return h.GetWriter() == string(e.ID) && h.GetIncarnation() == uint64(e.Incarnation) && h.GetGroup() == s.group
}

// next returns the state after the records of added, and the archives that it
// no longer names because they have expired.
func (s *shard) next(ctx context.Context, added []record, now time.Time) (n *state, expired []uint64, err error) {
	n = &state{sequence: s.state.sequence + 1}
	r := s.state.head.records
	l := s.state.archives
	if len(r) >= orDefault(s.ledger.BucketRecords, defaultBucketRecords) {
		err = s.archiveHead(ctx)
		if err != nil {
			return nil, nil, err
		}
		l = append(slices.Clip(l), archive{sequence: s.state.sequence, bucket: s.state.head})
		r = nil
	}
	n.head = newBucket(append(slices.Clip(r), added...), max(now.Unix(), s.state.head.newest))
	t := now.Add(-orDefault(s.ledger.Retention, defaultRetention)).Unix()
	for _, a := range l {
		if a.bucket.newest < t {
			expired = append(expired, a.sequence)
			continue
		}
		n.archives = append(n.archives, a)
	}
	return n, expired, nil
}

// archiveHead copies the bucket of the present head to an archive key. The key
// may exist, if another host did the same or a reply was lost.
func (s *shard) archiveHead(ctx context.Context) error {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(s.state.head.encode())
	if err != nil {
		return errors.WithStack(err)
	}
	k := s.archiveKey(s.state.sequence)
	s.ledger.writes.Inc(1)
	_, err = s.ledger.store.CompareAndSwap(ctx, k, 0, b, 0)
	if err == nil {
		return nil
	}
	e, x := s.ledger.store.Get(ctx, k)
	if x != nil {
		return x
	}
	if !bytes.Equal(e.Value, b) {
		s.state = nil
		return unavailable(errors.Wrap(err, "the archive has another content"))
	}
	return nil
}

// remove deletes archives that no head names any more. What is left behind by
// a failure is deleted by the next load.
func (s *shard) remove(ctx context.Context, sequences []uint64) {
	for _, n := range sequences {
		e, err := s.ledger.store.Get(ctx, s.archiveKey(n))
		if err != nil || e.Revision == 0 {
			continue
		}
		_ = s.ledger.store.Delete(ctx, e.Key, e.Revision)
	}
}

func (s *shard) encode(n *state) *claimstore.Head {
	h := &claimstore.Head{
		Writer:      string(s.ledger.self.ID),
		Incarnation: uint64(s.ledger.self.Incarnation),
		Group:       s.group,
		Sequence:    n.sequence,
		Bucket:      n.head.encode(),
	}
	for _, a := range n.archives {
		h.Archives = append(h.Archives, &claimstore.Archive{Sequence: a.sequence, Newest: a.bucket.newest})
	}
	return h
}
