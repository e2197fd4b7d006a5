// Package streampace bounds the time that streams of a known length take, from how fast the
// engines of their pool have been lately.
package streampace

import (
	"sync"
	"time"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/policy/recent"
)

// sweepInterval is the interval at which pools and engines without recent streams are removed.
const sweepInterval = 30 * time.Second

// Paces records how fast the engines of each pool have started and generated streams lately.
// The zero value, like nil, has seen none. It is safe for concurrent use.
type Paces struct {
	mu    sync.Mutex
	pools map[sardineknot.PoolName]*pool
	// sweptAt is the time at which pools and engines were last removed.
	sweptAt time.Time
}

// pool is what is known of the engines of one pool.
type pool struct {
	// start is the longest time from a grant to the first event.
	start recent.Maximum
	// engines holds, for each decode engine, the longest time for an event.
	engines map[sardineknot.BackendServerName]*recent.Maximum
}

// RecordStart records at time now that a stream of the named pool had its first event when
// duration had passed since its grant.
func (p *Paces) RecordStart(now time.Time, name sardineknot.PoolName, duration time.Duration) {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.poolLocked(now, name).start.Record(now, duration)
}

// RecordPace records at time now that an event of a stream on engine, of the named pool, has
// taken perEvent on average.
func (p *Paces) RecordPace(now time.Time, name sardineknot.PoolName, engine sardineknot.BackendServerName, perEvent time.Duration) {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.poolLocked(now, name)
	m := l.engines[engine]
	if m == nil {
		m = &recent.Maximum{}
		l.engines[engine] = m
	}
	m.Record(now, perEvent)
}

// Bound returns the longest times that a stream of the given number of events takes from its
// grant to its first event, and from there to its end, unless the pool has become slower. An
// engine of which nothing is known is as slow as the slowest of its pool. An empty engine means
// the fastest one. Bound returns false if no stream of the pool was seen lately.
func (p *Paces) Bound(now time.Time, name sardineknot.PoolName, engine sardineknot.BackendServerName, events int) (start, rest time.Duration, ok bool) {
	if p == nil {
		return 0, 0, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.pools[name]
	if l == nil {
		return 0, 0, false
	}
	f, k := l.start.Value(now)
	d, ok := l.perEvent(now, engine)
	return f, time.Duration(events) * d, ok && k
}

// perEvent returns the longest recent time for an event on engine, as Bound does.
func (l *pool) perEvent(now time.Time, engine sardineknot.BackendServerName) (time.Duration, bool) {
	if m := l.engines[engine]; m != nil {
		if d, ok := m.Value(now); ok {
			return d, true
		}
	}
	var fastest, slowest time.Duration
	n := 0
	for _, m := range l.engines {
		d, ok := m.Value(now)
		if !ok {
			continue
		}
		if n == 0 || d < fastest {
			fastest = d
		}
		slowest = max(slowest, d)
		n++
	}
	if engine == "" {
		return fastest, n > 0
	}
	return slowest, n > 0
}

// poolLocked returns the named pool, which it adds if it is missing.
func (p *Paces) poolLocked(now time.Time, name sardineknot.PoolName) *pool {
	p.sweepLocked(now)
	l := p.pools[name]
	if l == nil {
		l = &pool{engines: make(map[sardineknot.BackendServerName]*recent.Maximum)}
		p.pools[name] = l
	}
	return l
}

// sweepLocked removes pools and engines without recent streams, so that those which have left
// take no memory.
func (p *Paces) sweepLocked(now time.Time) {
	if p.pools == nil {
		p.pools = make(map[sardineknot.PoolName]*pool)
	}
	if now.Sub(p.sweptAt) < sweepInterval {
		return
	}
	p.sweptAt = now
	for n, l := range p.pools {
		l.removeOutdated(now)
		if _, ok := l.start.Value(now); !ok && len(l.engines) == 0 {
			delete(p.pools, n)
		}
	}
}

// removeOutdated removes the engines without recent streams.
func (l *pool) removeOutdated(now time.Time) {
	for n, m := range l.engines {
		if _, ok := m.Value(now); !ok {
			delete(l.engines, n)
		}
	}
}
