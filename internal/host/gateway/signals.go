package gateway

import "sardineknot.example/sardineknot"

var _ sardineknot.ServerObserver = (*Process)(nil)

// ObserveLeaving implements sardineknot.ServerObserver.
func (p *Process) ObserveLeaving(server sardineknot.BackendServer) {
	p.source.MarkLeaving(server.Name, server.Born, p.Settings.ID)
}
