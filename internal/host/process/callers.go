package process

import (
	"net/http"

	"sardineknot.example/sardineknot/internal/caller/completions"
	"sardineknot.example/sardineknot/internal/caller/limit"
	"sardineknot.example/sardineknot/internal/caller/placement"
)

// addCallers registers the handlers for callers.
func (p *Process) addCallers() {
	p.addPlacement()
	p.addGenerations()
	p.addServices()
}

func (p *Process) addPlacement() {
	p.callerMux.Handle("GET /v1/placement", &placement.Handler{Membership: p.members, Validity: p.settings.PlacementValidity})
}

func (p *Process) addGenerations() {
	p.handleLimited("POST /v1/completions", &completions.Handler{
		Configuration: p.source,
		Answers:       p.answers.registry,
		Runner:        p.answers.runner,
		Relay:         p.answers.relay,
		Clock:         p.clock,
		Outcomes:      p.outcomes,
	})
}

// handleLimited registers h for pattern. Requests reach h only if the guard and
// the rate limit of their client account admit them.
func (p *Process) handleLimited(pattern string, h http.Handler) {
	p.callerMux.Handle(pattern, p.guard.Wrap(&limit.Handler{Next: h, Limiter: p.limiter, Configuration: p.source}))
}
