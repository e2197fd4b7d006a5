package twirp

import (
	"context"
	"time"

	"sardineknot.example/sardineknot"
	rpc "sardineknot.example/sardineknot/internal/rpc/places"
)

const (
	// contendedTime is the time after a sign of contention, or after the owner has
	// confirmed it, for which this host requests places.
	contendedTime = 4 * time.Second
	// slowFactor is the time of a call, relative to the usual one, that is a sign of
	// contention. Servers with noise take up to 2.5 times as long without contention, and
	// the usual time is that of short calls.
	slowFactor = 4
	// slowTargetShare is the part of the latency target that such a call must have
	// taken as well.
	slowTargetShare = 0.25
	// usualShare is the weight of a call that took longer than the usual time, by
	// which the usual time grows. It is small, so that the usual time remains that of
	// calls that did not wait.
	usualShare = 0.005
	// maxEnds bounds the ends that wait to be reported.
	maxEnds = 256
)

// sign is what a call shows about the contention of its servers.
type sign int

const (
	// none is no sign, slow that of a call that took long, and full that of a server
	// without capacity.
	none sign = iota
	slow
	full
)

// watch is what this host has recorded of a service.
type watch struct {
	// usual is the time that a call takes without a wait. Zero means unknown.
	usual time.Duration
	// until is the time until which places are requested.
	until time.Duration
	// calmUntil is the time until which slow calls are no sign.
	calmUntil time.Duration
	// inFlight counts the calls in flight by server and by the owner's process that
	// granted their places.
	inFlight map[granted]int
	// ends are the ends of calls that have not been reported.
	ends []*rpc.End
	// sign is the strongest sign that has not been reported.
	sign sign
	// scheduled is set while a report is scheduled.
	scheduled bool
}

// granted identifies a server and the owner's process that assigned calls to it.
type granted struct {
	process sardineknot.ServerProcess
	epoch   sardineknot.Incarnation
}

// observe returns the sign that the end of a call is.
func (w *watch) observe(now time.Duration, place sardineknot.Place, outcome sardineknot.PlaceOutcome, took time.Duration) sign {
	switch outcome {
	case sardineknot.PlaceRefused:
		return full
	case sardineknot.PlaceAnswered:
		s := w.usual > 0 && took >= slowFactor*w.usual && float64(took) >= slowTargetShare*float64(place.Target)
		w.learn(took)
		if s && now >= w.calmUntil {
			return slow
		}
	}
	return none
}

// learn records the time of a call.
func (w *watch) learn(took time.Duration) {
	if w.usual == 0 || took < w.usual {
		w.usual = took
		return
	}
	w.usual += time.Duration(usualShare * float64(took-w.usual))
}

// watchLocked returns the watch of service, and creates it if needed.
func (p *Places) watchLocked(service sardineknot.ServiceName) *watch {
	w := p.watches[service]
	if w == nil {
		w = &watch{inFlight: make(map[granted]int)}
		p.watches[service] = w
	}
	return w
}

// Contended implements sardineknot.PlaceAllocator.
func (p *Places) Contended(service sardineknot.ServiceName) bool {
	n := p.SinceBoot()
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.watches[service]
	return w != nil && n < w.until
}

// Begin implements sardineknot.PlaceAllocator.
func (p *Places) Begin(place sardineknot.Place, server sardineknot.ServerProcess) sardineknot.Place {
	place.Server, place.Begun, place.SentAt = server, true, p.SinceBoot()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.watchLocked(place.Service).inFlight[granted{server, place.Epoch}]++
	return place
}

// Done implements sardineknot.PlaceAllocator.
func (p *Places) Done(place sardineknot.Place, outcome sardineknot.PlaceOutcome) {
	n := p.SinceBoot()
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.watchLocked(place.Service)
	t := time.Duration(0)
	if place.Begun {
		t = n - place.SentAt
		g := granted{place.Server, place.Epoch}
		w.inFlight[g]--
		if w.inFlight[g] <= 0 {
			delete(w.inFlight, g)
		}
	}
	if place.ID.Number > 0 && len(w.ends) < maxEnds {
		w.ends = append(w.ends, &rpc.End{Number: place.ID.Number, Outcome: int32(outcome), TookMicros: t.Microseconds()})
	}
	p.signLocked(n, place.Service, w.observe(n, place, outcome, t))
	if n < w.until {
		p.scheduleLocked(place.Service, reportDelay)
	}
}

// ReportFull implements sardineknot.PlaceAllocator.
func (p *Places) ReportFull(service sardineknot.ServiceName) {
	n := p.SinceBoot()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.signLocked(n, service, full)
}

// signLocked records a sign of contention. It is reported at once if this host had seen
// none.
func (p *Places) signLocked(now time.Duration, service sardineknot.ServiceName, seen sign) {
	w := p.watchLocked(service)
	if seen == none {
		return
	}
	w.sign = max(w.sign, seen)
	if now >= w.until {
		w.until = now + contendedTime
		p.scheduleLocked(service, 0)
	}
}

// scheduleLocked schedules a report to the owner of service.
func (p *Places) scheduleLocked(service sardineknot.ServiceName, delay time.Duration) {
	w := p.watchLocked(service)
	if !w.scheduled {
		w.scheduled = true
		time.AfterFunc(delay, func() { p.report(service) })
	}
}

// report sends what the owner of service has not seen yet. If the owner does not
// answer, it is not sent again: the places expire.
func (p *Places) report(service sardineknot.ServiceName) {
	n := p.SinceBoot()
	h, ok := p.Ranker.Owner(shardPrefix + string(service))
	ok = ok && !p.failed(n, h.ID)
	p.mu.Lock()
	w := p.watchLocked(service)
	if !ok || !w.scheduled { // a request for a place has taken the report along
		w.scheduled = false
		p.mu.Unlock()
		return
	}
	r := p.reportLocked(h, service)
	p.mu.Unlock()
	if h.ID == p.Members.Self().ID {
		p.receive(r)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	_, err := p.client(h).Report(ctx, r)
	if err != nil {
		p.Log.Debug().Stringer("event", sardineknot.LogPlacesNotShared).Str("service", string(service)).Str("peer", string(h.ID)).Err(err).Send()
	}
}

// reportLocked returns what owner has not seen yet, and marks it as reported.
func (p *Places) reportLocked(owner sardineknot.EntryHost, service sardineknot.ServiceName) *rpc.ReportRequest {
	w := p.watchLocked(service)
	s := p.Members.Self()
	r := &rpc.ReportRequest{
		Service: string(service), Host: string(s.ID), Incarnation: int64(s.Incarnation), Ends: w.ends, Sign: w.sign > none, Full: w.sign == full,
	}
	e, ok := p.epochs[owner.ID]
	m := make(map[sardineknot.ServerProcess]int)
	for g, n := range w.inFlight {
		if !ok || g.epoch != e {
			m[g.process] += n
		}
	}
	for g, n := range m {
		r.InFlight = append(r.InFlight, &rpc.InFlight{Process: processMessage(g), Calls: int32(n)})
	}
	w.ends, w.sign, w.scheduled = nil, none, false
	return r
}
