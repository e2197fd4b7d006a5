package twirp_test

import (
	"sync"
	"sync/atomic"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/platform/changelog"
)

// service is a fake key-value service. log holds all entries and the history.
type service struct {
	log  atomic.Pointer[changelog.Log]
	down atomic.Bool
	// calls counts the calls, including those that fail.
	calls atomic.Int64

	mu sync.Mutex
	// revision is the revision of the last write.
	revision sardineknot.StoreRevision
	// link carries the answers to hosts that have links.
	link *link
}

// put writes an entry and returns its revision.
func (s *service) put(key, value string) sardineknot.StoreRevision {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision.Number++
	s.commitLocked(sardineknot.StoreEntry{Key: key, Value: []byte(value), Revision: s.revision})
	return s.revision
}

// remove removes an entry and returns the revision of the removal.
func (s *service) remove(key string) sardineknot.StoreRevision {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision.Number++
	s.commitLocked(sardineknot.StoreEntry{Key: key, Revision: sardineknot.StoreRevision{Era: s.revision.Era}})
	return s.revision
}

func (s *service) commitLocked(entry sardineknot.StoreEntry) {
	l := s.log.Load()
	l.Record(entry)
	l.Commit(s.revision)
}

// lastRevision returns the revision of the last write.
func (s *service) lastRevision() sardineknot.StoreRevision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// forget makes the service discard its history.
func (s *service) forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, _ := s.log.Load().Snapshot()
	n := changelog.NewLog()
	for _, e := range l {
		n.Record(e)
	}
	s.revision.Number += 100
	n.Commit(s.revision)
	s.log.Store(n)
}

// restore makes the service come back from a copy that holds the given entries:
// it begins an era and gives out revisions from the number of the copy on.
func (s *service) restore(number int64, entries map[string]string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision = sardineknot.StoreRevision{Era: s.revision.Era + 1, Number: number}
	n := changelog.NewLog()
	for k, v := range entries {
		n.Record(sardineknot.StoreEntry{Key: k, Value: []byte(v), Revision: s.revision})
	}
	n.Commit(s.revision)
	s.log.Store(n)
}
