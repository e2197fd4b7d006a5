// Package idle closes caller connections that have been idle for too long.
//
// The idle timeout comes from the configuration and may change at any time,
// which IdleTimeout of http.Server does not support. A shorter timeout applies
// only to connections that become idle after the change, because callers whose
// connections were idle before the change still rely on the previous timeout. A
// longer one applies to all connections.
//
// A connection is closed by its server, after its read deadline was set to a time
// in the past. If the server has just read a request, the deadline is removed and
// the request is answered.
package idle

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"sardineknot.example/sardineknot"
)

const (
	// checkInterval is the time between two checks of all connections.
	checkInterval = time.Second
	// margin is added to the idle timeout, so that the server does not close a
	// connection while a caller that respects the timeout sends a request on
	// it.
	margin = time.Second
)

// Connections tracks the idle connections of one server. It is safe for
// concurrent use. All exported fields must be set before use.
type Connections struct {
	// IdleTimeout returns the idle timeout. Zero or a negative value means no
	// timeout.
	IdleTimeout func() time.Duration
	// Clock returns the current time.
	Clock sardineknot.Clock
	// Log receives an event whenever connections are closed.
	Log zerolog.Logger

	mu sync.Mutex
	// idle holds the state of each idle connection.
	idle map[net.Conn]*idleConnection
}

// idleConnection is the state of a connection without a request.
type idleConnection struct {
	// since is the time at which the connection became idle, and limit the
	// longest idle timeout since then.
	since time.Time
	limit time.Duration
	// expired is set once the read deadline was set.
	expired bool
}

// Track records a change of the state of a connection. It is used as ConnState
// of an http.Server. New connections count as idle.
func (c *Connections) Track(connection net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := c.idle[connection]
	delete(c.idle, connection)
	if i != nil && i.expired && state == http.StateActive {
		c.setReadDeadline(connection, time.Time{})
	}
	l := c.IdleTimeout()
	if l <= 0 || state != http.StateIdle && state != http.StateNew {
		return
	}
	if c.idle == nil {
		c.idle = make(map[net.Conn]*idleConnection)
	}
	c.idle[connection] = &idleConnection{since: c.Clock.Now(), limit: l}
}

// Run closes expired connections until ctx is done. It always returns nil.
func (c *Connections) Run(ctx context.Context) error {
	t := time.NewTicker(checkInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			c.closeExpired()
		case <-ctx.Done():
			return nil
		}
	}
}

// closeExpired makes the server close the connections whose idle timeout has
// passed.
func (c *Connections) closeExpired() {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for k, i := range c.idle {
		if !c.expiredLocked(i) {
			continue
		}
		c.setReadDeadline(k, pastDeadline)
		if !i.expired {
			n++
		}
		i.expired = true
	}
	if n > 0 {
		c.Log.Info().Stringer("event", sardineknot.LogIdleConnectionsClosed).Int("count", n).Send()
	}
}

// expiredLocked reports whether the idle timeout of i has passed. The longest
// timeout since the connection became idle applies.
func (c *Connections) expiredLocked(i *idleConnection) bool {
	l := c.IdleTimeout()
	if l <= 0 {
		return false
	}
	i.limit = max(i.limit, l)
	return c.Clock.Now().Sub(i.since) > i.limit+margin
}

// setReadDeadline sets the read deadline of connection. It fails only for a
// connection that is closed already.
func (c *Connections) setReadDeadline(connection net.Conn, deadline time.Time) {
	err := connection.SetReadDeadline(deadline)
	if err != nil && !errors.Is(err, net.ErrClosed) && !errors.Is(err, io.ErrClosedPipe) {
		c.Log.Warn().Stringer("event", sardineknot.LogIdleConnectionsClosed).Err(err).Send()
	}
}

// pastDeadline is a read deadline that has passed.
var pastDeadline = time.Unix(1, 0)
