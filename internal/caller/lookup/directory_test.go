package lookup_test

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/caller/lookup"
)

const limit = 64

var caller = netip.MustParseAddr("10.9.0.1")

// members is a fake sardineknot.Membership with a fixed list of hosts.
type members struct {
	sardineknot.Membership
	hosts []sardineknot.EntryHost
}

func (m *members) Hosts() []sardineknot.EntryHost { return m.hosts }

// newMembers returns a membership with the given number of hosts, which are
// spread evenly over zones.
func newMembers(count, zones int) *members {
	m := &members{}
	for i := range count {
		m.hosts = append(m.hosts, sardineknot.EntryHost{
			ID: sardineknot.EntryHostID(fmt.Sprintf("host-%d", i)), Zone: sardineknot.AvailabilityZone(fmt.Sprintf("zone-%d", i%zones)),
		})
	}
	return m
}

// mark sets the state of all hosts of a zone.
func (m *members) mark(zone sardineknot.AvailabilityZone, state sardineknot.EntryHostState) {
	for i := range m.hosts {
		if m.hosts[i].Zone == zone {
			m.hosts[i].State = state
		}
	}
}

// countInZone returns the number of hosts that are in zone.
func countInZone(hosts []sardineknot.EntryHost, zone sardineknot.AvailabilityZone) int {
	n := 0
	for _, h := range hosts {
		if h.Zone == zone {
			n++
		}
	}
	return n
}

func TestSizes(t *testing.T) {
	for _, c := range []struct {
		hosts, zones int
		// want is the number of hosts in an answer, and wantNear that of hosts
		// in the caller's zone.
		want, wantNear int
	}{
		{7, 1, 7, 7},
		{7, 6, 7, 2},
		{64, 1, 64, 64},
		{64, 6, 16, 11},
		{65, 1, 64, 64},
		{65, 6, 16, 11},
		{295, 1, 64, 64},
		{295, 6, 50, 50},
		{1000, 1, 64, 64},
		{1000, 6, 64, 64},
	} {
		t.Run(fmt.Sprintf("%d hosts in %d zones", c.hosts, c.zones), func(t *testing.T) {
			is := is.New(t)
			l := lookup.NewDirectory(newMembers(c.hosts, c.zones)).Hosts(caller, "zone-0", limit)
			is.Equal(len(l), c.want)
			is.Equal(countInZone(l, "zone-0"), c.wantNear)
		})
	}
}

// TestManySmallHosts covers the load "many small entry hosts": callers that all
// get the same hosts leave the others idle.
func TestManySmallHosts(t *testing.T) {
	t.Run("callers of a zone use all of its hosts", func(t *testing.T) {
		is := is.New(t)
		d := lookup.NewDirectory(newMembers(1000, 6))
		u := make(map[sardineknot.EntryHostID]int)
		for i := range 200 {
			for _, h := range d.Hosts(netip.AddrFrom4([4]byte{10, 9, 0, byte(i)}), "zone-0", limit) {
				u[h.ID]++
			}
		}
		is.Equal(len(u), 167)
		for _, n := range u {
			is.True(n < 3*200*limit/167)
		}
	})
	t.Run("the answer for a caller changes only with the hosts", func(t *testing.T) {
		is := is.New(t)
		m := newMembers(295, 6)
		d := lookup.NewDirectory(m)
		a := d.Hosts(caller, "zone-0", limit)
		is.Equal(a, d.Hosts(caller, "zone-0", limit))
		m.mark("zone-1", sardineknot.EntryHostDead)
		is.Equal(a, d.Hosts(caller, "zone-0", limit))
	})
	t.Run("a zone that is lost is served by the others", func(t *testing.T) {
		is := is.New(t)
		m := newMembers(295, 6)
		m.mark("zone-0", sardineknot.EntryHostDead)
		l := lookup.NewDirectory(m).Hosts(caller, "zone-0", limit)
		is.Equal(countInZone(l, "zone-0"), 0)
		is.True(len(l) >= 16)
	})
	t.Run("a zone that has lost most hosts gets others besides", func(t *testing.T) {
		is := is.New(t)
		m := newMembers(295, 6)
		m.mark("zone-0", sardineknot.EntryHostLeaving)
		m.hosts[0].State = sardineknot.EntryHostAlive
		l := lookup.NewDirectory(m).Hosts(caller, "zone-0", limit)
		is.Equal(countInZone(l, "zone-0"), 1)
		is.True(len(l) >= 16)
	})
}
