// Package idle closes connections of callers that stay idle for too long.
//
// The bound comes from the configuration and may change at any time, which the
// server of net/http does not allow for its own. A bound that shrinks holds for
// connections that become idle from then on, since callers go by the bound that
// they knew.
package idle

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"sardineknot.example/sardineknot"
)

const (
	// sweepInterval is the time between two looks at all connections.
	sweepInterval = time.Second
	// margin is added to the bound, so that a request of a caller that keeps to
	// it does not cross the close.
	margin = time.Second
)

// Connections holds the idle connections of one server. Its exported fields are
// set before use.
type Connections struct {
	// Limit returns the time for which a connection may be idle. Zero does not
	// bound it.
	Limit func() time.Duration
	// Clock gives the time.
	Clock sardineknot.Clock

	mu sync.Mutex
	// ends holds the time at which each idle connection is closed.
	ends map[net.Conn]time.Time
}

// Track notes the state of a connection. It is the ConnState of a server.
func (c *Connections) Track(n net.Conn, s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.ends, n)
	l := c.Limit()
	if l <= 0 || s != http.StateIdle && s != http.StateNew {
		return
	}
	if c.ends == nil {
		c.ends = make(map[net.Conn]time.Time)
	}
	c.ends[n] = c.Clock.Now().Add(l + margin)
}

// Run closes connections until ctx is done.
func (c *Connections) Run(ctx context.Context) error {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			c.sweep()
		case <-ctx.Done():
			return nil
		}
	}
}

func (c *Connections) sweep() {
	t := c.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for n, e := range c.ends {
		if t.After(e) {
			n.Close()
			delete(c.ends, n)
		}
	}
}
