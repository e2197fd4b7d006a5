package inforce_test

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/configuration/inforce"
	"sardineknot.example/sardineknot/internal/configuration/store"
	"sardineknot.example/sardineknot/internal/host/clock"
)

// decoder is a fake sardineknot.StoreEntryDecoder. The value of an entry is the
// operators' revision.
type decoder struct{ sardineknot.StoreEntryDecoder }

func (decoder) DecodeConfiguration(e sardineknot.StoreEntry) (*sardineknot.Configuration, bool, error) {
	n, err := strconv.Atoi(string(e.Value))
	return &sardineknot.Configuration{Revision: sardineknot.Revision(n)}, true, err
}

// fleet is a set of hosts without sockets. It is the membership of each of them and
// carries their requests.
type fleet struct {
	sardineknot.Membership
	hosts    []sardineknot.EntryHost
	handlers map[string]http.Handler
	calls    int
}

func (f *fleet) Self() sardineknot.EntryHost    { return sardineknot.EntryHost{ID: "self"} }
func (f *fleet) Hosts() []sardineknot.EntryHost { return f.hosts }

// RoundTrip implements http.RoundTripper. A host without a handler does not answer.
func (f *fleet) RoundTrip(request *http.Request) (*http.Response, error) {
	f.calls++
	h := f.handlers[request.URL.Host]
	if h == nil {
		<-request.Context().Done()
		return nil, request.Context().Err()
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, request)
	return w.Result(), nil
}

// newSource returns a source with the given revision in force, or none if it is zero.
func newSource(revision int) *store.Source {
	s := store.NewSource()
	s.Decoder, s.Clock, s.Log = decoder{}, clock.System{}, zerolog.Nop()
	s.Reachability = func() (bool, time.Time) { return true, time.Time{} }
	if revision > 0 {
		s.Apply(sardineknot.StoreEntry{Key: "config", Value: []byte(strconv.Itoa(revision)), Revision: sardineknot.StoreRevision{Number: 9}})
		s.Commit()
	}
	return s
}

// add adds a host with the given revision in force. A negative one means that the host
// does not answer.
func (f *fleet) add(revision int) {
	a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(len(f.hosts))}), 1)
	f.hosts = append(f.hosts, sardineknot.EntryHost{ID: sardineknot.EntryHostID(a.String()), PeerAddress: a})
	if revision >= 0 {
		_, f.handlers[a.String()] = (&inforce.Exchange{Source: newSource(revision)}).Handler()
	}
}

// fetch returns the revision in force on a host with the given one after it has requested
// hosts with the others, and the time that took.
func fetch(t *testing.T, own int, others ...int) (revision int, took time.Duration) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		f := &fleet{handlers: make(map[string]http.Handler)}
		for _, n := range others {
			f.add(n)
		}
		s := newSource(own)
		e := &inforce.Exchange{Source: s, Members: f, Client: &http.Client{Transport: f}, Random: rand.New(rand.NewPCG(1, 1)), Log: zerolog.Nop()}
		b := time.Now()
		e.Fetch(context.Background())
		s.Commit()
		revision, took = int(s.Current().Revision), time.Since(b)
	})
	return revision, took
}

// TestFetch guards against a withdrawn key that is in force again on a host which
// starts, or was behind, when the key-value service is restored from an older copy.
func TestFetch(t *testing.T) {
	expect := func(name string, want, own int, others ...int) {
		t.Run(name, func(t *testing.T) {
			n, d := fetch(t, own, others...)
			is.New(t).Equal(n, want)
			is.New(t).True(d <= 300*time.Millisecond)
		})
	}
	expect("the newest of the others is in force", 7, 5, 6, 7, 5)
	expect("an older one is not", 7, 7, 6, 5, 3)
	expect("hosts without a configuration and silent ones do not count", 6, 5, 0, -1, 6)
	expect("no other host knows better, as after a kill of all", 5, 5)
	expect("all others are silent", 5, 5, -1, -1, -1, -1)
}
