package sardineknot_test

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"sardineknot.example/sardineknot"
)

// drawServers draws backend servers, ordered by name, of a few pools.
func drawServers(t *rapid.T) []sardineknot.BackendServer {
	var l []sardineknot.BackendServer
	for i := range 12 {
		if !rapid.Bool().Draw(t, "there") {
			continue
		}
		l = append(l, sardineknot.BackendServer{
			Name:    sardineknot.BackendServerName(fmt.Sprintf("server-%02d", i)),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i % 8)}), 1),
			Role:    rapid.SampledFrom([]sardineknot.BackendRole{sardineknot.RolePlain, sardineknot.RoleDecode}).Draw(t, "role"),
			Service: rapid.SampledFrom([]string{"", "s"}).Draw(t, "service"),
			Model:   rapid.SampledFrom([]string{"", "m"}).Draw(t, "model"),
			Version: rapid.SampledFrom([]string{"", "1"}).Draw(t, "version"),
			State:   rapid.SampledFrom([]sardineknot.BackendState{sardineknot.BackendJoining, sardineknot.BackendLeaving}).Draw(t, "state"),
		})
	}
	return l
}

// TestServerIndex guards against an index that differs from the list of servers: a
// call would go to a server that is gone, or to none although there is one.
func TestServerIndex(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		var c *sardineknot.Configuration
		for range 3 {
			n := &sardineknot.Configuration{}
			n.SetServers(drawServers(t), c)
			c = n
			p := &sardineknot.Configuration{BackendServers: c.BackendServers}
			is.Equal(c.Pools(), p.Pools())
			for n := range p.Pools() {
				is.Equal(c.AcceptingServers(n), p.AcceptingServers(n))
			}
			for i := range 12 {
				n := sardineknot.BackendServerName(fmt.Sprintf("server-%02d", i))
				a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1)
				s, ok := c.Server(n)
				u, k := p.Server(n)
				is.Equal(s, u)
				is.Equal(ok, k)
				s, ok = c.ServerAt(a)
				u, k = p.ServerAt(a)
				is.Equal(s, u)
				is.Equal(ok, k)
			}
		}
	})
}

// TestServersReplaced guards against an index that outlives its list.
func TestServersReplaced(t *testing.T) {
	is := is.New(t)
	c := &sardineknot.Configuration{}
	c.SetServers([]sardineknot.BackendServer{{Name: "a", Role: sardineknot.RolePlain, State: sardineknot.BackendJoining}}, nil)
	d := *c
	d.BackendServers = []sardineknot.BackendServer{{Name: "b", Role: sardineknot.RolePlain, State: sardineknot.BackendJoining}}
	is.Equal(len(d.AcceptingServers("service/")), 1)
	is.Equal(d.AcceptingServers("service/")[0].Name, sardineknot.BackendServerName("b"))
	_, ok := d.Server("a")
	is.True(!ok)
}
