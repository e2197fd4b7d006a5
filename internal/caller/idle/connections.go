// Package idle closes caller connections that have been idle for too long.
//
// The idle timeout comes from the configuration and may change at any time,
// which IdleTimeout of http.Server does not support. A shorter timeout applies
// only to connections that become idle after the change, because callers whose
// connections were idle before the change still rely on the previous timeout.
package idle

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

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
	// expiries holds the time from which each idle connection may be closed.
	expiries map[net.Conn]time.Time
}

// Track records a change of the state of a connection. It is used as ConnState
// of an http.Server. New connections count as idle.
func (c *Connections) Track(connection net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.expiries, connection)
	l := c.IdleTimeout()
	if l <= 0 || state != http.StateIdle && state != http.StateNew {
		return
	}
	if c.expiries == nil {
		c.expiries = make(map[net.Conn]time.Time)
	}
	c.expiries[connection] = c.Clock.Now().Add(l + margin)
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

// closeExpired closes the connections whose idle timeout has passed.
func (c *Connections) closeExpired() {
	t := c.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	k := 0
	for n, e := range c.expiries {
		if t.After(e) {
			n.Close()
			delete(c.expiries, n)
			k++
		}
	}
	if k > 0 {
		c.Log.Info().Stringer("event", sardineknot.LogIdleConnectionsClosed).Int("count", k).Send()
	}
}
