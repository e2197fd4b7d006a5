// Package allocator assigns the calls of one plain service to its servers, from
// the calls in flight of all entry hosts. It does no input or output.
//
// A call gets the server with the earliest expected completion. This is the time
// that the server takes for a call, which is learned, plus the time until one of its
// slots is free. A call that would be answered late is refused at once, unless no other
// waits at the server. The wait that a call may cause is shorter the less urgent
// it is, so that the least urgent calls are refused first.
//
// Times are readings of a clock that also counts the time for which the host was
// suspended.
package allocator

import (
	"slices"
	"sync"
	"time"

	"sardineknot.example/sardineknot"
)

const (
	// expiryDelay is the time after the deadline of a call at which its place expires.
	expiryDelay = 100 * time.Millisecond
	// reportTime is the time for which a report of a host counts. A host that still
	// has calls in flight reports again when one of them ends.
	reportTime = 2 * time.Second
	// sweepInterval is the interval at which places and reports are examined for
	// expiry.
	sweepInterval = 10 * time.Millisecond
	// marginShare is the part of the latency target that is kept in reserve, since
	// servers do not always take the time that was learned.
	marginShare = 0.2
	// levelFactor is the factor by which each step of urgency shortens the wait that
	// a call may cause.
	levelFactor = 0.5
)

// Allocator assigns the calls of one service. It is safe for concurrent use.
type Allocator struct {
	mu         sync.Mutex
	servers    map[sardineknot.ServerProcess]*server
	places     map[sardineknot.PlaceID]*place
	reports    map[sardineknot.EntryHostID]report
	order      order
	returns    returns
	contention contention
	// sweptAt is the time at which expiry was last examined.
	sweptAt time.Duration
}

// place is a place that was granted and has not ended.
type place struct {
	server *server
	// load is the number of calls at the server when the place was granted, without
	// this one.
	load int
	// expires is the time at which the place ends without a report.
	expires time.Duration
}

// report is the calls of a host that were sent without a place.
type report struct {
	inFlight map[sardineknot.ServerProcess]int
	expires  time.Duration
}

// NewAllocator returns an allocator without calls in flight.
func NewAllocator() *Allocator {
	return &Allocator{
		servers: make(map[sardineknot.ServerProcess]*server), places: make(map[sardineknot.PlaceID]*place),
		reports: make(map[sardineknot.EntryHostID]report), order: newOrder(), returns: newReturns(),
	}
}

// Contend records a sign of contention, which is certain if a server was full. It
// reports whether contention begins.
func (a *Allocator) Contend(now time.Duration, certain bool) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.contention.begin(now, certain)
}

// Contended reports whether calls are to be assigned. If not, calm is the time for which
// uncertain signs are ignored.
func (a *Allocator) Contended(now time.Duration) (contended bool, calm time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.contention.lasts(now), a.contention.calm(now)
}

// Report records the calls of host that were sent without a place of this
// allocator. It replaces the host's previous report.
func (a *Allocator) Report(now time.Duration, host sardineknot.EntryHostID, inFlight map[sardineknot.ServerProcess]int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.dropReportLocked(host)
	if len(inFlight) == 0 {
		return
	}
	for p, n := range inFlight {
		a.serverLocked(p).reported += n
	}
	a.reports[host] = report{inFlight: inFlight, expires: now + reportTime}
}

// dropReportLocked removes the report of host.
func (a *Allocator) dropReportLocked(host sardineknot.EntryHostID) {
	for p, n := range a.reports[host].inFlight {
		a.serverLocked(p).reported -= n
	}
	delete(a.reports, host)
}

// End records the end of a call. It ignores a place that is not known, or has expired.
func (a *Allocator) End(now time.Duration, end sardineknot.PlaceEnd) {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.removeLocked(end.ID)
	if p == nil {
		return
	}
	switch end.Outcome {
	case sardineknot.PlaceAnswered:
		p.server.learn(now, end.Took, p.load)
	case sardineknot.PlaceRefused:
		p.server.learnDepth(now, p.load)
		a.contention.confirm(now)
	case sardineknot.PlaceUnreached:
		p.server.fail(now)
	case sardineknot.PlaceLost:
		p.server.lose(now)
	}
}

// removeLocked ends a place and returns it, or nil if it is not known.
func (a *Allocator) removeLocked(id sardineknot.PlaceID) *place {
	p := a.places[id]
	if p != nil {
		p.server.placed--
		delete(a.places, id)
	}
	return p
}

// Take decides about a call. servers are the servers of the service that accept
// calls.
func (a *Allocator) Take(now time.Duration, servers []sardineknot.BackendServer, request sardineknot.PlaceRequest) sardineknot.PlaceDecision {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sweepLocked(now)
	c := a.candidatesLocked(now, servers, request)
	if len(c.list) == 0 {
		return sardineknot.PlaceDecision{}
	}
	a.contention.observe(now, float64(c.load)/float64(c.slots))
	f, ok := a.returns.arrive(now, request.Trait)
	request.Target -= now - f
	b := c.best()
	w := a.allowedWaitLocked(now, c, b, request, ok)
	if b.ok && admits(c, b, request, w) {
		return a.grantLocked(now, b, request)
	}
	d := max(b.wait-max(0, w), b.time/time.Duration(b.server.slots))
	return sardineknot.PlaceDecision{RetryAfter: a.returns.refuse(now, f, d, c.interval(), request)}
}

// admits reports whether a call may go to the candidate b, where it may wait
// for the time allowed.
func admits(all candidates, b candidate, request sardineknot.PlaceRequest, allowed time.Duration) bool {
	if b.wait+b.time > request.Deadline && 2*all.load >= all.slots {
		return false
	}
	return b.free || b.wait <= allowed
}

// allowedWaitLocked returns the time for which a call may wait at the candidate b. It
// is zero or less if the call would be late without a wait. Callers that
// return go before newcomers if they can still get their answer in time.
func (a *Allocator) allowedWaitLocked(now time.Duration, all candidates, b candidate, request sardineknot.PlaceRequest, returned bool) time.Duration {
	w := request.Target - time.Duration(marginShare*float64(max(0, request.Target))) - b.time
	for range a.order.level(now, request) {
		w = time.Duration(levelFactor * float64(w))
	}
	if !returned {
		w -= min(max(0, w/2), time.Duration(a.returns.awaited(now))*all.interval())
	}
	return w
}

// grantLocked grants a place at the candidate b. A request that arrives twice, because
// its connection failed, holds one place.
func (a *Allocator) grantLocked(now time.Duration, b candidate, request sardineknot.PlaceRequest) sardineknot.PlaceDecision {
	a.removeLocked(request.ID)
	a.places[request.ID] = &place{server: b.server, load: b.server.load(), expires: now + max(0, request.Deadline) + expiryDelay}
	b.server.placed++
	a.order.charge(now, request)
	return sardineknot.PlaceDecision{Server: b.process}
}

// sweepLocked removes what has expired.
func (a *Allocator) sweepLocked(now time.Duration) {
	if now < a.sweptAt+sweepInterval {
		return
	}
	a.sweptAt = now
	for i, p := range a.places {
		if now >= p.expires {
			a.removeLocked(i)
		}
	}
	for h, r := range a.reports {
		if now >= r.expires {
			a.dropReportLocked(h)
		}
	}
	for p, s := range a.servers {
		if s.load() == 0 && now >= s.usedAt+forgetTime {
			delete(a.servers, p)
		}
	}
	a.returns.sweep(now)
}

// serverLocked returns the state of a server, and creates it if needed.
func (a *Allocator) serverLocked(process sardineknot.ServerProcess) *server {
	s := a.servers[process]
	if s == nil {
		s = &server{slots: 1}
		a.servers[process] = s
	}
	return s
}

// candidatesLocked returns the servers that may get the call of request.
func (a *Allocator) candidatesLocked(now time.Duration, servers []sardineknot.BackendServer, request sardineknot.PlaceRequest) candidates {
	var c candidates
	for _, b := range servers {
		if slices.Contains(request.Excluded, b.Name) {
			continue
		}
		s := a.serverLocked(b.Process())
		s.slots, s.usedAt = max(1, b.Slots), now
		c.add(b.Process(), s)
	}
	c.estimate(now, request.Usual)
	return c
}
