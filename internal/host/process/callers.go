package process

import (
	"math/rand/v2"

	"sardineknot.example/sardineknot/internal/answer/generation"
	"sardineknot.example/sardineknot/internal/answer/holder"
	"sardineknot.example/sardineknot/internal/answer/join"
	"sardineknot.example/sardineknot/internal/answer/registry"
	"sardineknot.example/sardineknot/internal/answer/service"
	"sardineknot.example/sardineknot/internal/backend/breaker"
	"sardineknot.example/sardineknot/internal/backend/openai"
	"sardineknot.example/sardineknot/internal/backend/plainhttp"
	"sardineknot.example/sardineknot/internal/backend/retry"
	"sardineknot.example/sardineknot/internal/caller/completions"
	"sardineknot.example/sardineknot/internal/caller/placement"
	"sardineknot.example/sardineknot/internal/caller/services"
	"sardineknot.example/sardineknot/internal/claims/release"
)

// addCallers assembles what callers connect to.
func (p *Process) addCallers() {
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
	p.callerMux.Handle("POST /v1/completions", &completions.Handler{
		Configuration: p.source,
		Answers:       registry.NewRegistry(p.settings.ReconnectGrace, p.settings.AnswerRetention),
		Runner:        r,
		Clock:         p.clock,
	})
}

func (p *Process) addServices() {
	q := release.NewQueue(p.claims, p.clock, claimRetention)
	p.tasks = append(p.tasks, q.Run)
	r := &service.Runner{
		Self:           p.self,
		Service:        plainhttp.NewClient(),
		Claims:         p.claims,
		ClaimRetention: claimRetention,
		Releases:       q,
		Holders:        holder.NewClient(p.members, p.peers.Client()),
		Calls:          join.NewGroup(p.settings.AnswerRetention),
		Circuits:       breaker.NewSet(rand.NewPCG(uint64(p.self.Incarnation), 1)),
		Retries:        retry.NewPolicy(rand.NewPCG(uint64(p.self.Incarnation), 2)),
		Configuration:  p.source,
		Clock:          p.clock,
		Log:            p.log,
	}
	p.peerMux.Handle(holder.PathPrefix, holder.NewHandler(p.self, r))
	p.callerMux.Handle("POST /v1/services", &services.Handler{Configuration: p.source, Runner: r, Clock: p.clock})
}
