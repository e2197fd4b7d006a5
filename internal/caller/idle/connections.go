// Package idle closes caller connections that have been idle for too long.
//
// The idle timeout comes from the configuration and may change at any time,
// which IdleTimeout of http.Server does not support. A shorter timeout applies
// only to connections that become idle after the change, because callers whose
// connections were idle before the change still rely on the previous timeout. A
// longer one applies to all connections.
//
// A connection is closed by its server, after its read deadline was set to a time
// in the past. If a byte has arrived on it by then, the deadline is removed and the
// request is answered. The same holds for a planned stop: http.Server.Shutdown would
// close a connection from which a request was just read.
package idle

import (
	"context"
	"io"
	"math"
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
	// unlimited is the idle timeout of connections without one. It leaves room for
	// margin.
	unlimited = math.MaxInt64 - margin
	// drainInterval is the time between two checks of all connections in Drain.
	drainInterval = 20 * time.Millisecond
	// drainIdleTime is the time for which a connection must be idle before Drain
	// closes it. The caller may send its next request as soon as it has the answer,
	// while the server has yet to read it.
	drainIdleTime = 100 * time.Millisecond
	// drainNewTime is drainIdleTime for connections without a request yet, whose
	// callers have connected in order to send one.
	drainNewTime = 2 * time.Second
)

// Connections tracks the connections of one server. It is safe for
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
	// tracked holds the state of each open connection.
	tracked map[net.Conn]*connectionState
	// draining is set by Drain.
	draining bool
	// listener is the one that Listener returned, or nil.
	listener *listener
}

// connectionState is the state of a connection.
type connectionState struct {
	// active is set while a request is served, and fresh until the first one is.
	active bool
	fresh  bool
	// received is set if bytes were read since the connection became idle.
	received bool
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
	if c.tracked == nil {
		c.tracked = make(map[net.Conn]*connectionState)
	}
	i := c.tracked[connection]
	if i != nil && i.expired && state == http.StateActive {
		c.setReadDeadline(connection, time.Time{})
	}
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(c.tracked, connection)
	case http.StateActive:
		c.tracked[connection] = &connectionState{active: true}
	default:
		l := c.IdleTimeout()
		if l <= 0 {
			l = unlimited
		}
		c.tracked[connection] = &connectionState{fresh: state == http.StateNew, since: c.Clock.Now(), limit: l}
	}
}

// recordRead records that bytes were read from connection. It is not closed before
// the request that they begin is answered.
func (c *Connections) recordRead(connection net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := c.tracked[connection]
	if i == nil {
		return
	}
	i.received = true
	if i.expired {
		i.expired = false
		c.setReadDeadline(connection, time.Time{})
	}
}

// isExpired reports whether the idle time of connection has passed.
func (c *Connections) isExpired(connection net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := c.tracked[connection]
	return i != nil && i.expired
}

// isActive reports whether a request on connection is served or was the last thing that
// happened on it.
func (c *Connections) isActive(connection net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := c.tracked[connection]
	return i != nil && i.active
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
	for k, i := range c.tracked {
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

// expiredLocked reports whether i is idle and its idle timeout has passed. The longest
// timeout since the connection became idle applies.
func (c *Connections) expiredLocked(i *connectionState) bool {
	if i.active || i.received {
		return false
	}
	d := c.Clock.Now().Sub(i.since)
	if c.draining {
		return d >= drainIdleTime && !i.fresh || d >= drainNewTime
	}
	l := c.IdleTimeout()
	if l <= 0 {
		return false
	}
	i.limit = max(i.limit, l)
	return d > i.limit+margin
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
