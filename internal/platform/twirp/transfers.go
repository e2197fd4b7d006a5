package twirp

import (
	"context"
	"sync"
	"time"

	"sardineknot.example/sardineknot"
	rpc "sardineknot.example/sardineknot/internal/rpc/changes"
)

// transfers holds the large values that are being read. Other changes do not wait for them.
// The zero value holds none.
type transfers struct {
	mu sync.Mutex
	// running holds the transfers by key.
	running map[string]*transfer
	// arrived holds the entries that were read and not yet taken.
	arrived []sardineknot.StoreEntry
	// latest holds the latest revision that has arrived of each key whose value is or was
	// large, in whatever way it was read.
	latest map[string]sardineknot.StoreRevision
	// begun is closed when a transfer begins. It is nil if nothing waits for that.
	begun chan struct{}
	// interrupt ends the present wait for changes. It is nil if there is none.
	interrupt context.CancelCauseFunc
}

// transfer is a large value that is being read. But for announced, only the goroutine that
// reads it uses its fields once it runs.
type transfer struct {
	key string
	// announced is the latest revision of the key that is known, and source the host that
	// announced it. transfers.mu guards both.
	announced sardineknot.StoreRevision
	source    sardineknot.EntryHostID
	// beganAt is the time at which the transfer began.
	beganAt time.Time
	// failures is the number of calls that have failed since the last part.
	failures int
	// base is the value that this host had at the first part.
	base sardineknot.StoreEntry
	// revision is the one of the value whose patch is being read. It has no number before
	// the first part.
	revision sardineknot.StoreRevision
	// patch describes the patch. Its Data is empty.
	patch *rpc.Patch
	// frame holds the first bytes of the patch, which has frameBytes in all.
	frame       []byte
	frameBytes  int64
	frameDigest uint64
}

// arrivedError is the cause of the end of a wait for changes when a large value has arrived.
type arrivedError struct{}

// Error implements error.
func (e *arrivedError) Error() string { return "a large value has arrived" }

// begin begins the transfers of entries, whose values source has. A transfer of an earlier
// value of the same key goes on first.
func (s *transfers) begin(entries []sardineknot.StoreEntry, source sardineknot.EntryHostID, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range entries {
		t := s.running[e.Key]
		if t == nil {
			t = &transfer{key: e.Key, beganAt: now}
			s.startLocked(t)
		}
		t.announced, t.source = t.announced.Later(e.Revision), source
		s.setLatestLocked(e.Key, sardineknot.StoreRevision{})
	}
}

// startLocked adds t to the transfers that are running.
func (s *transfers) startLocked(t *transfer) {
	if s.running == nil {
		s.running = make(map[string]*transfer)
	}
	s.running[t.key] = t
	if s.begun != nil {
		close(s.begun)
		s.begun = nil
	}
}

// end ends the transfers of values that entries, which were read with other changes, hold or
// remove.
func (s *transfers) end(entries []sardineknot.StoreEntry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range entries {
		s.recordLocked(e)
		t := s.running[e.Key]
		if t != nil && (e.Revision.Absent() || e.Revision.Compare(t.announced) >= 0) {
			delete(s.running, e.Key)
		}
	}
}

// reset ends all transfers and discards what has arrived, because entries hold the entries
// of all keys.
func (s *transfers) reset(entries []sardineknot.StoreEntry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.running)
	clear(s.latest)
	s.arrived = nil
	for _, e := range entries {
		s.recordLocked(e)
	}
}

// recordLocked records that entry has arrived.
func (s *transfers) recordLocked(entry sardineknot.StoreEntry) {
	_, ok := s.latest[entry.Key]
	if ok || entry.Large() {
		s.setLatestLocked(entry.Key, entry.Revision)
	}
}

// setLatestLocked records that the value of key at revision has arrived, and that it is or was
// large. An earlier revision has no effect.
func (s *transfers) setLatestLocked(key string, revision sardineknot.StoreRevision) {
	if s.latest == nil {
		s.latest = make(map[string]sardineknot.StoreRevision)
	}
	s.latest[key] = s.latest[key].Later(revision)
}

// lacks reports whether the value of key at revision, or a later one, has neither arrived nor
// is being read. An earlier value of the key was large, or this one is.
func (s *transfers) lacks(key string, revision sardineknot.StoreRevision) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.running[key]
	return s.latest[key].Compare(revision) < 0 && (t == nil || t.announced.Compare(revision) < 0)
}

// finish ends t with the entry that was read. If a later value was announced meanwhile, its
// transfer begins, unless the key is absent: it was removed since. finish reports whether t
// was still running.
func (s *transfers) finish(t *transfer, entry sardineknot.StoreEntry, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running[t.key] != t {
		return false
	}
	delete(s.running, t.key)
	switch {
	case entry.Revision.Absent():
		s.setLatestLocked(t.key, t.announced)
	case t.announced.Compare(entry.Revision) > 0:
		s.startLocked(&transfer{key: t.key, announced: t.announced, source: t.source, beganAt: now})
	}
	s.setLatestLocked(t.key, entry.Revision)
	s.arrived = append(s.arrived, entry)
	if s.interrupt != nil {
		s.interrupt(&arrivedError{})
	}
	return true
}

// take returns the entries that have arrived.
func (s *transfers) take() []sardineknot.StoreEntry {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.arrived
	s.arrived = nil
	return l
}

// interruptible returns a context that is done with ctx or as soon as a value arrives. The
// cause is an arrivedError then.
func (s *transfers) interruptible(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.interrupt = cancel
	if len(s.arrived) > 0 {
		cancel(&arrivedError{})
	}
	return ctx, func() { cancel(nil) }
}

// pending reports whether a large value is still missing in what was read.
func (s *transfers) pending() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.running) > 0 || len(s.arrived) > 0
}

// wait returns a transfer that is running, as soon as there is one. It returns nil when ctx
// is done.
func (s *transfers) wait(ctx context.Context) *transfer {
	for {
		t, b := s.any()
		if t != nil || ctx.Err() != nil {
			return t
		}
		select {
		case <-b:
		case <-ctx.Done():
			return nil
		}
	}
}

// any returns a transfer that is running or, if there is none, a channel that is closed when
// one begins.
func (s *transfers) any() (*transfer, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.running {
		return t, nil
	}
	if s.begun == nil {
		s.begun = make(chan struct{})
	}
	return nil, s.begun
}

// target returns the latest announced revision of t and the host that announced it.
func (s *transfers) target(t *transfer) (sardineknot.StoreRevision, sardineknot.EntryHostID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return t.announced, t.source
}
