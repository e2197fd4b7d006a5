// Package stages has the owner of a pool shard order engines to change their
// roles.
//
// Orders are rare, and one at a time. An owner waits until it has owned the
// shard for some time, so that hosts that take the shard from each other give
// no orders in turns; the ledger keeps orders of different hosts to one engine
// apart beside.
package stages

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/orders/ledger"
	"sardineknot.example/sardineknot/internal/policy/stages"
	"sardineknot.example/sardineknot/internal/slots/shard"
)

const (
	// interval is the time between two rounds.
	interval = time.Second
	// steadyRounds is the number of rounds for which a host has to own a shard
	// and to see the same need before it gives an order.
	steadyRounds = 4
	// restRounds is the number of rounds after an order. It is longer than an
	// engine takes to change its role.
	restRounds = 12
	// callTimeout bounds a call to an engine.
	callTimeout = 500 * time.Millisecond
	// orderTimeout bounds an order with the wait of the ledger.
	orderTimeout = 8 * time.Second
)

// Controller gives the orders. All exported fields are set before use.
type Controller struct {
	// Owned returns the shards that this host owns.
	Owned func() []shard.Shard
	// Engine gives orders.
	Engine sardineknot.OrderedEngine
	// Ledger hands out fencing numbers.
	Ledger *ledger.Ledger
	// Log takes one event for each order.
	Log zerolog.Logger

	// steady counts the rounds of each owned shard with the same need, and
	// rest those that are left after an order.
	steady map[string]int
	rest   map[string]int
}

// Run does a round each interval until ctx is done.
func (c *Controller) Run(ctx context.Context) error {
	c.steady, c.rest = make(map[string]int), make(map[string]int)
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			c.round(ctx)
		case <-ctx.Done():
			return nil
		}
	}
}

// round looks at each owned shard.
func (c *Controller) round(ctx context.Context) {
	o := make(map[string]int)
	for _, s := range c.Owned() {
		o[s.Name] = 0
		n, ok := stages.Next(s.Servers)
		if c.rest[s.Name] > 0 {
			c.rest[s.Name]--
			continue
		}
		if !ok {
			continue
		}
		o[s.Name] = c.steady[s.Name] + 1
		if o[s.Name] >= steadyRounds && !c.busy(ctx, s) {
			o[s.Name] = 0
			c.rest[s.Name] = restRounds
			c.order(ctx, n)
		}
	}
	c.steady = o
}

// busy reports whether an engine of s is changing, or does not tell.
func (c *Controller) busy(ctx context.Context, s shard.Shard) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for _, b := range s.Servers {
		if b.State != sardineknot.BackendJoining {
			continue
		}
		e, l, err := c.Engine.State(ctx, b)
		if err != nil || l || e.Role != b.Role {
			return true
		}
	}
	return false
}

func (c *Controller) order(ctx context.Context, n stages.Change) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	s := n.Server
	o, err := c.Ledger.Take(ctx, s, sardineknot.EngineState{Model: s.Model, Version: s.Version, Role: n.Role})
	if err == nil {
		err = c.Engine.Give(ctx, s, o)
	}
	if err == nil {
		err = c.Ledger.Done(ctx, o)
	}
	c.Log.Info().Stringer("event", sardineknot.LogOrderGiven).Str("server", string(s.Name)).Str("role", string(n.Role)).
		Int64("number", int64(o.Number)).Err(err).Send()
}
