package twirp

import (
	"slices"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/slots/local"
	"sardineknot.example/sardineknot/internal/slots/shard"
)

// refresh applies the current configuration and the current owners of all
// shards.
func (p *Pool) refresh() {
	c := p.Source.Current()
	p.mu.Lock()
	defer p.mu.Unlock()
	n := c != p.configuration
	k := n && p.configuration != nil && slices.Equal(c.Links, p.configuration.Links)
	i := p.Members.Self().Incarnation
	if n {
		p.rebuildLinksLocked(c)
	}
	for _, l := range p.links {
		o, ok := p.Ranker.Owner(l.name)
		l.setOwner(o, ok)
		if i != p.incarnation {
			l.setIncarnation(i)
		}
		if n {
			l.setServers(c.Links, k)
		}
	}
	if n {
		p.reassignJobsLocked()
	}
	p.removeUnusedLocked()
	p.incarnation = i
}

// rebuildLinksLocked creates and updates the links for the shards of the
// current configuration. Links of removed shards lose their servers and are
// kept until removeUnusedLocked deletes them. Pools that the configuration shares
// with the one before keep their shards.
func (p *Pool) rebuildLinksLocked(current *sardineknot.Configuration) {
	p.configuration = current
	if p.links == nil {
		p.links = make(map[string]*shardLink)
	}
	o := p.pools
	p.pools = make(map[sardineknot.PoolName]*poolLinks, len(o))
	for n, v := range current.Pools() {
		k := o[n]
		if k == nil || k.servers != v {
			k = p.newPoolLinksLocked(n, v)
		}
		p.pools[n] = k
	}
	p.removeShardsLocked(o)
}

// reassignJobsLocked moves each running job whose decode engine now belongs to
// another shard to that shard.
func (p *Pool) reassignJobsLocked() {
	for _, l := range p.links {
		for _, r := range l.runningJobs() {
			h := p.linkByServerLocked(r.Grant.DecodeEngine)
			if h == nil || h == l {
				continue
			}
			p.linkByJob.Store(r.Job.Key, h)
			h.adopt(r)
			l.report(sardineknot.JobEvent{Key: r.Job.Key, Kind: sardineknot.JobCancelled})
		}
	}
}

// removeUnusedLocked deletes the links of removed shards that have no jobs.
func (p *Pool) removeUnusedLocked() {
	for n, l := range p.links {
		if l.unused() {
			l.setOwner(sardineknot.EntryHost{}, false)
			delete(p.links, n)
		}
	}
}

// newLocalShard returns a new shard, served by this host, with those servers
// of definition that accept new work.
func (p *Pool) newLocalShard(definition shard.Shard, links []sardineknot.Link) *local.Shard {
	r := local.NewShard(p.Clock, p.CreateScheduler(definition.Pool), p.SettlingTime)
	r.SetServers(definition.JoiningServers(), links)
	return r
}
