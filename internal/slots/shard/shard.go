// Package shard splits pools of backend servers into shards that are owned
// independently.
//
// The split is a function of the configuration alone, so that all entry hosts
// with the same configuration compute the same one. A pool of at most
// maxServers is one shard. A larger pool is split zone by zone, and a large
// zone further. Every shard holds servers of every role; the zones that lack
// one are put together. A server that joins or goes moves few others.
package shard

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"sardineknot.example/sardineknot"
)

// maxServers is the greatest size of a shard that is not split.
const maxServers = 16

// Shard is a part of a pool.
type Shard struct {
	// Name is unique in a configuration. Owners are ranked by it.
	Name string
	// Pool is the pool that the shard is part of.
	Pool sardineknot.PoolName
	// Zone is empty for a shard with servers of several zones.
	Zone sardineknot.AvailabilityZone
	// Servers is ordered by name and holds servers in any declared state.
	Servers []sardineknot.BackendServer
}

// Joining returns the servers of s that accept new work.
func (s Shard) Joining() []sardineknot.BackendServer {
	var l []sardineknot.BackendServer
	for _, b := range s.Servers {
		if b.State == sardineknot.BackendJoining {
			l = append(l, b)
		}
	}
	return l
}

// Split returns the shards of the engine pools in c, by pool.
func Split(c *sardineknot.Configuration) map[sardineknot.PoolName][]Shard {
	p := make(map[sardineknot.PoolName][]sardineknot.BackendServer)
	for _, s := range c.BackendServers {
		if s.Role != sardineknot.RolePlain {
			p[s.Pool()] = append(p[s.Pool()], s)
		}
	}
	m := make(map[sardineknot.PoolName][]Shard, len(p))
	for n, l := range p {
		m[n] = splitPool(n, l)
	}
	return m
}

func splitPool(n sardineknot.PoolName, l []sardineknot.BackendServer) []Shard {
	if len(l) <= maxServers {
		return []Shard{newShard(n, "", 0, l)}
	}
	z := make(map[sardineknot.AvailabilityZone][]sardineknot.BackendServer)
	for _, s := range l {
		z[s.Zone] = append(z[s.Zone], s)
	}
	var r []Shard
	var o []sardineknot.BackendServer
	for _, k := range sortedZones(z) {
		if parts(z[k]) == 0 {
			o = append(o, z[k]...)
			continue
		}
		r = append(r, splitZone(n, k, z[k])...)
	}
	if len(o) == 0 {
		return r
	}
	return append(r, splitZone(n, "", o)...)
}

func splitZone(n sardineknot.PoolName, z sardineknot.AvailabilityZone, l []sardineknot.BackendServer) []Shard {
	p := make([][]sardineknot.BackendServer, max(parts(l), 1))
	for _, r := range byRole(l) {
		deal(n, r, p)
	}
	var s []Shard
	for i := range p {
		s = append(s, newShard(n, z, i, p[i]))
	}
	return s
}

// parts returns the number of shards for the servers l of a zone, which is
// zero if a role is missing. It is a power of two where the roles allow it, so
// that it seldom changes.
func parts(l []sardineknot.BackendServer) int {
	r := byRole(l)
	if len(r) < 2 {
		return 0
	}
	n := 1
	for n*maxServers < len(l) {
		n *= 2
	}
	for _, s := range r {
		n = min(n, len(s))
	}
	return n
}

// deal adds the servers l to the parts p, evenly. Each goes to the part that
// ranks first for it among those with room.
func deal(n sardineknot.PoolName, l []sardineknot.BackendServer, p [][]sardineknot.BackendServer) {
	c := make([]int, len(p))
	f := len(l) / len(p)
	for i, s := range l {
		m := f
		if i >= f*len(p) {
			m = f + 1
		}
		b := -1
		var w uint64
		for j := range p {
			v := xxhash.Sum64String(fmt.Sprintf("%s\x00%s\x00%d", n, s.Name, j))
			if c[j] < m && (b < 0 || v > w) {
				b, w = j, v
			}
		}
		c[b]++
		p[b] = append(p[b], s)
	}
}

// byRole groups l by role, in the order of the roles' names.
func byRole(l []sardineknot.BackendServer) [][]sardineknot.BackendServer {
	m := make(map[sardineknot.BackendRole][]sardineknot.BackendServer)
	for _, s := range l {
		m[s.Role] = append(m[s.Role], s)
	}
	var r [][]sardineknot.BackendServer
	for _, k := range []sardineknot.BackendRole{sardineknot.RoleDecode, sardineknot.RolePrefill} {
		if len(m[k]) > 0 {
			r = append(r, m[k])
		}
	}
	return r
}

func sortedZones(m map[sardineknot.AvailabilityZone][]sardineknot.BackendServer) []sardineknot.AvailabilityZone {
	l := make([]sardineknot.AvailabilityZone, 0, len(m))
	for z := range m {
		l = append(l, z)
	}
	slices.Sort(l)
	return l
}

func newShard(n sardineknot.PoolName, z sardineknot.AvailabilityZone, i int, l []sardineknot.BackendServer) Shard {
	slices.SortFunc(l, func(a, b sardineknot.BackendServer) int { return cmp.Compare(a.Name, b.Name) })
	return Shard{Name: string(n) + "#" + string(z) + "#" + strconv.Itoa(i), Pool: n, Zone: z, Servers: l}
}
