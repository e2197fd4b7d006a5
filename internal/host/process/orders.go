package process

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot/internal/backend/orders"
	"sardineknot.example/sardineknot/internal/orders/controller"
	"sardineknot.example/sardineknot/internal/orders/ledger"
)

// addOrders assembles what keeps engines at what is declared.
func (p *Process) addOrders() {
	c := &controller.Controller{
		Self:          p.self.ID,
		Ranker:        p.ranker,
		Configuration: p.source,
		Engine:        orders.NewClient(p.clock),
		Ledger:        ledger.NewLedger(p.store, p.clock, p.self, sleep),
		Interval:      p.settings.Heartbeat,
		Log:           p.log,
	}
	p.tasks = append(p.tasks, c.Run)
}

// sleep waits for d. It returns the error of ctx if ctx ends before.
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return errors.WithStack(ctx.Err())
	}
}
