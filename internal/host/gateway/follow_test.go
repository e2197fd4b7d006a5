package gateway

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/configuration/inforce"
	configuration "sardineknot.example/sardineknot/internal/configuration/store"
	membership "sardineknot.example/sardineknot/internal/membership/store"
	"sardineknot.example/sardineknot/internal/orders/ledger"
	"sardineknot.example/sardineknot/internal/platform/changelog"
	feed "sardineknot.example/sardineknot/internal/platform/twirp"
	quarantinestore "sardineknot.example/sardineknot/internal/quarantine/store"
	versions "sardineknot.example/sardineknot/internal/versions/twirp"
)

// decoder is a fake sardineknot.StoreEntryDecoder to which each entry is that of
// a server.
type decoder struct{}

func (decoder) DecodeConfiguration(sardineknot.StoreEntry) (*sardineknot.Configuration, bool, error) {
	return nil, false, nil
}

func (decoder) DecodeServer(entry sardineknot.StoreEntry) (sardineknot.BackendServer, bool, error) {
	return sardineknot.BackendServer{Name: sardineknot.BackendServerName(entry.Key), Service: string(entry.Value)}, true, nil
}

func (decoder) Redact(entry sardineknot.StoreEntry) sardineknot.StoreEntry { return entry }

func newTestProcess() *Process {
	p := &Process{registry: membership.NewRegistry(sardineknot.EntryHost{ID: "a"}), source: configuration.NewSource(), entries: changelog.NewLog(), EntryDecoder: decoder{}, keeper: &quarantinestore.Keeper{}}
	p.exchange = &inforce.Exchange{Source: p.source, Members: p.registry, Random: rand.New(rand.NewPCG(1, 1))}
	p.feed = &feed.Feed{Entries: p.entries, Clock: p.clock}
	p.versions = versions.NewDirectory(p.clock)
	p.orders = ledger.NewLedger(nil, p.clock, p.registry.Self(), p.clock.Sleep)
	r := func() (bool, time.Time) { return true, time.Time{} }
	p.registry.Clock, p.registry.Reachability, p.registry.Log = p.clock, r, zerolog.Nop()
	p.source.Decoder, p.source.Clock, p.source.Reachability, p.source.Log = decoder{}, p.clock, r, zerolog.Nop()
	return p
}

// put applies entries with equal values at a revision and commits them.
func (p *Process) put(revision sardineknot.StoreRevision, keys ...string) {
	for _, k := range keys {
		p.applyEntry(sardineknot.StoreEntry{Key: k, Value: []byte("s"), Revision: revision})
	}
	p.commitEntries(revision)
}

// checkPassedOn checks the number and the era of the entries that other hosts
// get.
func checkPassedOn(t *testing.T, p *Process, count int, revision sardineknot.StoreRevision) {
	t.Helper()
	is := is.New(t)
	l, n := p.entries.Snapshot()
	is.Equal(len(l), count)
	is.Equal(n, revision)
	for _, e := range l {
		is.Equal(e.Revision.Era, revision.Era)
	}
}

// TestPassedOnInNewEra covers a follower after the store came back from an older
// copy: an entry that tells the follower nothing new must still reach hosts that
// read the new era from it.
func TestPassedOnInNewEra(t *testing.T) {
	p := newTestProcess()
	p.put(sardineknot.StoreRevision{Number: 10}, "one", "two")
	checkPassedOn(t, p, 2, sardineknot.StoreRevision{Number: 10})
	p.put(sardineknot.StoreRevision{Era: 1, Number: 5}, "one", "two", "three")
	checkPassedOn(t, p, 3, sardineknot.StoreRevision{Era: 1, Number: 5})
	p.put(sardineknot.StoreRevision{Era: 1, Number: 6}, "one")
	checkPassedOn(t, p, 3, sardineknot.StoreRevision{Era: 1, Number: 6})
}

// reportDecoder is like decoder, but the value of an entry is the number of the server's
// report.
type reportDecoder struct{ decoder }

func (reportDecoder) DecodeServer(entry sardineknot.StoreEntry) (sardineknot.BackendServer, bool, error) {
	n, err := strconv.ParseInt(string(entry.Value), 10, 64)
	return sardineknot.BackendServer{Name: sardineknot.BackendServerName(entry.Key), Service: "s", Born: 1, Sequence: n}, true, err
}

// TestDepartedServerOfOlderCopy guards against a server that has left and is in use again
// at hosts that read from this one, because the store was restored from an older copy which
// holds its entry. They have not seen its later reports.
func TestDepartedServerOfOlderCopy(t *testing.T) {
	p := newTestProcess()
	p.source.Decoder = reportDecoder{}
	report := func(revision sardineknot.StoreRevision, value string) {
		p.applyEntry(sardineknot.StoreEntry{Key: "one", Value: []byte(value), Revision: revision})
		p.commitEntries(revision)
	}
	report(sardineknot.StoreRevision{Number: 1}, "1")
	report(sardineknot.StoreRevision{Number: 2}, "45") // contains nothing new
	checkPassedOn(t, p, 1, sardineknot.StoreRevision{Number: 2})
	p.applyEntry(sardineknot.StoreEntry{Key: "one"})
	p.commitEntries(sardineknot.StoreRevision{Number: 3})
	checkPassedOn(t, p, 0, sardineknot.StoreRevision{Number: 3})
	report(sardineknot.StoreRevision{Era: 1, Number: 2}, "30")
	checkPassedOn(t, p, 0, sardineknot.StoreRevision{Era: 1, Number: 2})
	report(sardineknot.StoreRevision{Era: 1, Number: 3}, "46") // it is alive after all
	checkPassedOn(t, p, 1, sardineknot.StoreRevision{Era: 1, Number: 3})
}

// serverDecoder decodes entries whose values are servers as JSON, and a configuration with
// two services of engines.
type serverDecoder struct{ decoder }

func (serverDecoder) DecodeConfiguration(entry sardineknot.StoreEntry) (*sardineknot.Configuration, bool, error) {
	e := &sardineknot.EngineLimits{Slots: 24, MemoryTokens: 1000}
	c := &sardineknot.Configuration{Revision: 1, Services: []sardineknot.Service{{Name: "s", Engine: e}, {Name: "other", Engine: e}}}
	return c, entry.Key == "configuration", nil
}

func (serverDecoder) DecodeServer(entry sardineknot.StoreEntry) (sardineknot.BackendServer, bool, error) {
	var b sardineknot.BackendServer
	err := json.Unmarshal(entry.Value, &b)
	return b, true, errors.WithStack(err)
}

// newServerProcess returns a process that has read the configuration of serverDecoder.
func newServerProcess() *Process {
	p := newTestProcess()
	p.source.Decoder = serverDecoder{}
	p.source.Apply(sardineknot.StoreEntry{Key: "configuration", Revision: sardineknot.StoreRevision{Number: 1}})
	return p
}

// report applies a report of the server "one" and commits it.
func (p *Process) report(t *testing.T, revision sardineknot.StoreRevision, server sardineknot.BackendServer) {
	t.Helper()
	v, err := json.Marshal(server)
	is.New(t).NoErr(err)
	p.applyEntry(sardineknot.StoreEntry{Key: "one", Value: v, Revision: revision})
	p.commitEntries(revision)
}

// serverReportChanges lists changes of a server between two reports.
var serverReportChanges = []struct {
	name   string
	change func(b *sardineknot.BackendServer)
}{
	{"it is leaving", func(b *sardineknot.BackendServer) { b.State = sardineknot.BackendLeaving }},
	{"it has another role", func(b *sardineknot.BackendServer) { b.Role = sardineknot.RoleDecode }},
	{"it has fewer slots", func(b *sardineknot.BackendServer) { b.Slots = 1 }},
	{"it has less memory", func(b *sardineknot.BackendServer) { b.MemoryPieces = 1 }},
	{"it offers another service", func(b *sardineknot.BackendServer) { b.Service = "other" }},
	{"it serves another model", func(b *sardineknot.BackendServer) { b.Model, b.Version = "other", "2" }},
	{"it checks fencing tokens", func(b *sardineknot.BackendServer) { b.ChecksFencing = true }},
	{"it is the next process, with other software", func(b *sardineknot.BackendServer) { b.Born, b.SoftwareVersion, b.Sequence = 2, "v2", 1 }},
}

// TestServerOfOlderCopy guards against a host that starts after the store was restored from
// an older copy, and acts on what a server reported before: it sends requests to one that is
// leaving, for one. The hosts that it reads from act on the later report, which the store has
// again, but handed on the entry of the copy.
func TestServerOfOlderCopy(t *testing.T) {
	earlier := sardineknot.BackendServer{
		Name: "one", Role: sardineknot.RolePrefill, Service: "s", Model: "m", Version: "1", Slots: 24, MemoryPieces: 9,
		Born: 1, Sequence: 4, SoftwareVersion: "v1", State: sardineknot.BackendJoining,
	}
	for _, c := range serverReportChanges {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			later := earlier
			later.Sequence++
			c.change(&later)
			p := newServerProcess()
			p.report(t, sardineknot.StoreRevision{Number: 4}, earlier)
			p.report(t, sardineknot.StoreRevision{Number: 5}, later)
			p.report(t, sardineknot.StoreRevision{Era: 1, Number: 4}, earlier) // the older copy
			later.Sequence++
			p.report(t, sardineknot.StoreRevision{Era: 1, Number: 5}, later) // contains nothing new
			q := newServerProcess()
			l, n := p.entries.Snapshot()
			for _, e := range l {
				q.applyEntry(e)
			}
			q.commitEntries(n)
			is.Equal(len(p.source.Current().BackendServers), 1)
			is.Equal(q.source.Current().BackendServers, p.source.Current().BackendServers)
		})
	}
}

// TestBeginWithHosts guards against a host that reads all keys of the store although
// others could give it theirs, because it has seen none when it selects the followers.
func TestBeginWithHosts(t *testing.T) {
	put := func(p *Process, id string) {
		p.applyEntry(sardineknot.StoreEntry{
			Key: membership.KeyPrefix + id, Revision: sardineknot.StoreRevision{Number: 1},
			Value: fmt.Appendf(nil, `{"Incarnation":1,"CallerAddress":"10.0.0.1:1","PeerAddress":"10.0.0.1:2","Leaving":%t}`, strings.HasPrefix(id, "leaving")),
		})
	}
	t.Run("a host without a key waits until it is written", func(t *testing.T) {
		is := is.New(t)
		p := newTestProcess()
		put(p, "b")
		is.Equal(p.beginWithHosts(0), registrationWait)
		is.Equal(len(p.registry.Hosts()), 2)
		put(p, "c")
		is.Equal(p.beginWithHosts(1), registrationWait)
		put(p, "a")
		is.Equal(p.beginWithHosts(2), time.Duration(0))
		is.Equal(len(p.registry.Hosts()), 3)
	})
	t.Run("a host that finds only keys of hosts that were stopped waits once", func(t *testing.T) {
		is := is.New(t)
		p := newTestProcess()
		put(p, "a")
		put(p, "leaving-1")
		is.Equal(p.beginWithHosts(0), registrationWait)
		is.Equal(p.beginWithHosts(1), time.Duration(0))
	})
	t.Run("a host that cannot write its key goes on", func(t *testing.T) {
		is.New(t).Equal(newTestProcess().beginWithHosts(maxRegistrationWaits), time.Duration(0))
	})
	t.Run("a host whose earlier key is there does not wait", func(t *testing.T) {
		p := newTestProcess()
		put(p, "a")
		is.New(t).Equal(p.beginWithHosts(0), time.Duration(0))
	})
}
