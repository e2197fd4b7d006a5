package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/backend/breaker"
	configuration "sardineknot.example/sardineknot/internal/configuration/store"
	"sardineknot.example/sardineknot/internal/membership/followers"
	"sardineknot.example/sardineknot/internal/membership/rendezvous"
	membership "sardineknot.example/sardineknot/internal/membership/store"
	"sardineknot.example/sardineknot/internal/orders/ledger"
	"sardineknot.example/sardineknot/internal/platform/changelog"
	"sardineknot.example/sardineknot/internal/platform/rewrite"
	feed "sardineknot.example/sardineknot/internal/platform/twirp"
	"sardineknot.example/sardineknot/internal/policy/memory"
	quarantinestore "sardineknot.example/sardineknot/internal/quarantine/store"
	"sardineknot.example/sardineknot/internal/slots/twirp"
	"sardineknot.example/sardineknot/internal/versions/history"
	versions "sardineknot.example/sardineknot/internal/versions/twirp"
)

const (
	benchServers = 3000
	benchHosts   = 300
	// benchWrites is the number of writes of servers in a second, each every 1.2 s.
	benchWrites = benchServers * 10 / 12
	// benchChanges is the number of writes in a second that change a server.
	benchChanges = 4
)

// jsonDecoder decodes entries of servers as the platform's decoder does.
type jsonDecoder struct{}

func (jsonDecoder) DecodeConfiguration(e sardineknot.StoreEntry) (*sardineknot.Configuration, bool, error) {
	if e.Key != "configuration" {
		return nil, false, nil
	}
	c := &sardineknot.Configuration{Revision: 1}
	for i := range 24 {
		v := sardineknot.Service{Name: sardineknot.ServiceName(fmt.Sprint("svc-", i))}
		if i < 4 {
			v.Engine = &sardineknot.EngineLimits{Slots: 48, MemoryTokens: 76691, EventTokens: 73}
		}
		c.Services = append(c.Services, v)
	}
	return c, true, nil
}

func (jsonDecoder) Redact(entry sardineknot.StoreEntry) sardineknot.StoreEntry { return entry }

func (jsonDecoder) DecodeServer(e sardineknot.StoreEntry) (sardineknot.BackendServer, bool, error) {
	n, ok := strings.CutPrefix(e.Key, "servers/")
	if !ok {
		return sardineknot.BackendServer{}, false, nil
	}
	var r struct {
		Service, Addr, Zone, State, Version, Stage string
		Slots                                      int
		Born, Sequence                             int64
		Models                                     []struct{ Name string }
	}
	err := json.Unmarshal(e.Value, &r)
	if err != nil {
		return sardineknot.BackendServer{}, true, err
	}
	b := sardineknot.BackendServer{
		Name: sardineknot.BackendServerName(n), Address: netip.MustParseAddrPort(r.Addr), Service: r.Service, Zone: sardineknot.AvailabilityZone(r.Zone),
		Slots: r.Slots, SoftwareVersion: sardineknot.SoftwareVersion(r.Version), Born: r.Born, Role: sardineknot.RolePlain, State: sardineknot.BackendJoining,
	}
	switch r.Stage {
	case "prefill":
		b.Role, b.Model = sardineknot.RolePrefill, r.Models[0].Name
	case "decode":
		b.Role, b.Model = sardineknot.RoleDecode, r.Models[0].Name
	}
	return b, true, nil
}

// SameServer reports whether next differs from previous in its sequence only.
func (jsonDecoder) SameServer(previous, next []byte) bool {
	return rewrite.OnlyCounted(previous, next, "sequence")
}

// benchEntry returns the entry of server i, born and written at the given times. Four
// fifths of the servers are engines of four services, the others serve 20 services.
func benchEntry(i int, born, sequence int64) sardineknot.StoreEntry {
	s, m := i%4, `,"stage":"decode","models":[{"name":"model-a","version":1,"loadedAt":1733335000000}]`
	switch {
	case i%5 == 4:
		s, m = 4+i/5%20, ""
	case i%5 == 0:
		m = strings.Replace(m, "decode", "prefill", 1)
	}
	v := fmt.Sprintf(`{"service":"svc-%d","addr":"10.%d.%d.7:8080","zone":"zone-%d","version":"v1","slots":48,"state":"ready","coldLeftMs":0,"born":%d,"sequence":%d,"memory":{"used":0,"total":76691},"host":"instance-%05d.internal"%s}`,
		s, i>>8, i&255, i%6, 1733335000000+born, sequence, i, m)
	return sardineknot.StoreEntry{Key: fmt.Sprintf("servers/i-%05d", i*7919%100000), Value: []byte(v), Revision: sardineknot.StoreRevision{Number: 1 + sequence}}
}

// benchProcess is a host among benchHosts hosts before benchServers servers.
type benchProcess struct {
	*Process
	history history.History
}

func newBenchProcess() *benchProcess {
	h := func(i int) sardineknot.EntryHost {
		return sardineknot.EntryHost{
			ID: sardineknot.EntryHostID(fmt.Sprintf("host-%03d", i)), Zone: sardineknot.AvailabilityZone(fmt.Sprint("zone-", i%6)), Incarnation: 1,
			CallerAddress: netip.MustParseAddrPort("10.0.0.1:1"), PeerAddress: netip.MustParseAddrPort("10.0.0.1:2"), Processor: 0.12 + float64(i%7)/10,
		}
	}
	p := &Process{registry: membership.NewRegistry(h(0)), source: configuration.NewSource(), entries: changelog.NewLog(), EntryDecoder: jsonDecoder{}, keeper: &quarantinestore.Keeper{}}
	p.feed = &feed.Feed{Entries: p.entries, Clock: p.clock}
	p.committed = true // no other host is there to be queried
	p.versions = versions.NewDirectory(p.clock)
	p.orders = ledger.NewLedger(nil, p.clock, p.registry.Self(), p.clock.Sleep)
	r := func() (bool, time.Time) { return true, time.Time{} }
	p.registry.Clock, p.registry.Reachability, p.registry.Log = p.clock, r, zerolog.Nop()
	p.source.Decoder, p.source.Clock, p.source.Reachability, p.source.Log = jsonDecoder{}, p.clock, r, zerolog.Nop()
	p.followers = followers.NewSelector(p.registry)
	p.slots = &twirp.Pool{
		Members: p.registry, Ranker: rendezvous.NewRanker(p.registry), Source: p.source, Clock: p.clock, Random: rand.New(rand.NewPCG(1, 2)),
		CreateScheduler: func(sardineknot.PoolName) sardineknot.Scheduler { return memory.NewScheduler() },
		MaxShardServers: maxShardServers, ActAsOwner: true,
	}
	for i := range benchHosts {
		e := h(i)
		v, _ := json.Marshal(struct {
			Incarnation                int
			CallerAddress, PeerAddress string
			Zone                       string
			Processor                  float64
		}{1, "10.0.0.1:1", "10.0.0.1:2", string(e.Zone), e.Processor})
		p.applyEntry(sardineknot.StoreEntry{Key: "hosts/" + string(e.ID), Value: v, Revision: sardineknot.StoreRevision{Number: 1}})
	}
	return &benchProcess{Process: p}
}

// start reads all entries.
func (p *benchProcess) start(entries []sardineknot.StoreEntry) {
	for _, e := range entries {
		p.applyEntry(e)
	}
	p.commit(1)
}

// commit puts the applied entries in force, as the goroutines of a host do.
func (p *benchProcess) commit(revision int64) {
	p.commitEntries(sardineknot.StoreRevision{Number: revision})
	p.slots.OwnedShards()
	p.history.Observe(p.clock.Now(), p.source.Current().BackendServers)
	_, _ = p.slots.Acquire(context.Background(), sardineknot.Job{}) // applies the configuration
}

func benchEntries() []sardineknot.StoreEntry {
	l := []sardineknot.StoreEntry{{Key: "configuration", Value: []byte("{}"), Revision: sardineknot.StoreRevision{Number: 1}}}
	for i := range benchServers {
		l = append(l, benchEntry(i, 0, 0))
	}
	return l
}

// second plays one second of a host, which reads the given writes and changes, both
// in the order in which it reads them.
func (p *benchProcess) second(writes, changes []sardineknot.StoreEntry) {
	n := max(1, len(writes)/len(changes))
	for _, e := range changes {
		for _, w := range writes[:min(n, len(writes))] {
			p.applyEntry(w)
		}
		writes = writes[min(n, len(writes)):]
		p.applyEntry(e)
		p.commit(e.Revision.Number)
	}
	for range 10 { // polls, and renewals of the lease
		p.followers.FollowsStore()
		p.followers.Peers()
		p.registry.Refresh()
	}
}

// benchSecond measures one second of a host that reads the given number of writes
// that change nothing, and benchChanges that change a server.
func benchSecond(b *testing.B, count int) {
	p := newBenchProcess()
	p.start(benchEntries())
	b.ReportAllocs()
	n := int64(1)
	for b.Loop() {
		b.StopTimer()
		var w, c []sardineknot.StoreEntry
		for range count {
			n++
			w = append(w, benchEntry(int(n)%(benchServers-benchChanges), 0, n))
		}
		for i := range benchChanges {
			n++
			c = append(c, benchEntry(benchServers-1-i, n, n))
		}
		b.StartTimer()
		p.second(w, c)
	}
}

// BenchmarkSecond measures the processor time for one second before 3,000 servers.
func BenchmarkSecond(b *testing.B) {
	b.Run("follower", func(b *testing.B) { benchSecond(b, benchWrites) })
	b.Run("other", func(b *testing.B) { benchSecond(b, 0) })
}

// BenchmarkCall measures what a call looks up: the servers of its pool, and one of
// them.
func BenchmarkCall(b *testing.B) {
	p := newBenchProcess()
	p.start(benchEntries())
	c := breaker.NewSet(rand.NewPCG(1, 2))
	b.ReportAllocs()
	for b.Loop() {
		l := p.source.Current().AcceptingServers(sardineknot.PlainPoolName("svc-5"))
		s, _, ok := c.Pick(p.clock.Now(), l, nil)
		if !ok {
			b.Fatal("no server")
		}
		c.Done(p.clock.Now(), s.Name, breaker.Succeeded)
	}
}

// BenchmarkStart measures a start from nothing, with the snapshot of a follower.
func BenchmarkStart(b *testing.B) {
	f := newBenchProcess()
	f.start(benchEntries())
	b.ReportAllocs()
	for b.Loop() {
		p := newBenchProcess()
		l, n := f.entries.Snapshot()
		p.start(l)
		if len(p.source.Current().BackendServers) != benchServers || n.Number != 1 {
			b.Fatal("incomplete")
		}
	}
}

// BenchmarkWatch measures what a follower reads from the store in one second, in the
// format of the platform, and the time to decode it.
func BenchmarkWatch(b *testing.B) {
	type item struct {
		Key      string `json:"key"`
		Value    []byte `json:"value"`
		Revision int64  `json:"revision"`
	}
	var l []item
	for i := range benchWrites {
		e := benchEntry(i, 0, int64(1000000+i))
		l = append(l, item{e.Key, e.Value, e.Revision.Number})
	}
	v, _ := json.Marshal(l)
	b.ReportAllocs()
	for b.Loop() {
		if json.Unmarshal(v, &l) != nil {
			b.Fatal("not decoded")
		}
	}
	b.ReportMetric(float64(len(v)), "bytes/s")
}
