// Package durations records how long the calls of each route take at most.
package durations

import (
	"sync"
	"time"

	"sardineknot.example/sardineknot"
)

// window is the time after which a duration is forgotten, at the latest after twice that
// time.
const window = 30 * time.Second

// Longest records the longest recent duration of the calls of each route. The zero value
// has seen no call. It is safe for concurrent use.
type Longest struct {
	mu     sync.Mutex
	routes map[sardineknot.RouteName]*route
	// sweptAt is the time at which routes without recent calls were last removed.
	sweptAt time.Time
}

// route holds the longest durations of the calls of one route.
type route struct {
	// since is the time of the first call that was seen. begunAt is the time at which
	// the current window began. since is never after begunAt.
	since, begunAt time.Time
	// current and previous are the longest durations in the current window and in the
	// one before.
	current, previous time.Duration
}

// Record records at time now that a call of the named route has ended after duration.
func (l *Longest) Record(now time.Time, name sardineknot.RouteName, duration time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sweepLocked(now)
	r := l.routes[name]
	if r == nil {
		r = &route{since: now, begunAt: now}
		l.routes[name] = r
	}
	r.advance(now)
	r.current = max(r.current, duration)
}

// Longest returns the longest recent duration of the calls of the named route. It returns
// false unless calls have been seen for at least the given time: before that, longer ones
// may still be in progress.
func (l *Longest) Longest(now time.Time, name sardineknot.RouteName, atLeast time.Duration) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.routes[name]
	if r == nil || now.Sub(r.begunAt) >= 2*window || now.Sub(r.since) < atLeast {
		return 0, false
	}
	r.advance(now)
	return max(r.current, r.previous), true
}

// advance begins a window if the current one has ended.
func (r *route) advance(now time.Time) {
	d := now.Sub(r.begunAt)
	switch {
	case d < window:
		return
	case d < 2*window:
		r.previous = r.current
	default:
		r.previous, r.since = 0, now
	}
	r.current, r.begunAt = 0, now
}

// sweepLocked removes the routes without recent calls, so that those which the
// configuration no longer has take no memory.
func (l *Longest) sweepLocked(now time.Time) {
	if l.routes == nil {
		l.routes = make(map[sardineknot.RouteName]*route)
	}
	if now.Sub(l.sweptAt) < window {
		return
	}
	l.sweptAt = now
	for n, r := range l.routes {
		if now.Sub(r.begunAt) >= 2*window {
			delete(l.routes, n)
		}
	}
}
