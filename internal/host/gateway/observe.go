package gateway

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/orders/ledger"
	"sardineknot.example/sardineknot/internal/orders/roles"
	"sardineknot.example/sardineknot/internal/slots/local"
	"sardineknot.example/sardineknot/internal/slots/shard"
)

const (
	// reportInterval is the time between two looks at the load of an engine.
	reportInterval = 800 * time.Millisecond
	// reportTimeout bounds one look.
	reportTimeout = 400 * time.Millisecond
	// maxReports bounds the looks at once.
	maxReports = 8
)

// observe tells the schedulers of this host what their decode engines report,
// until ctx is done.
func (p *Process) observe(ctx context.Context) error {
	t := time.NewTicker(reportInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			p.observeOnce(ctx)
		case <-ctx.Done():
			return nil
		}
	}
}

func (p *Process) observeOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var g errgroup.Group
	g.SetLimit(maxReports)
	for o, d := range p.slots.OwnedShards() {
		for _, b := range d.Joining() {
			if b.Role != sardineknot.RoleDecode {
				continue
			}
			g.Go(func() error {
				p.observeServer(ctx, o, b)
				return nil
			})
		}
	}
	// The looks return no error.
	_ = g.Wait()
}

func (p *Process) observeServer(ctx context.Context, o *local.Shard, b sardineknot.BackendServer) {
	r, err := p.Forwarder.Load(ctx, b)
	if err != nil {
		p.Log.Debug().Stringer("event", sardineknot.LogLoadUnknown).Str("server", string(b.Name)).Err(err).Send()
		return
	}
	o.Observe(r)
}

// stages returns what orders engines to change their roles.
func (p *Process) stages() *roles.Controller {
	l := ledger.NewLedger(p.Store, p.clock, p.registry.Self(), p.clock.Sleep)
	l.SeparateHosts = true
	return &roles.Controller{
		OwnedShards: p.ownedShards,
		Engine:      p.Engines,
		Ledger:      l,
		Log:         p.Log,
	}
}

// ownedShards returns the shards that this host owns while the store answers.
// Without it another host may own them too.
func (p *Process) ownedShards() []shard.Shard {
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
