package store_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/configuration/store"
)

// world is a source with a clock and a contact that the test sets.
type world struct {
	*store.Source
	now       time.Time
	reachable bool
	since     time.Time
}

func (w *world) Now() time.Time { return w.now }

// decoder reads "rev" entries as configurations of the revision in the value's
// length, and others as servers. A value "bad" does not decode.
type decoder struct{}

func (decoder) Configuration(e sardineknot.StoreEntry) (*sardineknot.Configuration, bool, error) {
	if e.Key != "rev" {
		return nil, false, nil
	}
	return &sardineknot.Configuration{
		Revision: sardineknot.Revision(len(e.Value)),
		Services: []sardineknot.Service{{Name: "s"}},
	}, true, nil
}

func (decoder) Server(e sardineknot.StoreEntry) (sardineknot.BackendServer, bool, error) {
	b := sardineknot.BackendServer{Name: sardineknot.BackendServerName(e.Key), Service: string(e.Value), State: sardineknot.BackendJoining}
	if string(e.Value) == "bad" {
		return b, true, errors.New("bad")
	}
	return b, true, nil
}

func newWorld() *world {
	w := &world{Source: store.NewSource(), now: time.Unix(1000, 0), reachable: true}
	w.Decoder, w.Clock, w.Log = decoder{}, w, zerolog.Nop()
	w.Contact = func() (bool, time.Time) { return w.reachable, w.since }
	w.put("rev", "1")
	w.put("a", "s")
	return w
}

func (w *world) put(k, v string) {
	w.Take(sardineknot.StoreEntry{Key: k, Value: []byte(v), Revision: 1})
	w.Settle()
}

func (w *world) remove(k string) {
	w.Take(sardineknot.StoreEntry{Key: k})
	w.Settle()
}

func (w *world) servers() int { return len(w.Current().BackendServers) }

func TestRevision(t *testing.T) {
	is := is.New(t)
	w := newWorld()
	w.put("rev", "333")
	w.put("rev", "22")
	is.Equal(w.Current().Revision, sardineknot.Revision(3))
}

func TestServers(t *testing.T) {
	t.Run("a server whose entry goes is gone at once", func(t *testing.T) {
		is := is.New(t)
		w := newWorld()
		is.Equal(w.servers(), 1)
		w.remove("a")
		is.Equal(w.servers(), 0)
	})
	t.Run("an entry that went while the store was away may come back", func(t *testing.T) {
		is := is.New(t)
		w := newWorld()
		w.since = w.now
		w.remove("a")
		is.Equal(w.servers(), 1)
		w.now = w.now.Add(3 * time.Second)
		w.Settle()
		is.Equal(w.servers(), 0)
	})
	t.Run("an entry that came back stays", func(t *testing.T) {
		is := is.New(t)
		w := newWorld()
		w.since = w.now
		w.remove("a")
		w.put("a", "s")
		w.now = w.now.Add(3 * time.Second)
		w.Settle()
		is.Equal(w.servers(), 1)
	})
	t.Run("entries of others' making name no server", func(t *testing.T) {
		is := is.New(t)
		w := newWorld()
		w.put("b", "unknown")
		w.put("c", "bad")
		is.Equal(w.servers(), 1)
		w.put("a", "bad")
		is.Equal(w.servers(), 0)
	})
}
