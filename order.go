package sardineknot

import (
	"context"
	"fmt"
	"time"
)

// FencingToken numbers the orders that are sent to one engine. A later order
// has a greater token, so that the engine can reject an earlier order that
// arrives late. It need not be the next number. Zero is not valid.
type FencingToken int64

// EngineState describes the model that an engine has loaded and the role in
// which the engine serves it.
type EngineState struct {
	// Model and Version identify the loaded model. They are empty if no model
	// is loaded.
	Model   string
	Version string
	// Role is the kind of work that the engine accepts.
	Role BackendRole
}

// EngineOrder instructs an engine to serve a model in a role.
type EngineOrder struct {
	// Server is the engine that the order is for.
	Server BackendServerName
	// Target is the state that the engine is to reach.
	Target EngineState
	// Token is greater than the tokens of all earlier orders to Server.
	Token FencingToken
	// SendBefore is the time after which the order must not be sent, by the
	// clock of the host that allocated the fencing token.
	SendBefore time.Time
}

// EngineOrderClient sends orders to engines and reads their state.
type EngineOrderClient interface {
	// State returns the state of server. loading reports whether server is
	// changing its state.
	State(ctx context.Context, server BackendServer) (state EngineState, loading bool, err error)
	// SendOrder sends order to server. It fails with a StaleOrderError if
	// server has seen a greater fencing token, or if order.SendBefore has
	// passed.
	SendOrder(ctx context.Context, server BackendServer, order EngineOrder) error
}

// StaleOrderError reports an order that was superseded by a later one or is
// past its SendBefore time.
type StaleOrderError struct {
	// Server is the engine that the order is for.
	Server BackendServerName
	// Token is the fencing token of the order.
	Token FencingToken
}

// Error implements error.
func (e *StaleOrderError) Error() string {
	return fmt.Sprintf("order %d to %s is stale", e.Token, e.Server)
}
