package process

import (
	"sardineknot.example/sardineknot/internal/backend/orders"
	"sardineknot.example/sardineknot/internal/orders/controller"
	"sardineknot.example/sardineknot/internal/orders/ledger"
)

// orderHeartbeats is the time between two looks at what engines serve, in
// heartbeats.
const orderHeartbeats = 5

// addOrders assembles what keeps engines at what is declared.
func (p *Process) addOrders() {
	c := &controller.Controller{
		Self:          p.self.ID,
		Ranker:        p.ranker,
		Configuration: p.source,
		Engine:        orders.NewClient(p.clock),
		Ledger:        ledger.NewLedger(p.store, p.clock, p.self, p.clock.Sleep),
		Interval:      orderHeartbeats * p.settings.Heartbeat,
		Log:           p.log,
	}
	p.tasks = append(p.tasks, c.Run)
}
