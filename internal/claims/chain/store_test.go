package chain

import (
	"context"
	"strings"
	"sync"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

var errNoReply = errors.New("no reply")

// fakeStore is a store in memory. Before each call it asks fail what goes
// wrong.
type fakeStore struct {
	sardineknot.Store
	// fail is called without lock before a call takes effect. before means
	// that the call fails without effect, after that its reply is lost.
	fail func(kind, key string) (before, after bool)

	mu       sync.Mutex
	revision sardineknot.StoreRevision
	entries  map[string]sardineknot.StoreEntry
	writes   int
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

// do runs f under the failures of the fake.
func (s *fakeStore) do(kind, key string, f func() error) error {
	b, a := s.fail(kind, key)
	if b {
		return noReply()
	}
	s.mu.Lock()
	err := f()
	s.mu.Unlock()
	if a {
		return noReply()
	}
	return err
}

func (s *fakeStore) Get(_ context.Context, key string) (e sardineknot.StoreEntry, err error) {
	err = s.do("get", key, func() error {
		e = s.entries[key]
		e.Key = key
		return nil
	})
	return e, err
}

func (s *fakeStore) List(_ context.Context, prefix string) (l []sardineknot.StoreEntry, err error) {
	err = s.do("list", prefix, func() error {
		for k, e := range s.entries {
			if strings.HasPrefix(k, prefix) {
				l = append(l, e)
			}
		}
		return nil
	})
	return l, err
}

func (s *fakeStore) CompareAndSwap(_ context.Context, key string, expected sardineknot.StoreRevision, value []byte, _ sardineknot.LeaseID) (r sardineknot.StoreRevision, err error) {
	err = s.do("swap", key, func() error {
		s.writes++
		if s.entries[key].Revision != expected {
			return errors.WithStack(&sardineknot.ConflictError{Key: key, Expected: expected})
		}
		s.revision++
		r = s.revision
		s.entries[key] = sardineknot.StoreEntry{Key: key, Value: value, Revision: r}
		return nil
	})
	return r, err
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
