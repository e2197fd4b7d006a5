package process

import (
	"sardineknot.example/sardineknot/internal/backend/orders"
	"sardineknot.example/sardineknot/internal/orders/controller"
	"sardineknot.example/sardineknot/internal/orders/ledger"
)

// orderHeartbeats is the interval, in heartbeats, at which engines are
// reconciled with the configuration.
const orderHeartbeats = 5

// addOrders creates the controller that reconciles engines with the declared
// configuration.
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
