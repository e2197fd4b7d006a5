package twirp

import (
	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/slots/shard"
)

// poolLinks holds the links to the shards of one pool with the given servers, and the
// link to the shard of each server. It is immutable.
type poolLinks struct {
	servers  *sardineknot.ServerPool
	links    []*shardLink
	byServer map[sardineknot.BackendServerName]*shardLink
}

// newPoolLinksLocked returns the links to the shards of a pool, and sets their servers.
func (p *Pool) newPoolLinksLocked(name sardineknot.PoolName, servers *sardineknot.ServerPool) *poolLinks {
	k := &poolLinks{servers: servers, byServer: make(map[sardineknot.BackendServerName]*shardLink)}
	for _, s := range shard.SplitPool(name, servers.Servers, p.maxShardServers()) {
		l := p.links[s.Name]
		if l == nil {
			l = newShardLink(p, s.Name)
			p.links[s.Name] = l
		}
		l.setShard(s)
		k.links = append(k.links, l)
		for i := range s.Servers {
			k.byServer[s.Servers[i].Name] = l
		}
	}
	return k
}

// removeShardsLocked takes the servers from the links of previous that no pool has any
// more.
func (p *Pool) removeShardsLocked(previous map[sardineknot.PoolName]*poolLinks) {
	g := make(map[*shardLink]bool)
	for n, k := range previous {
		if p.pools[n] == k {
			continue
		}
		for _, l := range k.links {
			g[l] = true
		}
		if v := p.pools[n]; v != nil {
			for _, l := range v.links {
				delete(g, l)
			}
		}
	}
	for l := range g {
		l.setShard(shard.Shard{Name: l.name})
	}
}

// poolLinksLocked returns the links to the shards of pool.
func (p *Pool) poolLinksLocked(pool sardineknot.PoolName) []*shardLink {
	if k := p.pools[pool]; k != nil {
		return k.links
	}
	return nil
}

// linkByServerLocked returns the link to the shard that server belongs to, or nil.
func (p *Pool) linkByServerLocked(server sardineknot.BackendServerName) *shardLink {
	for _, k := range p.pools {
		if l := k.byServer[server]; l != nil {
			return l
		}
	}
	return nil
}
