// Package controller keeps engines at what the configuration in force declares
// for them: model, version and role.
//
// Engines are spread over a few lanes. The live host that ranks first for a
// lane gives the orders of its engines, one at a time, and waits until the
// engine has loaded. The number of lanes bounds the loads that the rate-limited
// weight store sees at once.
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
	// lanes bounds the engines that load at once.
	lanes = 4
	// lanePrefix starts the names of the shards that lanes are ranked by.
	lanePrefix = "order/"
)

// Controller compares and orders. All fields are set before use.
type Controller struct {
	// Self is this entry host.
	Self sardineknot.EntryHostID
	// Ranker tells which lanes this host owns.
	Ranker sardineknot.Ranker
	// Configuration gives what is declared.
	Configuration sardineknot.ConfigurationSource
	// Engine gives orders.
	Engine sardineknot.OrderedEngine
	// Ledger hands out fencing numbers.
	Ledger *ledger.Ledger
	// Interval is the time between two rounds. It is positive.
	Interval time.Duration
	// Log takes one event for each order.
	Log zerolog.Logger
}

// Run does a round for every lane each interval until ctx is done.
func (c *Controller) Run(ctx context.Context) error {
	t := time.NewTicker(c.Interval)
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

// round orders at most one engine of each lane that this host owns.
func (c *Controller) round(ctx context.Context) {
	var busy [lanes]bool
	for _, s := range c.Configuration.Current().BackendServers {
		n := xxhash.Sum64String(string(s.Name)) % lanes
		if s.Role == sardineknot.RolePlain || s.State != sardineknot.BackendJoining || busy[n] || !c.owns(n) {
			continue
		}
		busy[n] = c.reconcile(ctx, s)
	}
}

func (c *Controller) owns(lane uint64) bool {
	h, ok := c.Ranker.Owner(lanePrefix + strconv.FormatUint(lane, 10))
	return ok && h.ID == c.Self
}

// reconcile orders s if it serves something else than declared. It reports
// whether s is about to change. An engine that does not tell what it serves is
// left alone.
func (c *Controller) reconcile(ctx context.Context, s sardineknot.BackendServer) bool {
	w := sardineknot.EngineState{Model: s.Model, Version: s.Version, Role: s.Role}
	e, l, err := c.Engine.State(ctx, s)
	if err != nil || l || e == w {
		return l
	}
	err = c.order(ctx, s, w)
	if err != nil {
		c.Log.Warn().Stringer("event", sardineknot.LogOrderFailed).Str("server", string(s.Name)).Err(err).Send()
	}
	return true
}

func (c *Controller) order(ctx context.Context, s sardineknot.BackendServer, w sardineknot.EngineState) error {
	o, err := c.Ledger.Take(ctx, s, w)
	if err != nil {
		return err
	}
	err = c.Engine.Give(ctx, s, o)
	var t *sardineknot.StaleOrderError
	if err != nil && !errors.As(err, &t) {
		return err
	}
	c.Log.Info().Stringer("event", sardineknot.LogOrderGiven).Str("server", string(s.Name)).Int64("number", int64(o.Number)).AnErr("stale", err).Send()
	return c.Ledger.Done(ctx, o)
}
