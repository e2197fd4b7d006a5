package twirp

import (
	"time"

	"sardineknot.example/sardineknot"
	rpc "sardineknot.example/sardineknot/internal/rpc/slots"
)

// maxLoadAge is the age from which a reported load is ignored.
const maxLoadAge = 2 * time.Second

// chooseShard returns the shard to ask for engines for job, or nil if all
// shards of the pool were tried. It prefers a shard of the job's zone while
// that shard has free slots. Otherwise it returns the least loaded of that
// shard and up to two shards of other zones. Candidates are drawn at random so
// that hosts do not all choose the same shard.
func (p *Pool) chooseShard(job sardineknot.Job, tried map[*shardLink]bool) *shardLink {
	p.mu.Lock()
	defer p.mu.Unlock()
	var h, o []*shardLink
	for _, l := range p.poolLinksLocked(job.Pool) {
		switch {
		case tried[l]:
		case l.zone() == job.Zone || l.zone() == "":
			h = append(h, l)
		default:
			o = append(o, l)
		}
	}
	b := p.lessLoadedLocked(h)
	if b != nil && b.hasFreeSlots() {
		return b
	}
	for range 2 {
		if c := p.lessLoadedLocked(o); c != nil && (b == nil || c.loadPerSlot() < b.loadPerSlot()) {
			b = c
		}
	}
	return b
}

// lessLoadedLocked draws two of links at random and returns the less loaded
// one. It returns nil if links is empty.
func (p *Pool) lessLoadedLocked(links []*shardLink) *shardLink {
	if len(links) == 0 {
		return nil
	}
	a := links[p.Random.IntN(len(links))]
	b := links[p.Random.IntN(len(links))]
	if b.loadPerSlot() < a.loadPerSlot() {
		return b
	}
	return a
}

func (l *shardLink) zone() sardineknot.AvailabilityZone {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.shard.Zone
}

// hasFreeSlots reports whether the shard may have free slots. It is false only
// if a recent load shows that the shard is full.
func (l *shardLink) hasFreeSlots() bool { return l.loadPerSlot() < 1 }

// loadPerSlot returns the number of running and waiting jobs of the shard
// divided by its slots. A shard in which jobs wait is full, even if it has free
// slots: its engines then lack memory. loadPerSlot returns zero if the load is
// unknown or older than maxLoadAge.
func (l *shardLink) loadPerSlot() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.load.GetSlots()
	if n == 0 || l.pool.Clock.Now().Sub(l.loadAt) > maxLoadAge {
		return 0
	}
	v := float64(l.load.GetRunning()+l.load.GetWaiting()) / float64(n)
	if w := l.load.GetWaiting(); w > 0 {
		v = max(v, 1+float64(w)/float64(n))
	}
	return v
}

// setLoad records the load that the owner reported. It ignores nil.
func (l *shardLink) setLoad(reported *rpc.Load) {
	if reported == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.load = reported
	l.loadAt = l.pool.Clock.Now()
}
