package gateway

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/orders/roles"
	"sardineknot.example/sardineknot/internal/slots/local"
	"sardineknot.example/sardineknot/internal/slots/shard"
)

const (
	// loadInterval is the interval at which the load of an engine is queried.
	loadInterval = 800 * time.Millisecond
	// loadTimeout bounds one round of load queries.
	loadTimeout = 400 * time.Millisecond
	// maxLoadQueries is the maximum number of concurrent load queries.
	maxLoadQueries = 8
)

// observeLoads periodically passes the load reports of decode engines to the
// schedulers of the shards that this host owns, until ctx is done. It always
// returns nil.
func (p *Process) observeLoads(ctx context.Context) error {
	t := time.NewTicker(loadInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			p.observeLoadsOnce(ctx)
		case <-ctx.Done():
			return nil
		}
	}
}

// observeLoadsOnce queries every decode engine of the owned shards once.
func (p *Process) observeLoadsOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	var g errgroup.Group
	g.SetLimit(maxLoadQueries)
	for o, d := range p.slots.OwnedShards() {
		for _, b := range d.JoiningServers() {
			if b.Role != sardineknot.RoleDecode {
				continue
			}
			g.Go(func() error {
				p.observeEngine(ctx, o, b)
				return nil
			})
		}
	}
	// The queries log their errors and return nil.
	_ = g.Wait()
}

// observeEngine queries the load of engine and passes it to the scheduler of
// owned, the shard that contains the engine. If the query fails, the failure is
// only logged. An engine that has asked for no requests is not queried.
func (p *Process) observeEngine(ctx context.Context, owned *local.Shard, engine sardineknot.BackendServer) {
	if p.backoffs.Left(p.clock.Now(), engine) > 0 {
		return
	}
	r, err := p.calls.Load(ctx, engine)
	if err != nil {
		p.Log.Debug().Stringer("event", sardineknot.LogLoadUnknown).Str("server", string(engine.Name)).Err(err).Send()
		return
	}
	owned.Observe(r)
}

// newRoleController returns the controller that orders engines to change their
// roles.
func (p *Process) newRoleController() *roles.Controller {
	return &roles.Controller{
		OwnedShards: p.ownedShards,
		Demand:      p.shardDemand,
		Engine:      &orderClient{EngineOrderClient: p.EngineOrders, backoffs: p.backoffs, limiter: p.limiter, clock: p.clock},
		Ledger:      p.orders,
		Log:         p.Log,
	}
}

// shardDemand returns the demand that the scheduler of the named shard has observed,
// or none if this host does not run it.
func (p *Process) shardDemand(name string) sardineknot.EngineDemand {
	for o, d := range p.slots.OwnedShards() {
		if d.Name == name {
			return o.Demand()
		}
	}
	return sardineknot.EngineDemand{}
}

// ownedShards returns the shards whose engines this host orders. It returns none while the
// store is unreachable, because another host may then consider itself the owner
// as well, and none while this host is stopping: it may own shards then because no other
// host is left, and would hand them over at once.
func (p *Process) ownedShards() []shard.Shard {
	if _, ok := p.stopping.EndsAt(); ok {
		return nil
	}
	if k, _ := p.mirror.Reachability(); !k {
		return nil
	}
	var l []shard.Shard
	for _, d := range p.slots.OwnedShards() {
		h, ok := p.slots.Ranker.Owner(d.Name)
		if ok && h.ID == p.Settings.ID {
			l = append(l, d)
		}
	}
	return l
}
