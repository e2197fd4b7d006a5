package process

import (
	"context"
	"net/http"
	"time"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/caller/admission"
)

const (
	// drainInterval is the interval of the checks for work in progress while
	// the host drains.
	drainInterval = 20 * time.Millisecond
	// drainedChecks is the number of consecutive checks that must find no work
	// in progress. A single check is not sufficient, because the counts of
	// answers and of their deliveries are not read at the same instant.
	drainedChecks = 5
	// shutdownTimeout is the time for which a server that shuts down waits for
	// its requests in progress.
	shutdownTimeout = time.Second
)

// addGuard creates the guard that admits or refuses the requests of callers.
func (p *Process) addGuard() {
	p.guard = &admission.Guard{Membership: p.members, Configuration: p.source, HasAnswer: p.producesAnswer}
}

// producesAnswer reports whether r is for an answer that this host produces.
func (p *Process) producesAnswer(r *http.Request) bool {
	k := sardineknot.RequestKey{
		Account: sardineknot.ClientAccountName(r.Header.Get("X-Client-Account")),
		ID:      sardineknot.RequestID(r.Header.Get("X-Request-Id")),
	}
	return p.answers.registry.Has(k) || p.calls.Has(k)
}

// stop waits until ctx is done and then stops this host gracefully. It
// announces that the host is leaving, so that other hosts no longer list it in
// placements. It admits requests until the placements that callers have cached
// expire, and then waits until no request is in progress. work is the context
// of the servers and tasks; when it is done, because one of them has failed,
// stop returns early.
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

// drain waits until no answer, call or delivery is in progress, for at most
// DrainLimit. It returns early when the context work is done.
func (p *Process) drain(work context.Context) {
	e := p.clock.Now().Add(p.settings.DrainLimit)
	for n := 0; n < drainedChecks && work.Err() == nil && p.clock.Now().Before(e); n++ {
		if p.running() > 0 {
			n = -1
		}
		_ = p.clock.Sleep(work, drainInterval)
	}
}

// running returns the number of answers, calls and deliveries in progress.
func (p *Process) running() int {
	return p.answers.registry.Running() + p.calls.Running() + p.guard.Active()
}

// shutdown shuts server down. Requests in progress are aborted after
// shutdownTimeout.
func shutdown(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		server.Close()
	}
}
