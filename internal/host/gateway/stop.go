package gateway

import (
	"context"
	"time"

	"sardineknot.example/sardineknot"
)

const (
	// defaultStopLimit is the time to stop if the settings have none.
	defaultStopLimit = 8 * time.Second
	// acceptTime is the time for which new connections are taken after the
	// host was asked to stop, while callers learn of it.
	acceptTime = 800 * time.Millisecond
	// stopMargin is the part of the time to stop that is kept for the end of
	// the process.
	stopMargin = 500 * time.Millisecond
)

// stop ends the service of the host: others name it no longer, no connection
// is taken any more, and the calls that run have the time to end.
func (p *Process) stop(l []endpoint) {
	d := p.stopLimit()
	if d <= 0 {
		d = defaultStopLimit
	}
	e := p.clock.Now().Add(d - stopMargin)
	p.Log.Info().Stringer("event", sardineknot.LogLeaving).Int("calls", p.handler.Active()).Send()
	p.registry.Leave()
	p.handler.Leave()
	time.Sleep(acceptTime)
	ctx, cancel := context.WithDeadline(context.Background(), e)
	defer cancel()
	err := l[0].server.Shutdown(ctx)
	p.Log.Info().Stringer("event", sardineknot.LogDrained).Int("calls", p.handler.Active()).Err(err).Send()
}
