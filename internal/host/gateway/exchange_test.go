package gateway

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/configuration/inforce"
	configuration "sardineknot.example/sardineknot/internal/configuration/store"
	"sardineknot.example/sardineknot/internal/host/clock"
	membership "sardineknot.example/sardineknot/internal/membership/store"
)

const configurationKey = "config"

// configurationDecoder is like decoder, but the value of the entry of configurationKey is
// the operators' revision.
type configurationDecoder struct{ decoder }

func (configurationDecoder) DecodeConfiguration(entry sardineknot.StoreEntry) (*sardineknot.Configuration, bool, error) {
	if entry.Key != configurationKey {
		return nil, false, nil
	}
	n, err := strconv.Atoi(string(entry.Value))
	return &sardineknot.Configuration{Revision: sardineknot.Revision(n)}, true, err
}

// handlerTransport carries all requests to a handler.
type handlerTransport struct{ http.Handler }

// RoundTrip implements http.RoundTripper.
func (t handlerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	t.ServeHTTP(w, r)
	return w.Result(), nil
}

// newExchangingProcess returns a process with another host in its membership, which has the
// given revision in force.
func newExchangingProcess(revision string) *Process {
	p := newTestProcess()
	p.EntryDecoder, p.source.Decoder = configurationDecoder{}, configurationDecoder{}
	o := configuration.NewSource()
	o.Decoder, o.Clock, o.Log = configurationDecoder{}, clock.System{}, zerolog.Nop()
	o.Reachability = func() (bool, time.Time) { return true, time.Time{} }
	o.Apply(configurationEntry(sardineknot.StoreRevision{Number: 9}, revision))
	o.Commit()
	_, h := (&inforce.Exchange{Source: o}).Handler()
	p.exchange.Client = &http.Client{Transport: handlerTransport{h}}
	p.applyEntry(sardineknot.StoreEntry{
		Key: membership.KeyPrefix + "b", Revision: sardineknot.StoreRevision{Number: 1},
		Value: []byte(`{"Incarnation":1,"CallerAddress":"10.0.0.1:1","PeerAddress":"10.0.0.1:2"}`),
	})
	return p
}

func configurationEntry(at sardineknot.StoreRevision, revision string) sardineknot.StoreEntry {
	return sardineknot.StoreEntry{Key: configurationKey, Value: []byte(revision), Revision: at}
}

// write applies and commits a configuration that was read from the store.
func (p *Process) write(at sardineknot.StoreRevision, revision string) {
	p.applyEntry(configurationEntry(at, revision))
	p.commitEntries(at)
}

// checkServed checks the configuration that hosts read from p, as a whole and as the changes
// after a revision.
func checkServed(t *testing.T, p *Process, after sardineknot.StoreRevision, want string) {
	t.Helper()
	is := is.New(t)
	l, _ := p.entries.Snapshot()
	is.Equal(lastConfiguration(l), want)
	l, _, err := p.entries.Next(t.Context(), after, 0)
	is.NoErr(err)
	is.Equal(lastConfiguration(l), want)
}

// lastConfiguration returns the value of the last configuration in entries, or "".
func lastConfiguration(entries []sardineknot.StoreEntry) string {
	v := ""
	for _, e := range entries {
		if e.Key == configurationKey {
			v = string(e.Value)
		}
	}
	return v
}

// TestAdoptedConfigurationIsPassedOn guards against hosts that go on with an older
// configuration because the host from which they read had the newer one from another host
// when the store sent it.
func TestAdoptedConfigurationIsPassedOn(t *testing.T) {
	is := is.New(t)
	p := newExchangingProcess("7")
	p.write(sardineknot.StoreRevision{Number: 3}, "5")
	e := sardineknot.StoreRevision{Era: 1, Number: 5}
	p.write(e, "5") // restored from an older copy
	is.Equal(p.source.Current().Revision, sardineknot.Revision(7))
	p.write(sardineknot.StoreRevision{Era: 1, Number: 6}, "7")
	is.Equal(p.source.Current().Revision, sardineknot.Revision(7))
	checkServed(t, p, e, "7")
	n := sardineknot.StoreRevision{Era: 1, Number: 7}
	p.write(n, "7") // the same once more is no news
	l, _, err := p.entries.Next(t.Context(), sardineknot.StoreRevision{Era: 1, Number: 6}, 0)
	is.NoErr(err)
	is.Equal(len(l), 0)
	p.write(sardineknot.StoreRevision{Era: 1, Number: 8}, "8")
	checkServed(t, p, n, "8")
	e = sardineknot.StoreRevision{Era: 2, Number: 1}
	p.commitEntries(e) // restored from a copy without a configuration
	p.write(sardineknot.StoreRevision{Era: 2, Number: 2}, "8")
	checkServed(t, p, e, "8")
}

// TestStartQueriesOthers guards against a host that starts with an older configuration than
// others have in force, because the host from which it reads is behind.
func TestStartQueriesOthers(t *testing.T) {
	is := is.New(t)
	p := newExchangingProcess("7")
	p.write(sardineknot.StoreRevision{Number: 3}, "5")
	is.Equal(p.source.Current().Revision, sardineknot.Revision(7))
	p.write(sardineknot.StoreRevision{Number: 4}, "6")
	is.Equal(p.source.Current().Revision, sardineknot.Revision(7)) // it never goes back
	p.write(sardineknot.StoreRevision{Number: 5}, "8")
	is.Equal(p.source.Current().Revision, sardineknot.Revision(8))
}
