package rolebalance

import (
	"sardineknot.example/sardineknot"
)

// group is the engines of one role.
type group struct {
	demand  sardineknot.EngineDemand
	servers []sardineknot.BackendServer
	// speed is the sum of the speeds of servers.
	speed float64
	// zones counts the servers in each zone that do not change their role. taken
	// marks those that do. count is their number, and moved the sum of their
	// speeds.
	zones map[sardineknot.AvailabilityZone]int
	taken map[sardineknot.BackendServerName]bool
	count int
	moved float64
}

func newGroup(demand sardineknot.EngineDemand) *group {
	return &group{
		demand: demand,
		zones:  make(map[sardineknot.AvailabilityZone]int),
		taken:  make(map[sardineknot.BackendServerName]bool),
	}
}

func (g *group) add(server sardineknot.BackendServer) {
	g.servers = append(g.servers, server)
	g.speed += g.speedOf(server)
	g.zones[server.Zone]++
}

// speedOf returns the speed of a server relative to the usual one.
func (g *group) speedOf(server sardineknot.BackendServer) float64 {
	if v, ok := g.demand.Speeds[server.Name]; ok {
		return v
	}
	return 1
}

// slowest returns the speed of the slowest server that is left, or zero if none is.
func (g *group) slowest() float64 {
	i := g.next(sardineknot.RoleDecode)
	if i < 0 {
		return 0
	}
	return g.speedOf(g.servers[i])
}

// next returns the index of the server that gets role next, or -1 if none is left:
// the slowest if it is to decode, the fastest if it is to prefill. Among servers of
// one speed it is one of the zone that has most of those left, so that zones stay
// alike.
func (g *group) next(role sardineknot.BackendRole) int {
	b := -1
	for i, s := range g.servers {
		if !g.taken[s.Name] && (b < 0 || g.precedes(s, g.servers[b], role)) {
			b = i
		}
	}
	return b
}

// precedes reports whether a gets role before b.
func (g *group) precedes(a, b sardineknot.BackendServer, role sardineknot.BackendRole) bool {
	x, y := g.speedOf(a), g.speedOf(b)
	if x != y {
		return (x < y) == (role == sardineknot.RoleDecode)
	}
	return g.zones[a.Zone] >= g.zones[b.Zone]
}

// change returns changes of at most limit servers to role, as long as needed
// reports that another one is needed.
func (g *group) change(role sardineknot.BackendRole, limit int, needed func() bool) []RoleChange {
	var r []RoleChange
	for len(r) < limit && needed() {
		i := g.next(role)
		if i < 0 {
			return r
		}
		s := g.servers[i]
		g.taken[s.Name] = true
		g.zones[s.Zone]--
		g.count++
		g.moved += g.speedOf(s)
		r = append(r, RoleChange{Server: s, Role: role})
	}
	return r
}
