package groupcommit

import (
	"context"
	"strings"
	"sync"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

var errNoReply = errors.New("no reply")

// fakeStore is a fake store in memory. Before each call it calls fail, which
// determines the failure to inject.
type fakeStore struct {
	sardineknot.Store
	// fail is called without the lock held, before a call takes effect. If
	// before is true, the call fails without taking effect. If after is true,
	// the call takes effect but its reply is lost.
	fail func(kind, key string) (before, after bool)

	mu       sync.Mutex
	revision sardineknot.StoreRevision
	entries  map[string]sardineknot.StoreEntry
	// writes counts the calls of CompareAndSwap.
	writes int
}

func newFakeStore() *fakeStore {
	return &fakeStore{
		fail:    func(string, string) (bool, bool) { return false, false },
		entries: make(map[string]sardineknot.StoreEntry),
	}
}

func noReply() error {
	return errors.WithStack(&sardineknot.UnavailableError{Peer: "store", Cause: errNoReply})
}

// do runs effect with the failures that fail injects.
func (s *fakeStore) do(kind, key string, effect func() error) error {
	b, a := s.fail(kind, key)
	if b {
		return noReply()
	}
	s.mu.Lock()
	err := effect()
	s.mu.Unlock()
	if a {
		return noReply()
	}
	return err
}

func (s *fakeStore) Get(_ context.Context, key string) (entry sardineknot.StoreEntry, err error) {
	err = s.do("get", key, func() error {
		entry = s.entries[key]
		entry.Key = key
		return nil
	})
	return entry, err
}

func (s *fakeStore) List(_ context.Context, prefix string) (found []sardineknot.StoreEntry, err error) {
	err = s.do("list", prefix, func() error {
		for k, e := range s.entries {
			if strings.HasPrefix(k, prefix) {
				found = append(found, e)
			}
		}
		return nil
	})
	return found, err
}

func (s *fakeStore) CompareAndSwap(_ context.Context, key string, expected sardineknot.StoreRevision, value []byte, _ sardineknot.LeaseID) (newRevision sardineknot.StoreRevision, err error) {
	err = s.do("swap", key, func() error {
		s.writes++
		if s.entries[key].Revision != expected {
			return errors.WithStack(&sardineknot.ConflictError{Key: key, Expected: expected})
		}
		s.revision.Number++
		newRevision = s.revision
		s.entries[key] = sardineknot.StoreEntry{Key: key, Value: value, Revision: newRevision}
		return nil
	})
	return newRevision, err
}

func (s *fakeStore) Delete(_ context.Context, key string, expected sardineknot.StoreRevision) error {
	return s.do("delete", key, func() error {
		if s.entries[key].Revision != expected {
			return errors.WithStack(&sardineknot.ConflictError{Key: key, Expected: expected})
		}
		delete(s.entries, key)
		return nil
	})
}

// count returns the number of keys that contain part.
func (s *fakeStore) count(part string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for k := range s.entries {
		if strings.Contains(k, part) {
			n++
		}
	}
	return n
}
