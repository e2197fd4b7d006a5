package gateway

import (
	"context"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/backend/backoff"
)

// orderClient is a sardineknot.EngineOrderClient that sends nothing to an engine
// that has requested a backoff or named a limit. It then fails with a BackedOffError.
type orderClient struct {
	sardineknot.EngineOrderClient
	backoffs *backoff.Set
	limiter  sardineknot.ServerLimiter
	clock    sardineknot.Clock
}

// check fails if server has requested a backoff or named a limit.
func (o *orderClient) check(server sardineknot.BackendServer) error {
	d := o.backoffs.Left(o.clock.Now(), server)
	if d > 0 || o.limiter.Limited(server) {
		return errors.WithStack(&sardineknot.BackedOffError{Server: server.Name, Left: d})
	}
	return nil
}

// State implements sardineknot.EngineOrderClient.
func (o *orderClient) State(ctx context.Context, server sardineknot.BackendServer) (sardineknot.EngineState, bool, error) {
	err := o.check(server)
	if err != nil {
		return sardineknot.EngineState{}, false, err
	}
	return o.EngineOrderClient.State(ctx, server)
}

// SendOrder implements sardineknot.EngineOrderClient.
func (o *orderClient) SendOrder(ctx context.Context, server sardineknot.BackendServer, order sardineknot.EngineOrder) error {
	err := o.check(server)
	if err != nil {
		return err
	}
	return o.EngineOrderClient.SendOrder(ctx, server, order)
}
