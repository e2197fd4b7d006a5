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
	// prefill is the longest time of a prefill, and first that from the request to a decode
	// engine to its first event.
	prefill, first recent.Maximum
	// engines holds the decode engines.
	engines map[sardineknot.BackendServerName]*engine
}

// engine is what is known of one decode engine.
type engine struct {
	// perEvent is the longest time for an event.
	perEvent recent.Maximum
	// streams holds, for each stream in progress, the function that returns for how long its
	// next event has been awaited at a time.
	streams map[*func(now time.Time) time.Duration]struct{}
}

// RecordPrefill records at time now that a prefill of the named pool has taken duration.
func (p *Paces) RecordPrefill(now time.Time, name sardineknot.PoolName, duration time.Duration) {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.poolLocked(now, name).prefill.Record(now, duration)
}

// RecordFirst records at time now that a stream of the named pool had its first event when
// duration had passed since its request to the decode engine.
func (p *Paces) RecordFirst(now time.Time, name sardineknot.PoolName, duration time.Duration) {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.poolLocked(now, name).first.Record(now, duration)
}

// RecordPace records at time now that an event of a stream on the named engine, of the pool
// called name, has taken perEvent on average.
func (p *Paces) RecordPace(now time.Time, name sardineknot.PoolName, server sardineknot.BackendServerName, perEvent time.Duration) {
	if p == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.poolLocked(now, name).engine(server).perEvent.Record(now, perEvent)
}

// Follow adds a stream in progress on the named engine, of the pool called name. silence returns
// for how long its next event has been awaited at a time. It must not call p. The function that
// Follow returns removes the stream.
func (p *Paces) Follow(now time.Time, name sardineknot.PoolName, server sardineknot.BackendServerName, silence func(now time.Time) time.Duration) func() {
	if p == nil {
		return func() {}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.poolLocked(now, name).engine(server)
	e.streams[&silence] = struct{}{}
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(e.streams, &silence)
	}
}

// Bound returns the longest times that a stream of the given number of events takes for its
// prefill, and from its request to the decode engine to its end, unless the pool has become slower.
// A server of which nothing is known is as slow as the slowest of its pool. An empty server means
// the fastest one. Bound returns false if no stream of the pool was seen lately.
func (p *Paces) Bound(now time.Time, name sardineknot.PoolName, server sardineknot.BackendServerName, events int) (prefill, decode time.Duration, ok bool) {
	if p == nil {
		return 0, 0, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.pools[name]
	if l == nil {
		return 0, 0, false
	}
	prefill, _ = l.prefill.Value(now) // zero where decode engines prefill themselves
	f, ok := l.first.Value(now)
	d, k := l.perEvent(now, server)
	return prefill, f + time.Duration(events)*d, ok && k
}

// perEvent returns the longest recent time for an event on the named engine, as Bound does.
func (l *pool) perEvent(now time.Time, server sardineknot.BackendServerName) (time.Duration, bool) {
	var fastest, slowest time.Duration
	n := 0
	for _, e := range l.engines {
		d, ok := e.slowest(now)
		if !ok {
			continue
		}
		if n == 0 || d < fastest {
			fastest = d
		}
		slowest = max(slowest, d)
		n++
	}
	if server == "" {
		return fastest, n > 0
	}
	e := l.engines[server]
	if e == nil {
		return slowest, n > 0
	}
	if d, ok := e.slowest(now); ok {
		return d, true
	}
	return max(slowest, e.silence(now)), n > 0
}

// slowest returns the longest recent time for an event on e, or false if none was seen. The
// events that are awaited count as well.
func (e *engine) slowest(now time.Time) (time.Duration, bool) {
	d, ok := e.perEvent.Value(now)
	return max(d, e.silence(now)), ok
}

// silence returns the longest time for which an event of e is awaited.
func (e *engine) silence(now time.Time) time.Duration {
	var d time.Duration
	for f := range e.streams {
		d = max(d, (*f)(now))
	}
	return d
}

// engine returns the named engine of l, which it adds if it is missing.
func (l *pool) engine(name sardineknot.BackendServerName) *engine {
	e := l.engines[name]
	if e == nil {
		e = &engine{streams: make(map[*func(now time.Time) time.Duration]struct{})}
		l.engines[name] = e
	}
	return e
}

// poolLocked returns the named pool, which it adds if it is missing.
func (p *Paces) poolLocked(now time.Time, name sardineknot.PoolName) *pool {
	p.sweepLocked(now)
	l := p.pools[name]
	if l == nil {
		l = &pool{engines: make(map[sardineknot.BackendServerName]*engine)}
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
		if _, ok := l.first.Value(now); !ok && len(l.engines) == 0 {
			delete(p.pools, n)
		}
	}
}

// removeOutdated removes the engines without recent streams.
func (l *pool) removeOutdated(now time.Time) {
	for n, e := range l.engines {
		if _, ok := e.perEvent.Value(now); !ok && len(e.streams) == 0 {
			delete(l.engines, n)
		}
	}
}
