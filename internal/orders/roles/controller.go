// Package roles runs on the owners of pool shards and orders engines to
// change their roles.
//
// Each shard has one group of role changes at a time, followed by a cooldown. A
// host sends orders only after it has owned the shard for some time, so that
// two hosts between which the ownership alternates do not send alternating
// orders. In addition, the ledger separates the orders of different hosts to
// the same engine.
package roles

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/orders/ledger"
	"sardineknot.example/sardineknot/internal/policy/rolebalance"
	"sardineknot.example/sardineknot/internal/slots/shard"
)

const (
	// roundInterval is the time between two rounds of checks.
	roundInterval = time.Second
	// minSteadyRounds is the number of consecutive rounds in which the same
	// host must own a shard and find that the shard needs a role change. Only
	// then does the host send an order.
	minSteadyRounds = 4
	// cooldownRounds is the number of rounds after an order in which the shard
	// is skipped. It is longer than an engine takes to change its role.
	cooldownRounds = 12
	// callTimeout bounds the time to query the states of a shard's engines.
	callTimeout = 500 * time.Millisecond
	// maxConcurrentCalls is the maximum number of concurrent queries and orders
	// of a shard.
	maxConcurrentCalls = 8
	// enginesPerFailure is the number of engines for each of which one may fail
	// to answer without delaying role changes.
	enginesPerFailure = 16
	// orderTimeout bounds an order, including the wait in the ledger.
	orderTimeout = 8 * time.Second
)

// Controller orders role changes. All exported fields but Demand must be set before
// the first use.
type Controller struct {
	// OwnedShards returns the shards that this host owns.
	OwnedShards func() []shard.Shard
	// Demand returns what the jobs of the named shard require of its engines, as far as
	// this host has observed it. Nil means that the demand is not known.
	Demand func(shard string) sardineknot.EngineDemand
	// Engine queries engines and sends them orders.
	Engine sardineknot.EngineOrderClient
	// Ledger issues the orders with their fencing tokens.
	Ledger *ledger.Ledger
	// Log receives one event for each order.
	Log zerolog.Logger

	// steadyRounds holds, for each owned shard, the number of consecutive
	// rounds in which the shard needed a role change. cooldown holds the number
	// of rounds for which a shard is still skipped after an order. Both maps
	// are keyed by shard name.
	steadyRounds map[string]int
	cooldown     map[string]int
}

// Run checks the owned shards every second until ctx is done. It always
// returns nil.
func (c *Controller) Run(ctx context.Context) error {
	c.steadyRounds, c.cooldown = make(map[string]int), make(map[string]int)
	t := time.NewTicker(roundInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			c.checkShards(ctx)
		case <-ctx.Done():
			return nil
		}
	}
}

// checkShards checks each owned shard once and orders the role changes that are
// due.
func (c *Controller) checkShards(ctx context.Context) {
	o := make(map[string]int)
	for _, s := range c.OwnedShards() {
		o[s.Name] = 0
		n := rolebalance.Plan(s.Servers, c.demand(s.Name))
		if c.cooldown[s.Name] > 0 {
			c.cooldown[s.Name]--
			continue
		}
		if len(n) == 0 {
			continue
		}
		o[s.Name] = c.steadyRounds[s.Name] + 1
		if o[s.Name] >= minSteadyRounds && !c.isChanging(ctx, s) {
			o[s.Name] = 0
			c.cooldown[s.Name] = cooldownRounds
			c.sendOrders(ctx, n)
		}
	}
	c.steadyRounds = o
}

func (c *Controller) demand(shard string) sardineknot.EngineDemand {
	if c.Demand == nil {
		return sardineknot.EngineDemand{}
	}
	return c.Demand(shard)
}

// isChanging reports whether an engine of the shard is loading, has a role
// other than the declared one, or, in a small shard, cannot be queried. In a
// large shard some engine is always failing, and must not keep the others from
// changing. Engines that accept no new work are ignored.
func (c *Controller) isChanging(ctx context.Context, definition shard.Shard) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var g errgroup.Group
	g.SetLimit(maxConcurrentCalls)
	var a, f atomic.Int64
	l := definition.JoiningServers()
	for _, b := range l {
		g.Go(func() error {
			e, u, err := c.Engine.State(ctx, b)
			switch {
			case err != nil:
				f.Add(1)
			case u || e.Role != b.Role:
				a.Add(1)
			}
			return nil
		})
	}
	// The queries count their failures and return nil.
	_ = g.Wait()
	return a.Load() > 0 || int(f.Load()) > len(l)/enginesPerFailure
}

// sendOrders sends the orders for changes, several at a time.
func (c *Controller) sendOrders(ctx context.Context, changes []rolebalance.RoleChange) {
	var g errgroup.Group
	g.SetLimit(maxConcurrentCalls)
	for _, n := range changes {
		g.Go(func() error {
			c.sendOrder(ctx, n)
			return nil
		})
	}
	// The orders log their errors and return nil.
	_ = g.Wait()
}

// sendOrder issues an order through the ledger, sends it to the engine and
// records in the ledger that the order is done. It logs the outcome.
func (c *Controller) sendOrder(ctx context.Context, change rolebalance.RoleChange) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	s := change.Server
	o, err := c.Ledger.IssueOrder(ctx, s, sardineknot.EngineState{Model: s.Model, Version: s.Version, Role: change.Role})
	if err == nil {
		err = c.Engine.SendOrder(ctx, s, o)
	}
	if err == nil {
		err = c.Ledger.MarkDone(ctx, o)
	}
	c.Log.Info().Stringer("event", sardineknot.LogOrderGiven).Str("server", string(s.Name)).Str("role", string(change.Role)).
		Int64("number", int64(o.Token)).Err(err).Send()
}
