package gateway

import (
	"context"

	"golang.org/x/sync/errgroup"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/host/clock"
	"sardineknot.example/sardineknot/internal/limits/credit"
	"sardineknot.example/sardineknot/internal/limits/owner"
	"sardineknot.example/sardineknot/internal/limits/rank"
	"sardineknot.example/sardineknot/internal/limits/twirp"
)

// addAccountLimits creates the limiter of client accounts.
func (p *Process) addAccountLimits() {
	k := rank.NewRanker(p.registry)
	p.accountOwner = owner.NewOwner(clock.System{}.SinceBootClock(), p.registry, k, func(n sardineknot.ClientAccountName) (sardineknot.AccountLimit, bool) {
		return p.source.Current().AccountLimit(n)
	})
	p.accountClient = &twirp.Client{
		Hosts: p.registry, Ranker: k, Owner: p.accountOwner, Clock: clock.System{}.SinceBootClock(), HTTP: p.peers.Client(), Log: p.Log, Metrics: p.Metrics,
	}
	p.accountLimiter = &credit.Limiter{
		Clock: clock.System{}.SinceBootClock(), Source: p.accountClient, Hosts: p.registry, Excess: p.Settings.AccountExcess, Metrics: p.Metrics,
	}
}

// runAccountLimits runs the tasks of the limits of client accounts until ctx is done. It
// pauses them while a configuration without accounts is in force, so that a deployment
// without accounts has no wake-ups for them. It always returns nil.
func (p *Process) runAccountLimits(ctx context.Context) error {
	for ctx.Err() == nil {
		p.runWhile(ctx, p.mayHaveAccounts)
		p.waitFor(ctx, p.mayHaveAccounts)
	}
	return nil
}

// mayHaveAccounts reports whether there are client accounts, as far as this host has seen.
func (p *Process) mayHaveAccounts() bool {
	c := p.source.Current()
	return c.Revision == 0 || len(c.Accounts) > 0
}

// runWhile runs the tasks of limits while condition holds and ctx is not done.
func (p *Process) runWhile(ctx context.Context, condition func() bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var g errgroup.Group
	g.Go(func() error { return p.accountOwner.Run(ctx) })
	g.Go(func() error { return p.accountLimiter.Run(ctx) })
	p.waitFor(ctx, func() bool { return !condition() })
	cancel()
	_ = g.Wait() // the tasks return no error
}

// waitFor waits until condition holds, which depends on the configuration, or ctx is
// done.
func (p *Process) waitFor(ctx context.Context, condition func() bool) {
	for {
		c := p.source.Changed()
		if condition() {
			return
		}
		select {
		case <-c:
		case <-ctx.Done():
			return
		}
	}
}
