package etcd

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/configuration/bundle"
	"sardineknot.example/sardineknot/internal/configuration/revision"
)

// store is a fake store in memory. It counts reads, and its watches report no
// events.
type store struct {
	sardineknot.Store
	values map[string][]byte
	// revision is the store revision of the head. It is incremented by every
	// put.
	revision sardineknot.StoreRevision
	// reads counts the calls of Get and Keys. heads counts the calls of Get
	// that return the head.
	reads int
	heads int
	// blockWatch makes Watch block until its context is done.
	blockWatch bool
}

func (s *store) Get(_ context.Context, key string) (sardineknot.StoreEntry, error) {
	s.reads++
	if key == sardineknot.ConfigurationHeadKey {
		s.heads++
	}
	return sardineknot.StoreEntry{Key: key, Value: s.values[key], Revision: s.revision}, nil
}

func (s *store) Keys(_ context.Context, key string) ([]sardineknot.StoreEntry, error) {
	s.reads++
	return []sardineknot.StoreEntry{{Key: key, Revision: s.revision}}, nil
}

func (s *store) Watch(ctx context.Context, _ string, _ sardineknot.StoreRevision) (<-chan sardineknot.StoreEntry, error) {
	if s.blockWatch {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return make(chan sardineknot.StoreEntry), nil
}

// put stores a configuration of revision r with one account.
func (s *store) put(t *testing.T, r sardineknot.Revision, account sardineknot.ClientAccountName) {
	b, l, err := bundle.Split(&sardineknot.Configuration{Contracts: []sardineknot.Contract{{Account: account}}})
	is.New(t).NoErr(err)
	h, err := json.Marshal(sardineknot.ConfigurationHead{Revision: r, Bundles: l})
	is.New(t).NoErr(err)
	s.revision.Number++
	s.values = map[string][]byte{sardineknot.ConfigurationHeadKey: h}
	for n, c := range b {
		s.values[sardineknot.ConfigurationBundlePrefix+n] = c
	}
}

// newReader returns a reader of s that logs to log. reads is the result of
// ShouldRead.
func newReader(s *store, reads bool, log *bytes.Buffer) *Reader {
	r := NewReader(metrics.NewRegistry())
	r.Store = s
	r.Tracker = revision.NewTracker()
	r.Offer = func(head []byte, b bundle.Set, _ string) error {
		_, err := r.Tracker.Offer(head, b)
		return err
	}
	r.ShouldRead = func() bool { return reads }
	r.Log = zerolog.New(log)
	return r
}

// checkPoll polls once, and checks the revision in force and the number of
// alarms raised so far.
func checkPoll(t *testing.T, r *Reader, v sardineknot.Revision, alarms int64) {
	t.Helper()
	r.poll(context.Background())
	is.New(t).Equal(r.Tracker.Current().Revision, v)
	is.New(t).Equal(r.alarms.Count(), alarms)
	is.New(t).Equal(r.staleHeadGauge.Value() == 1, alarms > 0 && r.alarmedHash != "")
}

func TestReader(t *testing.T) {
	var s store
	var l bytes.Buffer
	r := newReader(&s, true, &l)
	checkPoll(t, r, 0, 0)
	s.put(t, 1, "verk")
	checkPoll(t, r, 1, 0)
	s.put(t, 2, "verk2")
	checkPoll(t, r, 2, 0) // the watch reports nothing
	t.Run("does not fetch a bundle again", func(t *testing.T) {
		n := s.reads
		checkPoll(t, r, 2, 0)
		is.New(t).Equal(s.reads, n+1)
	})
	t.Run("seldom fetches an unchanged head", func(t *testing.T) {
		n := s.heads
		for range 2 * fullReadPeriod {
			checkPoll(t, r, 2, 0)
		}
		is.New(t).Equal(s.heads, n+2)
	})
	t.Run("raises one alarm for an older head", func(t *testing.T) {
		s.put(t, 1, "verk")
		checkPoll(t, r, 2, 1)
		checkPoll(t, r, 2, 1)
		is.New(t).Equal(strings.Count(l.String(), "configuration_store_older"), 1)
	})
	t.Run("raises one alarm for different content of the same revision", func(t *testing.T) {
		s.put(t, 2, "verk3")
		checkPoll(t, r, 2, 2)
	})
	t.Run("clears the alarm on a greater revision", func(t *testing.T) {
		s.put(t, 3, "verk3")
		checkPoll(t, r, 3, 2)
		is.New(t).Equal(r.staleHeadGauge.Value(), int64(0))
	})
}

func TestStoreRestoredAfterEvent(t *testing.T) {
	var s store
	r := newReader(&s, true, &bytes.Buffer{})
	s.put(t, 1, "verk")
	checkPoll(t, r, 1, 0)
	old := s
	s.put(t, 2, "verk2")
	e, err := s.Get(t.Context(), sardineknot.ConfigurationHeadKey)
	is.New(t).NoErr(err)
	r.handleEvent(t.Context(), e, true)
	s = old // restored to the state before the event
	checkPoll(t, r, 2, 1)
}

func TestNonReaderDoesNotReadStore(t *testing.T) {
	var s store
	s.put(t, 1, "verk")
	checkPoll(t, newReader(&s, false, &bytes.Buffer{}), 0, 0)
	is.New(t).Equal(s.reads, 0)
}

func TestSilentWatchDoesNotBlockReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := time.Now() // virtual time
		s := store{blockWatch: true}
		r := newReader(&s, true, &bytes.Buffer{})
		s.put(t, 1, "verk")
		checkPoll(t, r, 1, 0)
		s.put(t, 2, "verk")
		checkPoll(t, r, 2, 0)
		is.New(t).True(time.Since(b) <= 2*watchTimeout)
	})
}
