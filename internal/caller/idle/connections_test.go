package idle_test

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot/internal/caller/idle"
	"sardineknot.example/sardineknot/internal/host/clock"
)

// conn is a fake connection that records whether its server closes it, which it
// does when the read deadline is in the past.
type conn struct {
	net.Conn
	closed atomic.Bool
}

func (c *conn) SetReadDeadline(d time.Time) error {
	c.closed.Store(!d.IsZero() && d.Before(time.Now()))
	return nil
}

// run tracks a connection that goes through the given states, with limit as the
// idle timeout. It waits for duration and then reports whether the connection
// was closed.
func run(t *testing.T, limit, duration time.Duration, states ...http.ConnState) (closed bool) {
	synctest.Test(t, func(t *testing.T) {
		c := &idle.Connections{IdleTimeout: func() time.Duration { return limit }, Clock: clock.System{}}
		ctx, cancel := context.WithCancel(t.Context())
		e := make(chan error)
		go func() { e <- c.Run(ctx) }()
		n := &conn{}
		for _, x := range states {
			c.Track(n, x)
		}
		time.Sleep(duration)
		cancel()
		<-e
		closed = n.closed.Load()
	})
	return closed
}

func TestConnections(t *testing.T) {
	const limit = 4 * time.Second
	t.Run("closes an idle connection after the limit", func(t *testing.T) {
		is.New(t).True(run(t, limit, 10*time.Second, http.StateIdle))
	})
	t.Run("keeps an idle connection within the limit", func(t *testing.T) {
		is.New(t).True(!run(t, limit, limit, http.StateIdle))
	})
	t.Run("keeps an active connection", func(t *testing.T) {
		is.New(t).True(!run(t, limit, 10*time.Second, http.StateIdle, http.StateActive))
	})
	t.Run("keeps idle connections without a limit", func(t *testing.T) {
		is.New(t).True(!run(t, 0, time.Hour, http.StateIdle))
	})
}
