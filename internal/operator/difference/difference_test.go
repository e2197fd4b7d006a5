package difference_test

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/operator/difference"
)

func configuration() *sardineknot.Configuration {
	return &sardineknot.Configuration{
		Contracts: []sardineknot.Contract{
			{Account: "a", Work: []sardineknot.Work{{Name: "x", Kind: sardineknot.WorkService, FirstToken: time.Second}}},
			{Account: "b", RequestsPerSecond: 2, Burst: 3},
		},
		BackendServers: []sardineknot.BackendServer{
			{Name: "p", Address: netip.MustParseAddrPort("127.0.0.1:1"), State: sardineknot.BackendJoining},
		},
		Links: []sardineknot.Link{{From: "z", To: "y", Delay: time.Millisecond}},
	}
}

func TestDifference(t *testing.T) {
	for _, c := range []struct {
		name     string
		change   func(*sardineknot.Configuration)
		expected string
	}{
		{"no change", func(*sardineknot.Configuration) {}, "0 to add, 0 to change, 0 to remove"},
		{"link with its zones exchanged", func(c *sardineknot.Configuration) { c.Links[0].From, c.Links[0].To = "y", "z" }, "0 to add, 0 to change, 0 to remove"},
		{"field no longer set", func(c *sardineknot.Configuration) { c.Contracts[0].Work[0].FirstToken = 0 }, "~ ClientAccount a|    Work[x].FirstToken: 1s -> not set|0 to add, 1 to change, 0 to remove"},
		{"new account", func(c *sardineknot.Configuration) {
			c.Contracts = append(c.Contracts, sardineknot.Contract{Account: "c", Burst: 1})
		}, "+ ClientAccount c|    Account: c|    Burst: 1|1 to add, 0 to change, 0 to remove"},
		{"all accounts removed", func(c *sardineknot.Configuration) { c.Contracts = nil }, "- ClientAccount a|- ClientAccount b|0 to add, 0 to change, 2 to remove"},
		{"new work", func(c *sardineknot.Configuration) {
			c.Contracts[1].Work = []sardineknot.Work{{Name: "y", Priority: 2}}
		}, "~ ClientAccount b|    Work[y].Name: y|    Work[y].Priority: 2|0 to add, 1 to change, 0 to remove"},
		{"leaving server", func(c *sardineknot.Configuration) { c.BackendServers[0].State = sardineknot.BackendLeaving }, "~ BackendServer p|    State: Joining -> Leaving|0 to add, 1 to change, 0 to remove"},
		{"changed link", func(c *sardineknot.Configuration) { c.Links[0].BytesPerSecond = 5 }, "~ Link y to z|    BytesPerSecond: 5|0 to add, 1 to change, 0 to remove"},
	} {
		t.Run(c.name, func(t *testing.T) {
			i := is.New(t)
			a := configuration()
			c.change(a)
			d := difference.NewDifference(configuration(), a)
			var b strings.Builder
			i.NoErr(d.Write(&b))
			i.Equal(strings.ReplaceAll(strings.TrimSpace(b.String()), "\n", "|"), c.expected)
			i.Equal(d.Empty(), c.expected == "0 to add, 0 to change, 0 to remove")
		})
	}
}
