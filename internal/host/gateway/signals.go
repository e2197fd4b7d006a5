package gateway

import (
	"time"

	"sardineknot.example/sardineknot"
)

var _ sardineknot.ServerObserver = (*Process)(nil)

// ObserveLeaving implements sardineknot.ServerObserver.
func (p *Process) ObserveLeaving(server sardineknot.BackendServer) {
	p.source.MarkLeaving(server.Name, server.Born, p.Settings.ID)
}

// ObserveLimit implements sardineknot.ServerObserver.
func (p *Process) ObserveLimit(server sardineknot.BackendServer, perSecond float64, sent time.Time) {
	p.limiter.Observe(server, perSecond, sent)
}

// ObserveBackoff implements sardineknot.ServerObserver.
func (p *Process) ObserveBackoff(server sardineknot.BackendServer, wait time.Duration) {
	if p.backoffs.Record(p.clock.Now(), server, wait) {
		p.Log.Info().Stringer("event", sardineknot.LogServerBackedOff).Str("server", string(server.Name)).Dur("left_ms", wait).Send()
	}
}
