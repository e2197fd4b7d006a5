package process

import (
	"net/http"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/answer/generation"
	"sardineknot.example/sardineknot/internal/answer/registry"
	"sardineknot.example/sardineknot/internal/answer/service"
	"sardineknot.example/sardineknot/internal/backend/openai"
	"sardineknot.example/sardineknot/internal/backend/plainhttp"
	"sardineknot.example/sardineknot/internal/caller/admission"
	"sardineknot.example/sardineknot/internal/caller/completions"
	"sardineknot.example/sardineknot/internal/caller/limit"
	"sardineknot.example/sardineknot/internal/caller/placement"
	"sardineknot.example/sardineknot/internal/caller/services"
)

// addCallers assembles what callers connect to.
func (p *Process) addCallers() {
	p.guard = &admission.Guard{Membership: p.members, Configuration: p.source}
	p.addPlacement()
	p.addGenerations()
	p.addServices()
}

func (p *Process) addPlacement() {
	p.callerMux.Handle("GET /v1/placement", &placement.Handler{Membership: p.members, Validity: p.settings.PlacementValidity})
}

func (p *Process) addGenerations() {
	r := &generation.Runner{
		Self:          p.self,
		Engine:        openai.NewClient(p.settings.StreamProgress),
		Slots:         p.slots,
		Configuration: p.source,
		Clock:         p.clock,
		Log:           p.log,
	}
	a := registry.NewRegistry(p.settings.ReconnectGrace, p.settings.AnswerRetention)
	p.handleLimited("POST /v1/completions", answers(a), &completions.Handler{
		Configuration: p.source,
		Answers:       a,
		Runner:        r,
		Clock:         p.clock,
		Outcomes:      p.outcomes,
	})
}

func (p *Process) addServices() {
	r := &service.Runner{
		Self:          p.self,
		Service:       plainhttp.NewClient(),
		Claims:        p.claims,
		Configuration: p.source,
		Log:           p.log,
	}
	p.handleLimited("POST /v1/services", nil, &services.Handler{Configuration: p.source, Runner: r, Clock: p.clock, Outcomes: p.outcomes})
}

// handleLimited serves pattern with h, behind the guard and under the limits
// of client accounts. known reports whether a request is for an answer that
// this host produces; nil means never.
func (p *Process) handleLimited(pattern string, known func(*http.Request) bool, h http.Handler) {
	l := &limit.Handler{Next: h, Limiter: p.limiter, Configuration: p.source}
	p.callerMux.Handle(pattern, p.guard.Wrap(l, known))
}

// answers returns a function that reports whether a request is for an answer
// of r.
func answers(r *registry.Registry) func(*http.Request) bool {
	return func(q *http.Request) bool {
		return r.Find(sardineknot.RequestKey{
			Account: sardineknot.ClientAccountName(q.Header.Get("X-Client-Account")),
			ID:      sardineknot.RequestID(q.Header.Get("X-Request-Id")),
		}) != nil
	}
}
