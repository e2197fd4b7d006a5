package store_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/configuration/store"
)

// testSource is a source whose clock and reachability the test sets.
type testSource struct {
	*store.Source
	now       time.Time
	reachable bool
	since     time.Time
}

func (s *testSource) Now() time.Time { return s.now }

// decoder is a fake StoreEntryDecoder. It decodes the entry "rev" as a
// configuration whose revision is the length of the value, and every other
// entry as a server whose service is the value. The value "bad" does not decode
// as a server.
type decoder struct{}

func (decoder) DecodeConfiguration(e sardineknot.StoreEntry) (*sardineknot.Configuration, bool, error) {
	if e.Key != "rev" {
		return nil, false, nil
	}
	return &sardineknot.Configuration{
		Revision: sardineknot.Revision(len(e.Value)),
		Services: []sardineknot.Service{{Name: "s"}},
	}, true, nil
}

func (decoder) DecodeServer(e sardineknot.StoreEntry) (sardineknot.BackendServer, bool, error) {
	b := sardineknot.BackendServer{Name: sardineknot.BackendServerName(e.Key), Service: string(e.Value), State: sardineknot.BackendJoining}
	if string(e.Value) == "bad" {
		return b, true, errors.New("bad")
	}
	return b, true, nil
}

func (decoder) Redact(e sardineknot.StoreEntry) sardineknot.StoreEntry { return e }

func newTestSource() *testSource {
	s := &testSource{Source: store.NewSource(), now: time.Unix(1000, 0), reachable: true}
	s.Decoder, s.Clock, s.Log = decoder{}, s, zerolog.Nop()
	s.Reachability = func() (bool, time.Time) { return s.reachable, s.since }
	s.put("rev", "1")
	s.put("a", "s")
	return s
}

func (s *testSource) put(k, v string) {
	s.Apply(sardineknot.StoreEntry{Key: k, Value: []byte(v), Revision: sardineknot.StoreRevision{Number: 1}})
	s.Commit()
}

func (s *testSource) remove(k string) {
	s.Apply(sardineknot.StoreEntry{Key: k})
	s.Commit()
}

func (s *testSource) servers() int { return len(s.Current().BackendServers) }

func TestRevision(t *testing.T) {
	is := is.New(t)
	s := newTestSource()
	s.put("rev", "333")
	s.put("rev", "22")
	is.Equal(s.Current().Revision, sardineknot.Revision(3))
}

func TestServers(t *testing.T) {
	t.Run("server is removed with its entry", func(t *testing.T) {
		is := is.New(t)
		s := newTestSource()
		is.Equal(s.servers(), 1)
		s.remove("a")
		is.Equal(s.servers(), 0)
	})
	t.Run("server without an entry is kept after an outage", func(t *testing.T) {
		is := is.New(t)
		s := newTestSource()
		s.since = s.now
		s.remove("a")
		is.Equal(s.servers(), 1)
		s.now = s.now.Add(3 * time.Second)
		s.Commit()
		is.Equal(s.servers(), 0)
	})
	t.Run("server that registers again is kept", func(t *testing.T) {
		is := is.New(t)
		s := newTestSource()
		s.since = s.now
		s.remove("a")
		s.put("a", "s")
		s.now = s.now.Add(3 * time.Second)
		s.Commit()
		is.Equal(s.servers(), 1)
	})
	t.Run("invalid entries and unknown services add no server", func(t *testing.T) {
		is := is.New(t)
		s := newTestSource()
		s.put("b", "unknown")
		s.put("c", "bad")
		is.Equal(s.servers(), 1)
		s.put("a", "bad")
		is.Equal(s.servers(), 0)
	})
}

// TestRefusedEntries guards against an entry that cannot be read and that is logged, or
// passed on to other hosts, each time it is written.
func TestRefusedEntries(t *testing.T) {
	is := is.New(t)
	var b bytes.Buffer
	s := newTestSource()
	s.Log, s.Refused = zerolog.New(&b), metrics.NewCounter()
	apply := func(number int64, key, value string) bool {
		return s.Apply(sardineknot.StoreEntry{Key: key, Value: []byte(value), Revision: sardineknot.StoreRevision{Number: number}})
	}
	is.True(apply(2, "b", "bad"))
	is.True(!apply(3, "b", "bad"))
	is.True(apply(4, "a", "bad")) // the server that is known is gone
	is.True(!apply(5, "a", "bad"))
	is.Equal(strings.Count(b.String(), "server_entry_refused"), 2)
	is.Equal(s.Refused.Count(), int64(4))
	s.Commit()
	is.Equal(s.servers(), 0)
	is.True(apply(6, "a", "s"))
	is.True(apply(0, "b", "")) // other hosts forget it too
	is.True(apply(7, "b", "bad"))
	is.Equal(strings.Count(b.String(), "server_entry_refused"), 3)
	for n := range int64(20_000) {
		apply(8+n, fmt.Sprint("odd", n), "bad")
	}
	is.True(strings.Count(b.String(), "server_entry_refused") < 5000)
	s.Commit()
	is.Equal(s.servers(), 1)
}

// TestRestore covers a service that comes back from an older copy: its revisions
// are newer, by their era, but the operators' version in the copy is older.
func TestRestore(t *testing.T) {
	putIn := func(s *testSource, era sardineknot.StoreEra, key, value string) {
		s.Apply(sardineknot.StoreEntry{Key: key, Value: []byte(value), Revision: sardineknot.StoreRevision{Era: era, Number: 1}})
		s.Commit()
	}
	t.Run("an older version does not replace the one in force", func(t *testing.T) {
		is := is.New(t)
		s := newTestSource()
		s.put("rev", "333")
		putIn(s, 1, "rev", "22")
		is.Equal(s.Current().Revision, sardineknot.Revision(3))
		putIn(s, 1, "rev", "4444") // the next version
		is.Equal(s.Current().Revision, sardineknot.Revision(4))
		putIn(s, 2, "rev", "333")
		is.Equal(s.Current().Revision, sardineknot.Revision(4))
	})
	t.Run("a version that was lost stays in force", func(t *testing.T) {
		is := is.New(t)
		s := newTestSource()
		s.put("rev", "333")
		s.Apply(sardineknot.StoreEntry{Key: "rev", Revision: sardineknot.StoreRevision{Era: 1}})
		s.Commit()
		is.Equal(s.Current().Revision, sardineknot.Revision(3))
		is.Equal(s.servers(), 1)
	})
	t.Run("a server that was lost has time to register again", func(t *testing.T) {
		is := is.New(t)
		s := newTestSource()
		s.since = s.now // a new era counts as a new start of the service
		s.Apply(sardineknot.StoreEntry{Key: "a", Revision: sardineknot.StoreRevision{Era: 1}})
		s.Commit()
		s.now = s.now.Add(2100 * time.Millisecond)
		s.Commit()
		is.Equal(s.servers(), 1)
		putIn(s, 1, "a", "s")
		s.now = s.now.Add(time.Second)
		s.Commit()
		is.Equal(s.servers(), 1)
	})
}
