package process

import (
	"sardineknot.example/sardineknot/internal/host/admin"
	"sardineknot.example/sardineknot/internal/report/tracker"
)

// addOutcomes creates the tracker that counts the outcomes of requests.
func (p *Process) addOutcomes() {
	p.outcomes = tracker.NewTracker(p.metrics)
}

// addAdmin registers the handler for operators and monitoring systems.
func (p *Process) addAdmin() {
	p.adminMux.Handle("GET /", &admin.Handler{
		Configuration: p.source,
		Membership:    p.members,
		Metrics:       p.metrics,
		Outcomes:      p.outcomes,
		Clock:         p.clock,
	})
}
