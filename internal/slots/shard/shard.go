// Package shard splits pools of backend servers into shards that are owned
// independently.
//
// The shards depend only on the configuration, so that all entry hosts with
// the same configuration compute the same shards. A pool of at most a given
// number of servers is one shard. A larger pool is split by availability zone, and a
// large zone is split further. Zones that lack servers of one role are
// combined, so that every shard has servers of both roles. Adding or removing
// a server moves few others between shards.
package shard

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"sardineknot.example/sardineknot"
)

// Shard is a part of a pool.
type Shard struct {
	// Name is unique within a configuration. The rank of the hosts for this
	// name determines the owner of the shard.
	Name string
	// Pool is the pool that the shard is part of.
	Pool sardineknot.PoolName
	// Zone is the availability zone of the servers. It is empty for a shard
	// that is not confined to one zone.
	Zone sardineknot.AvailabilityZone
	// Servers lists the servers of the shard in the order of their names,
	// whatever their declared state.
	Servers []sardineknot.BackendServer
}

// JoiningServers returns the servers of s that accept new work.
func (s Shard) JoiningServers() []sardineknot.BackendServer {
	var l []sardineknot.BackendServer
	for _, b := range s.Servers {
		if b.State == sardineknot.BackendJoining {
			l = append(l, b)
		}
	}
	return l
}

// Split returns the shards of each engine pool in configuration. Pools and zones
// of at most maxServers servers are not split.
func Split(configuration *sardineknot.Configuration, maxServers int) map[sardineknot.PoolName][]Shard {
	m := make(map[sardineknot.PoolName][]Shard)
	for n, p := range configuration.Pools() {
		if r := SplitPool(n, p.Servers, maxServers); r != nil {
			m[n] = r
		}
	}
	return m
}

// SplitPool returns the shards of the pool with the given servers. A pool of plain
// services has none.
func SplitPool(pool sardineknot.PoolName, servers []sardineknot.BackendServer, maxServers int) []Shard {
	if len(servers) == 0 || servers[0].Role == sardineknot.RolePlain {
		return nil
	}
	if len(servers) <= maxServers {
		return []Shard{newShard(pool, "", 0, slices.Clone(servers))}
	}
	z := make(map[sardineknot.AvailabilityZone][]sardineknot.BackendServer)
	for _, s := range servers {
		z[s.Zone] = append(z[s.Zone], s)
	}
	var r []Shard
	var o []sardineknot.BackendServer
	for _, k := range sortedZones(z) {
		if shardCount(z[k], maxServers) == 0 {
			o = append(o, z[k]...)
			continue
		}
		r = append(r, splitZone(pool, k, z[k], maxServers)...)
	}
	if len(o) == 0 {
		return r
	}
	return append(r, splitZone(pool, "", o, maxServers)...)
}

func splitZone(pool sardineknot.PoolName, zone sardineknot.AvailabilityZone, servers []sardineknot.BackendServer, maxServers int) []Shard {
	p := make([][]sardineknot.BackendServer, max(shardCount(servers, maxServers), 1))
	for _, r := range groupByRole(servers) {
		distribute(pool, r, p)
	}
	var s []Shard
	for i := range p {
		s = append(s, newShard(pool, zone, i, p[i]))
	}
	return s
}

// shardCount returns the number of shards into which the servers of a zone are
// split, or zero if the zone lacks servers of one role. The number is a power
// of two, so that it seldom changes, unless a role has too few servers for
// every shard to get one.
func shardCount(servers []sardineknot.BackendServer, maxServers int) int {
	d, p := 0, 0
	for i := range servers {
		switch servers[i].Role {
		case sardineknot.RoleDecode:
			d++
		case sardineknot.RolePrefill:
			p++
		}
	}
	if d == 0 || p == 0 {
		return 0
	}
	n := 1
	for n*maxServers < len(servers) {
		n *= 2
	}
	return min(n, d, p)
}

// distribute spreads servers evenly over shards. Among the shards that are not
// full, each server is assigned to the one with the highest rendezvous hash for
// this server.
func distribute(pool sardineknot.PoolName, servers []sardineknot.BackendServer, shards [][]sardineknot.BackendServer) {
	c := make([]int, len(shards))
	f := len(servers) / len(shards)
	var h []byte
	for i, s := range servers {
		h = append(append(append(append(h[:0], pool...), 0), s.Name...), 0)
		k := len(h)
		m := f
		if i >= f*len(shards) {
			m = f + 1
		}
		b := -1
		var w uint64
		for j := range shards {
			h = strconv.AppendInt(h[:k], int64(j), 10)
			v := xxhash.Sum64(h)
			if c[j] < m && (b < 0 || v > w) {
				b, w = j, v
			}
		}
		c[b]++
		shards[b] = append(shards[b], s)
	}
}

// groupByRole groups servers by role. Decode servers come before prefill
// servers, and roles without servers are left out.
func groupByRole(servers []sardineknot.BackendServer) [][]sardineknot.BackendServer {
	m := make(map[sardineknot.BackendRole][]sardineknot.BackendServer)
	for _, s := range servers {
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

func sortedZones(byZone map[sardineknot.AvailabilityZone][]sardineknot.BackendServer) []sardineknot.AvailabilityZone {
	l := make([]sardineknot.AvailabilityZone, 0, len(byZone))
	for z := range byZone {
		l = append(l, z)
	}
	slices.Sort(l)
	return l
}

func newShard(pool sardineknot.PoolName, zone sardineknot.AvailabilityZone, index int, servers []sardineknot.BackendServer) Shard {
	slices.SortFunc(servers, func(a, b sardineknot.BackendServer) int { return cmp.Compare(a.Name, b.Name) })
	return Shard{Name: string(pool) + "#" + string(zone) + "#" + strconv.Itoa(index), Pool: pool, Zone: zone, Servers: servers}
}
