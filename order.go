package sardineknot

import (
	"context"
	"fmt"
	"time"
)

// FencingNumber is the fencing token of an order. A later order to the same
// engine has a greater token. Zero is not valid.
type FencingNumber int64

// EngineState describes what an engine serves.
type EngineState struct {
	// Model and Version identify the loaded model. They are empty if no model
	// is loaded.
	Model   string
	Version string
	// Role is the kind of work that the engine accepts.
	Role BackendRole
}

// Order instructs an engine to serve a model in a role.
type Order struct {
	// Server is the engine.
	Server BackendServerName
	// Want is the state that the engine is to reach.
	Want EngineState
	// Number is greater than that of every earlier order to Server.
	Number FencingNumber
	// SendBefore is the time after which the order must not be sent, by the
	// clock of the host that allocated the fencing token.
	SendBefore time.Time
}

// OrderedEngine sends orders to engines and reads their state.
type OrderedEngine interface {
	// State returns what server serves. loading reports that server is changing
	// its state.
	State(ctx context.Context, server BackendServer) (state EngineState, loading bool, err error)
	// Give sends order to server. It fails with a StaleOrderError if server has
	// seen a greater fencing token, or if order.SendBefore has passed.
	Give(ctx context.Context, server BackendServer, order Order) error
}

// StaleOrderError reports an order that was superseded by a later one or is
// past its SendBefore time.
type StaleOrderError struct {
	// Server is the engine.
	Server BackendServerName
	// Number is the fencing token of the order.
	Number FencingNumber
}

// Error implements error.
func (e *StaleOrderError) Error() string {
	return fmt.Sprintf("order %d to %s is stale", e.Number, e.Server)
}
