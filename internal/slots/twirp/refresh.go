package twirp

import (
	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/slots/local"
	"sardineknot.example/sardineknot/internal/slots/shard"
)

// refresh takes in the configuration and the owners of the shards.
func (p *Pool) refresh() {
	c := p.Source.Current()
	p.mu.Lock()
	defer p.mu.Unlock()
	n := c != p.configuration
	i := p.Members.Self().Incarnation
	if n {
		p.splitLocked(c)
	}
	for _, l := range p.links {
		o, ok := p.Ranker.Owner(l.name)
		l.setOwner(o, ok)
		if i != p.incarnation {
			l.renew(i)
		}
		if n {
			l.setServers(c.Links)
		}
	}
	if n {
		p.rehomeLocked()
	}
	p.dropLocked()
	p.incarnation = i
}

// splitLocked makes the links of configuration c. Links of shards that are
// gone stay until their jobs have ended.
func (p *Pool) splitLocked(c *sardineknot.Configuration) {
	p.configuration = c
	if p.links == nil {
		p.links = make(map[string]*link)
	}
	p.pools = make(map[sardineknot.PoolName][]*link)
	p.homes = make(map[sardineknot.BackendServerName]*link)
	g := make(map[string]bool, len(p.links))
	for s := range p.links {
		g[s] = true
	}
	for n, r := range shard.Split(c) {
		for _, s := range r {
			l := p.links[s.Name]
			if l == nil {
				l = newLink(p, s.Name)
				p.links[s.Name] = l
			}
			l.setShard(s)
			delete(g, s.Name)
			p.pools[n] = append(p.pools[n], l)
			for _, b := range s.Servers {
				p.homes[b.Name] = l
			}
		}
	}
	for s := range g {
		p.links[s].setShard(shard.Shard{Name: s})
	}
}

// rehomeLocked moves the jobs whose engines now belong to another shard.
func (p *Pool) rehomeLocked() {
	for _, l := range p.links {
		for _, r := range l.running() {
			h := p.homes[r.Grant.Decode]
			if h == nil || h == l {
				continue
			}
			p.jobs.Store(r.Job.Key, h)
			h.adopt(r)
			l.report(sardineknot.JobEvent{Key: r.Job.Key, Kind: sardineknot.JobCancelled})
		}
	}
}

// dropLocked forgets the links of shards that are gone and have no jobs.
func (p *Pool) dropLocked() {
	for n, l := range p.links {
		if l.gone() {
			l.setOwner(sardineknot.EntryHost{}, false)
			delete(p.links, n)
		}
	}
}

// newLocal returns a shard that this host owns from now on.
func (p *Pool) newLocal(s shard.Shard, k []sardineknot.Link) *local.Shard {
	r := local.NewShard(p.Clock, p.Create(s.Pool), p.Settle)
	r.SetServers(s.Joining(), k)
	return r
}
