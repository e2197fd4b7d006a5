package sardineknot

import (
	"context"
	"fmt"
	"time"
)

// FencingNumber orders the orders to one engine. A later order has a greater
// number. Zero is not valid.
type FencingNumber int64

// EngineState is what an engine serves.
type EngineState struct {
	// Model and Version name what is loaded. They are empty if nothing is.
	Model   string
	Version string
	// Role is what the engine accepts.
	Role BackendRole
}

// Order tells an engine what to serve.
type Order struct {
	// Server is the engine.
	Server BackendServerName
	// Want is what the engine is to serve.
	Want EngineState
	// Number is greater than that of every earlier order to Server.
	Number FencingNumber
	// SendBefore is the time, by the clock of the host that took Number, after
	// which the order must not be sent.
	SendBefore time.Time
}

// OrderedEngine gives orders to engines.
type OrderedEngine interface {
	// State returns what s serves. loading reports that s is about to change.
	State(ctx context.Context, s BackendServer) (e EngineState, loading bool, err error)
	// Give sends o to s. It fails with a StaleOrderError if s has seen a
	// greater number, or if o is past its SendBefore.
	Give(ctx context.Context, s BackendServer, o Order) error
}

// StaleOrderError reports an order that a later one has overtaken.
type StaleOrderError struct {
	// Server is the engine.
	Server BackendServerName
	// Number is the number of the order.
	Number FencingNumber
}

// Error implements error.
func (e *StaleOrderError) Error() string {
	return fmt.Sprintf("order %d to %s is stale", e.Number, e.Server)
}
