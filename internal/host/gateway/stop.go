package gateway

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"sardineknot.example/sardineknot"
)

const (
	// defaultStopLimit is the stop limit if the settings have none.
	defaultStopLimit = 8 * time.Second
	// acceptDelay is the time for which the host still accepts connections
	// after it was asked to stop, so that callers learn that it is leaving. It is at
	// most 1/acceptParts of the time until the connections are closed.
	acceptDelay = 800 * time.Millisecond
	acceptParts = 2
	// stopMargin is the part of the stop limit that is reserved for the exit of
	// the process after its calls have ended.
	stopMargin = 500 * time.Millisecond
	// shutdownTime is the time for which calls of other hosts and requests to the
	// other servers may go on after the last call of a caller. It is part of
	// stopMargin. Calls of hosts that wait for changes are cut after it.
	shutdownTime = 200 * time.Millisecond
	// callEndTime is the time for which calls may end after their connections were closed. It is
	// part of stopMargin as well. callCheckInterval is the interval at which that is checked.
	callEndTime       = 100 * time.Millisecond
	callCheckInterval = 5 * time.Millisecond
)

// stop stops the host gracefully. It marks the host as leaving, so that other
// hosts no longer list it, accepts connections for a while, and then waits
// for the calls in progress, its own and those of other hosts that go through it,
// until the stop limit. The first of endpoints must
// be the server for callers.
func (p *Process) stop(endpoints []endpoint) {
	d := p.stopLimit()
	if d <= 0 {
		d = defaultStopLimit
	}
	n := p.clock.Now()
	e := n.Add(d - stopMargin)
	p.Log.Info().Stringer("event", sardineknot.LogLeaving).Int("calls", p.handler.Active()).Send()
	p.registry.Leave()
	p.stopping.Begin(n, e)
	p.tunnels.Leave()
	time.Sleep(min(acceptDelay, (d-stopMargin)/acceptParts))
	ctx, cancel := context.WithDeadline(context.Background(), e)
	defer cancel()
	err := p.connections.Drain(ctx)
	p.tunnels.Wait(ctx)
	p.shutDown(endpoints[1:])
	p.Log.Info().Stringer("event", sardineknot.LogDrained).Int("calls", p.handler.Active()).Dur("took_ms", p.clock.Now().Sub(n)).Err(err).Send()
}

// awaitCalls waits until the calls whose connections were closed have ended and are logged, for at
// most callEndTime.
func (p *Process) awaitCalls() {
	for e := p.clock.Now().Add(callEndTime); p.handler.Active() > 0 && p.clock.Now().Before(e); {
		time.Sleep(callCheckInterval)
	}
}

// logRepeatedStops logs the signals that request a stop while the process is stopping, until
// ctx is done. It always returns nil.
func (p *Process) logRepeatedStops(ctx context.Context) error {
	for {
		select {
		case <-p.RepeatedStopSignals:
			p.Log.Info().Stringer("event", sardineknot.LogStopRepeated).Int("calls", p.handler.Active()).Send()
		case <-ctx.Done():
			return nil
		}
	}
}

// shutDown lets the requests in progress at endpoints end, for at most shutdownTime.
func (p *Process) shutDown(endpoints []endpoint) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTime)
	defer cancel()
	var g errgroup.Group
	for _, s := range endpoints {
		g.Go(func() error { return s.server.Shutdown(ctx) })
	}
	err := g.Wait()
	if err != nil {
		p.Log.Debug().Stringer("event", sardineknot.LogDrained).Err(err).Send()
	}
}
