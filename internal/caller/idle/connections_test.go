package idle_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot/internal/caller/idle"
	"sardineknot.example/sardineknot/internal/host/clock"
)

// conn tells whether it was closed.
type conn struct {
	net.Conn
	closed bool
}

func (c *conn) Close() error {
	c.closed = true
	return nil
}

// run tracks a connection in state s for d.
func run(t *testing.T, limit, d time.Duration, s ...http.ConnState) (closed bool) {
	synctest.Test(t, func(t *testing.T) {
		c := &idle.Connections{Limit: func() time.Duration { return limit }, Clock: clock.System{}}
		ctx, cancel := context.WithCancel(t.Context())
		e := make(chan error)
		go func() { e <- c.Run(ctx) }()
		n := &conn{}
		for _, x := range s {
			c.Track(n, x)
		}
		time.Sleep(d)
		cancel()
		<-e
		closed = n.closed
	})
	return closed
}

func TestConnections(t *testing.T) {
	const limit = 4 * time.Second
	t.Run("an idle connection is closed after its time", func(t *testing.T) {
		is.New(t).True(run(t, limit, 10*time.Second, http.StateIdle))
	})
	t.Run("a connection that a caller may still use is kept", func(t *testing.T) {
		is.New(t).True(!run(t, limit, limit, http.StateIdle))
	})
	t.Run("a connection at work is kept", func(t *testing.T) {
		is.New(t).True(!run(t, limit, 10*time.Second, http.StateIdle, http.StateActive))
	})
	t.Run("without a bound connections are kept", func(t *testing.T) {
		is.New(t).True(!run(t, 0, time.Hour, http.StateIdle))
	})
}
