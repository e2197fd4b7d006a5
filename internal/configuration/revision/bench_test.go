package revision

import (
	"net/netip"
	"strconv"
	"testing"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/configuration/bundle"
)

const (
	// accounts and servers are the numbers of client accounts and backend
	// servers in a large deployment.
	accounts = 3300
	servers  = 3100
)

// largeConfiguration returns the stored head and the bundles of a large
// configuration of revision r, in which the rate limit of the last account
// equals r.
func largeConfiguration(b *testing.B, r sardineknot.Revision) ([]byte, bundle.Set) {
	w := sardineknot.Work{
		Name: "trip-summary", Kind: sardineknot.WorkGeneration, Model: "skyrsla-llm", Version: "1",
		FirstToken: 1400 * time.Millisecond, PerToken: 34 * time.Millisecond, MaxTokens: 4000, Objective: 0.95,
	}
	c := &sardineknot.Configuration{}
	for i := range accounts {
		k := sardineknot.Contract{Account: sardineknot.ClientAccountName("account-" + strconv.Itoa(i)), RequestsPerSecond: 10, Burst: 20, Work: []sardineknot.Work{w, w, w}}
		if i == accounts-1 {
			k.RequestsPerSecond = float64(r)
		}
		c.Contracts = append(c.Contracts, k)
	}
	for i := range servers {
		c.BackendServers = append(c.BackendServers, sardineknot.BackendServer{
			Name: sardineknot.BackendServerName("decode-" + strconv.Itoa(i)), Address: netip.MustParseAddrPort("127.0.0.1:7100"),
			Zone: "reykjavik-a", Role: sardineknot.RoleDecode, Model: "skyrsla-llm", Version: "1", Slots: 20, State: sardineknot.BackendJoining,
		})
	}
	s, l, err := bundle.Split(c)
	is.New(b).NoErr(err)
	h, err := json.Marshal(sardineknot.ConfigurationHead{Revision: r, Bundles: l})
	is.New(b).NoErr(err)
	return h, s
}

// BenchmarkChange measures the cost of applying a change of one account that
// was fetched from a peer, and the sizes of the responses for that change and
// for a complete transfer.
func BenchmarkChange(b *testing.B) {
	x, y := NewTracker(), NewTracker()
	h, s := largeConfiguration(b, 1)
	_, err := x.Offer(h, s)
	is.New(b).NoErr(err)
	all := x.Respond(y.Request(true))
	_, err = y.Apply(all)
	is.New(b).NoErr(err)
	h, s = largeConfiguration(b, 2)
	_, err = x.Offer(h, s)
	is.New(b).NoErr(err)
	p := x.Respond(y.Request(false))
	is.New(b).True(p.GetDifference())
	for b.Loop() {
		b.StopTimer()
		z := NewTracker()
		_, err = z.Apply(all)
		is.New(b).NoErr(err)
		b.StartTimer()
		_, err = z.Apply(p)
		is.New(b).NoErr(err)
	}
	b.ReportMetric(float64(proto.Size(p)), "B/change")
	b.ReportMetric(float64(proto.Size(all)), "B/boot")
}
