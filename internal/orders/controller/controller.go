// Package controller reconciles engines with the configuration in force, which
// declares the model, version and role of each engine.
//
// Engines are hashed into a few partitions. The live host that ranks first for
// a partition sends orders to its engines, one engine at a time, and waits
// until the engine has loaded. The number of partitions bounds the number of
// engines that load from the rate-limited weight store at the same time.
package controller

import (
	"context"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/orders/ledger"
)

const (
	// partitionCount is the number of partitions. Because one engine at a
	// time loads in each partition, it is also the maximum number of engines
	// that load concurrently.
	partitionCount = 4
	// partitionPrefix is the prefix of the shard name of a partition, for which
	// Ranker returns the owner.
	partitionPrefix = "order/"
)

// Controller compares engines with the configuration and sends them orders. All
// fields must be set before the first use.
type Controller struct {
	// Self is the ID of this entry host.
	Self sardineknot.EntryHostID
	// Ranker determines the owner of each partition.
	Ranker sardineknot.Ranker
	// Configuration provides the declared state of the engines.
	Configuration sardineknot.ConfigurationSource
	// Engine queries engines and sends them orders.
	Engine sardineknot.EngineOrderClient
	// Ledger issues the orders with their fencing tokens.
	Ledger *ledger.Ledger
	// Interval is the time between two reconciliations. It is positive.
	Interval time.Duration
	// Log receives one event for each order.
	Log zerolog.Logger
}

// Run reconciles the engines of all owned partitions at every Interval until
// ctx is done. It always returns nil.
func (c *Controller) Run(ctx context.Context) error {
	t := time.NewTicker(c.Interval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			c.reconcileAll(ctx)
		case <-ctx.Done():
			return nil
		}
	}
}

// reconcileAll visits the engines that accept new work in the partitions that
// this host owns. In each partition it stops at the first engine that is
// changing its state or was just sent an order.
func (c *Controller) reconcileAll(ctx context.Context) {
	var busy [partitionCount]bool
	for _, s := range c.Configuration.Current().BackendServers {
		n := xxhash.Sum64String(string(s.Name)) % partitionCount
		if s.Role == sardineknot.RolePlain || s.State != sardineknot.BackendJoining || busy[n] || !c.owns(n) {
			continue
		}
		busy[n] = c.reconcile(ctx, s)
	}
}

// owns reports whether this host owns the partition.
func (c *Controller) owns(partition uint64) bool {
	h, ok := c.Ranker.Owner(partitionPrefix + strconv.FormatUint(partition, 10))
	return ok && h.ID == c.Self
}

// reconcile sends an order to server if its state differs from the declared
// state. It reports whether server is changing its state or an order was
// attempted. If the state of server cannot be queried, it does nothing.
func (c *Controller) reconcile(ctx context.Context, server sardineknot.BackendServer) bool {
	w := sardineknot.EngineState{Model: server.Model, Version: server.Version, Role: server.Role}
	e, l, err := c.Engine.State(ctx, server)
	if err != nil || l || e == w {
		return l
	}
	err = c.sendOrder(ctx, server, w)
	if err != nil {
		c.Log.Warn().Stringer("event", sardineknot.LogOrderFailed).Str("server", string(server.Name)).Err(err).Send()
	}
	return true
}

// sendOrder orders server to reach the state want and records in the ledger
// that the order is done. An order that the engine rejects as stale is logged
// and also recorded as done.
func (c *Controller) sendOrder(ctx context.Context, server sardineknot.BackendServer, want sardineknot.EngineState) error {
	o, err := c.Ledger.IssueOrder(ctx, server, want)
	if err != nil {
		return err
	}
	err = c.Engine.SendOrder(ctx, server, o)
	var t *sardineknot.StaleOrderError
	if err != nil && !errors.As(err, &t) {
		return err
	}
	c.Log.Info().Stringer("event", sardineknot.LogOrderGiven).Str("server", string(server.Name)).Int64("number", int64(o.Token)).AnErr("stale", err).Send()
	return c.Ledger.MarkDone(ctx, o)
}
