package twirp

import (
	"time"

	"sardineknot.example/sardineknot"
	rpc "sardineknot.example/sardineknot/internal/rpc/slots"
)

// loadValidity is the time after which a load is too old to choose by.
const loadValidity = 2 * time.Second

// choose returns the shard to offer j to, or nil if all were tried. The shard
// of the job's zone goes first while it has room. Otherwise it and two others,
// taken at random so that hosts do not all choose the same, are compared.
func (p *Pool) choose(j sardineknot.Job, tried map[*link]bool) *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	var h, o []*link
	for _, l := range p.pools[j.Pool] {
		switch {
		case tried[l]:
		case l.zone() == j.Zone || l.zone() == "":
			h = append(h, l)
		default:
			o = append(o, l)
		}
	}
	b := p.pickLocked(h)
	if b != nil && b.hasRoom() {
		return b
	}
	for range 2 {
		if c := p.pickLocked(o); c != nil && (b == nil || c.pressure() < b.pressure()) {
			b = c
		}
	}
	return b
}

// pickLocked returns the less loaded of two links of l taken at random, or nil
// if l is empty.
func (p *Pool) pickLocked(l []*link) *link {
	if len(l) == 0 {
		return nil
	}
	a := l[p.Random.IntN(len(l))]
	b := l[p.Random.IntN(len(l))]
	if b.pressure() < a.pressure() {
		return b
	}
	return a
}

func (l *link) zone() sardineknot.AvailabilityZone {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.shard.Zone
}

// hasRoom reports whether the shard is not known to be full.
func (l *link) hasRoom() bool { return l.pressure() < 1 }

// pressure returns the jobs of the shard for each of its slots, as far as they
// are known. An unknown or old load counts as none.
func (l *link) pressure() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.load.GetSlots()
	if n == 0 || l.pool.Clock.Now().Sub(l.loadAt) > loadValidity {
		return 0
	}
	return float64(l.load.GetRunning()+l.load.GetWaiting()) / float64(n)
}

func (l *link) observe(m *rpc.Load) {
	if m == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.load = m
	l.loadAt = l.pool.Clock.Now()
}
