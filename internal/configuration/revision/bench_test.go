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

// The size of a large deployment.
const (
	accounts = 3300
	servers  = 3100
)

// large returns the stored form of a large configuration. Its last account has
// a limit that depends on r.
func large(b *testing.B, r sardineknot.Revision) ([]byte, bundle.Set) {
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

// BenchmarkChange measures what one change of one account costs a host that
// fetches it from a peer.
func BenchmarkChange(b *testing.B) {
	x, y := NewTracker(), NewTracker()
	h, s := large(b, 1)
	_, err := x.Offer(h, s)
	is.New(b).NoErr(err)
	all := x.Answer(y.Request(true))
	_, err = y.Take(all)
	is.New(b).NoErr(err)
	h, s = large(b, 2)
	_, err = x.Offer(h, s)
	is.New(b).NoErr(err)
	p := x.Answer(y.Request(false))
	is.New(b).True(p.GetDifference())
	for b.Loop() {
		b.StopTimer()
		z := NewTracker()
		_, err = z.Take(all)
		is.New(b).NoErr(err)
		b.StartTimer()
		_, err = z.Take(p)
		is.New(b).NoErr(err)
	}
	b.ReportMetric(float64(proto.Size(p)), "B/change")
	b.ReportMetric(float64(proto.Size(all)), "B/boot")
}
