package store_test

import (
	"context"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/host/clock"
	"sardineknot.example/sardineknot/internal/quarantine/store"
)

// service is a fake key-value service that notifies keepers of its changes. It
// implements sardineknot.Ranker: the first host owns all keys.
type service struct {
	sardineknot.Store
	mu      sync.Mutex
	entries map[string]sardineknot.StoreEntry
	keepers []*store.Keeper
	number  int64
	era     sardineknot.StoreEra
	writes  int
	down    bool
}

func (s *service) CompareAndSwap(_ context.Context, key string, expected sardineknot.StoreRevision, value []byte, _ sardineknot.LeaseID) (sardineknot.StoreRevision, error) {
	s.mu.Lock()
	s.writes++
	o := s.entries[key].Revision
	if s.down {
		s.mu.Unlock()
		return o, errors.WithStack(&sardineknot.UnavailableError{Peer: "store"})
	}
	if o.Number != expected.Number || expected.Era != s.era {
		s.mu.Unlock()
		return o, errors.WithStack(&sardineknot.ConflictError{})
	}
	s.number++
	e := sardineknot.StoreEntry{Key: key, Value: value, Revision: sardineknot.StoreRevision{Era: s.era, Number: s.number}}
	s.entries[key] = e
	s.mu.Unlock()
	s.notify(e)
	return e.Revision, nil
}

func (s *service) Delete(_ context.Context, key string, _ sardineknot.StoreRevision) error {
	s.lose(key)
	return nil
}

// lose removes key, as a deletion or a restore of the service does.
func (s *service) lose(key string) {
	s.mu.Lock()
	delete(s.entries, key)
	s.mu.Unlock()
	s.notify(sardineknot.StoreEntry{Key: key})
}

// restore replaces the service by an older copy of it, which is empty but for one key of
// others. It begins an era.
func (s *service) restore() {
	s.mu.Lock()
	s.era++
	l := s.entries
	s.entries = make(map[string]sardineknot.StoreEntry)
	n := sardineknot.StoreRevision{Era: s.era}
	s.mu.Unlock()
	for k := range l {
		s.notify(sardineknot.StoreEntry{Key: k, Revision: n})
	}
	s.notify(sardineknot.StoreEntry{Key: "hosts/1", Revision: sardineknot.StoreRevision{Era: n.Era, Number: 1}})
}

func (s *service) notify(entry sardineknot.StoreEntry) {
	for _, k := range s.keepers {
		k.Apply(entry)
	}
}

func (s *service) Owner(string) (sardineknot.EntryHost, bool) {
	return sardineknot.EntryHost{ID: "h0"}, true
}

func (s *service) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// keys returns the keys of the service.
func (s *service) keys() (l []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k := range s.entries {
		l = append(l, k)
	}
	return l
}

// list is a fake sardineknot.QuarantineList.
type list struct {
	mu sync.Mutex
	l  []sardineknot.Quarantine
}

func (l *list) Quarantines() []sardineknot.Quarantine {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.l)
}

func (l *list) AddQuarantine(q sardineknot.Quarantine) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.l = slices.DeleteFunc(l.l, func(o sardineknot.Quarantine) bool { return slices.Equal(o.Traits, q.Traits) })
	l.l = append(l.l, q)
}

// forget removes all quarantines.
func (l *list) forget() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.l = nil
}

// runKeepers runs test in virtual time with two hosts that have nothing to keep.
func runKeepers(t *testing.T, test func(*testing.T, *service, []*list, []*record)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := &service{entries: make(map[string]sardineknot.StoreEntry)}
		l, r := []*list{{}, {}}, []*record{{}, {}}
		for i, n := range []sardineknot.EntryHostID{"h0", "h1"} {
			s.keepers = append(s.keepers, &store.Keeper{Store: s, Quarantines: l[i], Record: r[i], Ranker: s, Self: n, Clock: clock.System{}, Log: zerolog.Nop()})
		}
		for _, k := range s.keepers {
			go func() { _ = k.Run(ctx) }()
		}
		test(t, s, l, r)
		cancel()
		synctest.Wait()
	})
}

// run runs test in virtual time with two hosts that have a quarantine.
func run(t *testing.T, test func(*testing.T, *service, []*list)) {
	t.Helper()
	runKeepers(t, func(t *testing.T, s *service, l []*list, _ []*record) {
		for _, k := range l {
			k.AddQuarantine(sardineknot.Quarantine{Traits: sardineknot.TraitList{1}, Until: time.Now().Add(time.Minute), Strikes: 1})
		}
		test(t, s, l)
	})
}

// TestKeeper guards against quarantines that are lost when all hosts restart.
func TestKeeper(t *testing.T) {
	t.Run("one host writes the key, once", func(t *testing.T) {
		run(t, func(t *testing.T, s *service, _ []*list) {
			time.Sleep(10 * time.Second)
			is.New(t).Equal(s.keys(), []string{"quarantine/1"})
			is.New(t).Equal(s.writes, 1)
		})
	})
	t.Run("another host writes the key if the owner does not know of the quarantine", func(t *testing.T) {
		run(t, func(t *testing.T, s *service, l []*list) {
			l[0].forget()
			time.Sleep(3 * time.Second)
			is.New(t).Equal(s.keys(), []string{"quarantine/1"})
			is.New(t).Equal(s.writes, 1)
		})
	})
	t.Run("a host that starts reads it", func(t *testing.T) {
		run(t, func(t *testing.T, s *service, l []*list) {
			time.Sleep(2 * time.Second)
			l[1].forget()
			s.notify(s.entries["quarantine/1"])
			q := l[1].Quarantines()
			is.New(t).Equal(len(q), 1)
			is.New(t).Equal(q[0].Strikes, 1)
		})
	})
	t.Run("written again by a service that has lost it, or was down", func(t *testing.T) {
		run(t, func(t *testing.T, s *service, _ []*list) {
			time.Sleep(2 * time.Second)
			s.setDown(true)
			s.lose("quarantine/1")
			time.Sleep(5 * time.Second)
			s.setDown(false)
			time.Sleep(2 * time.Second)
			is.New(t).Equal(s.keys(), []string{"quarantine/1"})
		})
	})
}

// TestKeeperEra guards against quarantines that are not written any more once the service
// has come back from an older copy.
func TestKeeperEra(t *testing.T) {
	t.Run("a quarantine that the copy lacks", func(t *testing.T) {
		run(t, func(t *testing.T, s *service, _ []*list) {
			time.Sleep(2 * time.Second)
			s.restore()
			time.Sleep(2 * time.Second)
			is.New(t).Equal(s.keys(), []string{"quarantine/1"})
		})
	})
	t.Run("a quarantine that is found later", func(t *testing.T) {
		run(t, func(t *testing.T, s *service, l []*list) {
			s.restore()
			time.Sleep(2 * time.Second)
			l[0].AddQuarantine(sardineknot.Quarantine{Traits: sardineknot.TraitList{2}, Until: time.Now().Add(time.Minute), Strikes: 1})
			time.Sleep(2 * time.Second)
			is.New(t).Equal(len(s.keys()), 2)
		})
	})
}

// TestKeeperReplaces guards against keys that differ from the quarantines in force.
func TestKeeperReplaces(t *testing.T) {
	t.Run("written again with more strikes", func(t *testing.T) {
		run(t, func(t *testing.T, s *service, l []*list) {
			time.Sleep(2 * time.Second)
			l[0].AddQuarantine(sardineknot.Quarantine{Traits: sardineknot.TraitList{1}, Until: time.Now().Add(time.Minute), Strikes: 2})
			time.Sleep(2 * time.Second)
			is.New(t).Equal(l[1].Quarantines()[0].Strikes, 2)
		})
	})
	t.Run("removed when it is forgotten", func(t *testing.T) {
		run(t, func(t *testing.T, s *service, l []*list) {
			time.Sleep(2 * time.Second)
			l[0].forget()
			l[1].forget()
			time.Sleep(2 * time.Second)
			is.New(t).Equal(len(s.keys()), 0)
		})
	})
	t.Run("kept while it is in force at another host", func(t *testing.T) {
		run(t, func(t *testing.T, s *service, l []*list) {
			time.Sleep(2 * time.Second)
			l[0].forget()
			time.Sleep(4 * time.Second)
			is.New(t).Equal(len(l[0].Quarantines()), 1)
			is.New(t).Equal(len(s.keys()), 1)
		})
	})
	t.Run("entries that cannot be read are left out and replaced", func(t *testing.T) {
		run(t, func(t *testing.T, s *service, l []*list) {
			is := is.New(t)
			l[1].forget()
			for _, v := range []string{"", "{", `{"Parts":[],"Strikes":1}`, `{"Parts":[1]}`, strings.Repeat("x", 1000)} {
				is.True(s.keepers[1].Apply(sardineknot.StoreEntry{Key: "quarantine/1", Value: []byte(v), Revision: sardineknot.StoreRevision{Number: 7}}))
			}
			is.Equal(len(l[1].Quarantines()), 0)
			is.True(!s.keepers[1].Apply(sardineknot.StoreEntry{Key: "hosts/1"}))
		})
	})
}
