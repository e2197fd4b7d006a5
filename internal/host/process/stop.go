package process

import (
	"context"
	"net/http"
	"time"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/caller/admission"
)

const (
	// drainPause is the time between two looks at what still runs.
	drainPause = 20 * time.Millisecond
	// drainedLooks is the number of looks in a row that must find nothing. An
	// answer that ends and its delivery are not counted at the same instant.
	drainedLooks = 5
	// shutdownLimit bounds the time that calls of peers have to end.
	shutdownLimit = time.Second
)

// addGuard assembles what admits the requests of callers.
func (p *Process) addGuard() {
	p.guard = &admission.Guard{Membership: p.members, Configuration: p.source, Known: p.produces}
}

// produces reports whether r is for an answer that this host produces.
func (p *Process) produces(r *http.Request) bool {
	k := sardineknot.RequestKey{
		Account: sardineknot.ClientAccountName(r.Header.Get("X-Client-Account")),
		ID:      sardineknot.RequestID(r.Header.Get("X-Request-Id")),
	}
	return p.answers.registry.Has(k) || p.calls.Has(k)
}

// stop ends the service of this host in order once ctx is done: the other
// hosts name it no longer, callers that still hold a placement are served
// until that lapses, and what runs then is waited for. It returns early when
// work is done.
func (p *Process) stop(ctx, work context.Context) {
	select {
	case <-ctx.Done():
	case <-work.Done():
		return
	}
	p.log.Info().Stringer("event", sardineknot.LogLeaving).Send()
	p.node.Leave(work)
	_ = p.clock.Sleep(work, p.settings.PlacementValidity)
	p.guard.Close()
	p.log.Info().Stringer("event", sardineknot.LogAdmissionClosed).Int("running", p.running()).Send()
	p.drain(work)
	p.log.Info().Stringer("event", sardineknot.LogDrained).Int("running", p.running()).Send()
}

// drain waits until nothing runs, for the time DrainLimit at most.
func (p *Process) drain(work context.Context) {
	e := p.clock.Now().Add(p.settings.DrainLimit)
	for n := 0; n < drainedLooks && work.Err() == nil && p.clock.Now().Before(e); n++ {
		if p.running() > 0 {
			n = -1
		}
		_ = p.clock.Sleep(work, drainPause)
	}
}

// running returns the number of answers, calls and deliveries that have not ended.
func (p *Process) running() int {
	return p.answers.registry.Running() + p.calls.Running() + p.guard.Active()
}

// shutdown ends s. Calls that run have the time shutdownLimit to end.
func shutdown(s *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownLimit)
	defer cancel()
	if s.Shutdown(ctx) != nil {
		s.Close()
	}
}
