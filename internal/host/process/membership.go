package process

import (
	"context"

	"sardineknot.example/sardineknot/internal/membership/httpsd"
	"sardineknot.example/sardineknot/internal/membership/liveness"
	"sardineknot.example/sardineknot/internal/membership/rendezvous"
)

// addMembership assembles what tells which entry hosts are live.
func (p *Process) addMembership() {
	m := httpsd.NewList(p.self, p.hosts)
	p.members = m
	p.ranker = rendezvous.NewRanker(m)
	p.liveness = liveness.NewTracker(m, p.clock)
	p.tasks = append(p.tasks, func(ctx context.Context) error { return m.Run(ctx, p.settings.Heartbeat) })
}
