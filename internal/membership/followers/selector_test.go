package followers_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/membership/followers"
)

// members is a fake sardineknot.Membership of one host.
type members struct {
	sardineknot.Membership
	self  int
	hosts []sardineknot.EntryHost
}

func (m *members) Self() sardineknot.EntryHost    { return m.hosts[m.self] }
func (m *members) Hosts() []sardineknot.EntryHost { return m.hosts }

// newHosts returns hosts that are spread evenly over zones.
func newHosts(count, zones int) []sardineknot.EntryHost {
	var l []sardineknot.EntryHost
	for i := range count {
		l = append(l, sardineknot.EntryHost{ID: sardineknot.EntryHostID(fmt.Sprint(i)), Zone: sardineknot.AvailabilityZone(fmt.Sprint(i % zones))})
	}
	return l
}

// selected returns the followers of each zone.
func selected(hosts []sardineknot.EntryHost) map[sardineknot.AvailabilityZone][]sardineknot.EntryHost {
	m := make(map[sardineknot.AvailabilityZone][]sardineknot.EntryHost)
	for i, h := range hosts {
		if followers.NewSelector(&members{self: i, hosts: hosts}).FollowsStore() {
			m[h.Zone] = append(m[h.Zone], h)
		}
	}
	return m
}

// TestStrongLinks guards against followers over whose weak links all hosts of a zone read,
// although there are hosts with strong ones.
func TestStrongLinks(t *testing.T) {
	check := func(name string, links []float64, want ...int) {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := newHosts(len(links), 1)
			for i, n := range links {
				l[i].LinkMegabits = n
			}
			var r []int
			for i := range l {
				if followers.NewSelector(&members{self: i, hosts: l}).FollowsStore() {
					r = append(r, i)
				}
			}
			is.Equal(r, want)
		})
	}
	check("two strong links", []float64{25, 10, 200, 25, 150, 10, 0}, 2, 4)
	check("one strong link", []float64{25, 10, 200, 25, 99, 10, 0}, 2, 4)
	check("hosts that state no link", []float64{0, 0, 10, 0, 10}, 2, 4)
	check("no host states its link", []float64{0, 0}, 0, 1)
}

func TestSelector(t *testing.T) {
	t.Run("two hosts of each zone follow the service", func(t *testing.T) {
		is := is.New(t)
		f := selected(newHosts(295, 6))
		is.Equal(len(f), 6)
		for _, l := range f {
			is.Equal(len(l), 2)
		}
	})
	t.Run("all hosts of a small zone do", func(t *testing.T) {
		is.New(t).Equal(len(selected(newHosts(4, 4))), 4)
	})
	t.Run("strong hosts do before weak ones", func(t *testing.T) {
		is := is.New(t)
		l := newHosts(60, 3)
		for i := range l {
			l[i].Processor = 0.2
			if i < 6 {
				l[i].Processor = 0.8
			}
		}
		for _, f := range selected(l) {
			is.Equal(len(f), 2)
			is.Equal(f[0].Processor, 0.8)
			is.Equal(f[1].Processor, 0.8)
		}
	})
	t.Run("a dead follower is replaced", func(t *testing.T) {
		is := is.New(t)
		l := newHosts(60, 3)
		f := selected(l)["0"][0]
		for i := range l {
			if l[i].ID == f.ID {
				l[i].State = sardineknot.EntryHostDead
			}
		}
		n := 0
		for _, h := range selected(l)["0"] {
			if h.State == sardineknot.EntryHostAlive {
				n++
			}
		}
		is.Equal(n, 2)
	})
}

func TestPeers(t *testing.T) {
	t.Run("peers of the own zone come first", func(t *testing.T) {
		is := is.New(t)
		l := newHosts(60, 3)
		for i := range l {
			p := followers.NewSelector(&members{self: i, hosts: l}).Peers()
			is.True(len(p) == 6 || len(p) == 5)
			is.Equal(p[0].Zone, l[i].Zone)
		}
	})
}

// TestSelectionChanges guards against a selection that is kept although the membership
// has changed, also in place.
func TestSelectionChanges(t *testing.T) {
	is := is.New(t)
	m := &members{hosts: newHosts(1, 1)}
	s := followers.NewSelector(m)
	is.True(s.FollowsStore())
	m.hosts = newHosts(3, 1)
	is.True(len(s.Peers()) > 0)
	m.hosts[0].State = sardineknot.EntryHostLeaving
	is.True(!s.FollowsStore())
	is.Equal(len(s.Peers()), 2)
	m.hosts[0].State = sardineknot.EntryHostAlive
	m.hosts[1].State, m.hosts[2].State = sardineknot.EntryHostDead, sardineknot.EntryHostDead
	is.True(s.FollowsStore())
	is.Equal(len(s.Peers()), 0)
}

// BenchmarkSelector measures what a host spends on the selection before each poll.
func BenchmarkSelector(b *testing.B) {
	s := followers.NewSelector(&members{hosts: newHosts(300, 6)})
	for b.Loop() {
		s.Peers()
	}
}
