package groupcommit

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

// maxHeadBytes is the maximum length of an encoded head. It leaves a margin
// below the maximum length of a store value.
const maxHeadBytes = sardineknot.MaxStoreValueBytes * 3 / 4

// write replaces the head by one that also holds the records of a tentative
// decision. It returns false if another host wrote the head first.
func (s *shard) write(ctx context.Context, tentative decision) (bool, error) {
	t := s.ledger.clock.Now()
	s.nextWrite = t.Add(orDefault(s.ledger.WriteInterval, defaultWriteInterval))
	n, x, err := s.nextState(ctx, tentative.added, t)
	if err != nil {
		return false, err
	}
	s.groupNumber++
	h := s.encodeHead(n)
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(h)
	if err != nil {
		return false, errors.WithStack(err)
	}
	if len(b) > maxHeadBytes {
		return false, newUnavailableError(errors.New("the head of the shard is full"))
	}
	s.ledger.writes.Inc(1)
	r, err := s.ledger.store.CompareAndSwap(ctx, s.headKey(), s.state.revision, b, sardineknot.LeaseID{})
	if err != nil {
		return s.resolveWrite(ctx, err)
	}
	n.revision = r
	s.state = n
	s.ledger.recorded.Inc(int64(len(tentative.added)))
	s.removeArchives(ctx, x)
	return true, nil
}

// resolveWrite reads the head and reports whether a write that failed with
// cause took effect.
func (s *shard) resolveWrite(ctx context.Context, cause error) (bool, error) {
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
	m := s.isLastWrite(&h)
	return m, s.applyHead(ctx, e)
}

// isLastWrite reports whether head is the result of this host's last write.
func (s *shard) isLastWrite(head *claimstore.Head) bool {
	e := s.ledger.self
	return head.GetWriter() == string(e.ID) && head.GetIncarnation() == uint64(e.Incarnation) && head.GetGroup() == s.groupNumber
}

// nextState returns the state that results from adding the records in added to
// the current state. It leaves out the archives that have expired, and returns
// their sequence numbers.
func (s *shard) nextState(ctx context.Context, added []record, now time.Time) (next *state, expired []uint64, err error) {
	next = &state{sequence: s.state.sequence + 1}
	r := s.state.head.records
	l := s.state.archives
	if len(r) >= orDefault(s.ledger.MaxBucketRecords, defaultBucketRecords) {
		err = s.archiveHead(ctx)
		if err != nil {
			return nil, nil, err
		}
		l = append(slices.Clip(l), archive{sequence: s.state.sequence, bucket: s.state.head})
		r = nil
	}
	next.head = newBucket(append(slices.Clip(r), added...), max(now.Unix(), s.state.head.newest))
	t := now.Add(-orDefault(s.ledger.Retention, defaultRetention)).Unix()
	for _, a := range l {
		if a.bucket.newest < t {
			expired = append(expired, a.sequence)
			continue
		}
		next.archives = append(next.archives, a)
	}
	return next, expired, nil
}

// archiveHead copies the bucket of the current head to an archive key. The key
// may already exist, if another host archived the same bucket or if an earlier
// reply was lost.
func (s *shard) archiveHead(ctx context.Context) error {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(s.state.head.encode())
	if err != nil {
		return errors.WithStack(err)
	}
	k := s.archiveKey(s.state.sequence)
	s.ledger.writes.Inc(1)
	_, err = s.ledger.store.CompareAndSwap(ctx, k, sardineknot.StoreRevision{}, b, sardineknot.LeaseID{})
	if err == nil {
		return nil
	}
	e, x := s.ledger.store.Get(ctx, k)
	if x != nil {
		return x
	}
	if !bytes.Equal(e.Value, b) {
		s.state = nil
		return newUnavailableError(errors.Wrap(err, "the archive has different content"))
	}
	return nil
}

// removeArchives deletes archives to which the head no longer refers. It
// ignores failures: the next load deletes the archives that remain.
func (s *shard) removeArchives(ctx context.Context, sequences []uint64) {
	for _, n := range sequences {
		e, err := s.ledger.store.Get(ctx, s.archiveKey(n))
		if err != nil || e.Revision.Absent() {
			continue
		}
		_ = s.ledger.store.Delete(ctx, e.Key, e.Revision)
	}
}

// encodeHead returns the stored form of next as the head that this host writes
// with the current group.
func (s *shard) encodeHead(next *state) *claimstore.Head {
	h := &claimstore.Head{
		Writer:      string(s.ledger.self.ID),
		Incarnation: uint64(s.ledger.self.Incarnation),
		Group:       s.groupNumber,
		Sequence:    next.sequence,
		Bucket:      next.head.encode(),
	}
	for _, a := range next.archives {
		h.Archives = append(h.Archives, &claimstore.Archive{Sequence: a.sequence, Newest: a.bucket.newest})
	}
	return h
}
