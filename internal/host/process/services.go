package process

import (
	"math/rand/v2"

	"sardineknot.example/sardineknot/internal/answer/holder"
	"sardineknot.example/sardineknot/internal/answer/join"
	"sardineknot.example/sardineknot/internal/answer/service"
	"sardineknot.example/sardineknot/internal/backend/breaker"
	"sardineknot.example/sardineknot/internal/backend/plainhttp"
	"sardineknot.example/sardineknot/internal/backend/retry"
	"sardineknot.example/sardineknot/internal/caller/services"
	"sardineknot.example/sardineknot/internal/claims/release"
)

// addServices creates the components that run calls to plain services, and
// registers their handlers.
func (p *Process) addServices() {
	q := release.NewQueue(p.claims, p.clock, claimRetention)
	p.tasks = append(p.tasks, q.Run)
	p.calls = join.NewGroup(p.settings.AnswerRetention)
	r := &service.Runner{
		Self:           p.self,
		Service:        plainhttp.NewClient(),
		Claims:         p.claims,
		ClaimRetention: claimRetention,
		Releases:       q,
		Holders:        holder.NewClient(p.members, p.peers.StreamClient()),
		Calls:          p.calls,
		Circuits:       breaker.NewSet(rand.NewPCG(uint64(p.self.Incarnation), 1)),
		Retries:        retry.NewPolicy(rand.NewPCG(uint64(p.self.Incarnation), 2)),
		Configuration:  p.source,
		Clock:          p.clock,
		Log:            p.log,
	}
	p.peerMux.Handle(holder.PathPrefix, holder.NewHandler(p.self, r))
	p.handleLimited("POST /v1/services", &services.Handler{Configuration: p.source, Runner: r, Clock: p.clock, Outcomes: p.outcomes})
}
