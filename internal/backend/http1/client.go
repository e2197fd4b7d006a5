package http1

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"sardineknot.example/sardineknot"
)

const (
	// dialTimeout bounds the opening of a connection. Servers whose queue of
	// new connections is full answer after seconds, which is too late.
	dialTimeout = 400 * time.Millisecond
	// idleLimit is the longest time for which an idle connection is kept.
	idleLimit = 4 * time.Second
	// freshLimit is the same for exchanges that must not be lost to a
	// connection that the server has closed.
	freshLimit = 700 * time.Millisecond
	// maxIdle bounds the idle connections to one server.
	maxIdle = 16
)

// Client is a sardineknot.Exchanger.
type Client struct {
	clock sardineknot.Clock
	// opened and reused count the connections of exchanges.
	opened metrics.Counter
	reused metrics.Counter

	mu sync.Mutex
	// idle holds the idle connections by server, the one idle for longest
	// first.
	idle map[netip.AddrPort][]*conn
}

var _ sardineknot.Exchanger = (*Client)(nil)

// NewClient returns a client without connections that counts in r.
func NewClient(c sardineknot.Clock, r metrics.Registry) *Client {
	return &Client{
		clock:  c,
		opened: metrics.GetOrRegisterCounter("backend.connections.opened", r),
		reused: metrics.GetOrRegisterCounter("backend.connections.reused", r),
		idle:   make(map[netip.AddrPort][]*conn),
	}
}

// Exchange implements sardineknot.Exchanger. The exchange is broken off when
// ctx ends, also while the body of the answer is read.
func (c *Client) Exchange(ctx context.Context, a netip.AddrPort, e sardineknot.Exchange) (*sardineknot.Reply, error) {
	k, err := c.connection(ctx, a, e.Fresh)
	if err != nil {
		return nil, errors.WithStack(&sardineknot.UnsentError{Server: a, Cause: err})
	}
	return k.exchange(ctx, e)
}

// connection returns an idle connection to a, or a new one.
func (c *Client) connection(ctx context.Context, a netip.AddrPort, fresh bool) (*conn, error) {
	for {
		k := c.take(a, fresh)
		if k == nil {
			break
		}
		if k.wakeUp() {
			c.reused.Inc(1)
			return k, nil
		}
		k.Close()
	}
	d := net.Dialer{Timeout: dialTimeout}
	n, err := d.DialContext(ctx, "tcp", a.String())
	if err != nil {
		return nil, err
	}
	c.opened.Inc(1)
	return newConn(c, a, n), nil
}

// take removes the connection to a that was idle for the shortest time, and
// closes those that were idle for too long.
func (c *Client) take(a netip.AddrPort, fresh bool) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expireLocked(a)
	l := c.idle[a]
	if len(l) == 0 {
		return nil
	}
	k := l[len(l)-1]
	if fresh && c.clock.Now().Sub(k.since) > freshLimit {
		return nil
	}
	c.idle[a] = l[:len(l)-1]
	return k
}

func (c *Client) expireLocked(a netip.AddrPort) {
	n := c.clock.Now()
	l := c.idle[a]
	for len(l) > 0 && n.Sub(l[0].since) > l[0].keep {
		l[0].Close()
		l = l[1:]
	}
	if len(l) == 0 {
		delete(c.idle, a)
		return
	}
	c.idle[a] = l
}

// put keeps k for later exchanges.
func (c *Client) put(k *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k.since = c.clock.Now()
	c.expireLocked(k.server)
	if len(c.idle[k.server]) >= maxIdle {
		k.Close()
		return
	}
	c.idle[k.server] = append(c.idle[k.server], k)
	k.sleep()
}

// Run closes connections that are idle for too long, until ctx is done.
func (c *Client) Run(ctx context.Context) error {
	t := time.NewTicker(idleLimit)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			c.expire()
		case <-ctx.Done():
			return nil
		}
	}
}

func (c *Client) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for a := range c.idle {
		c.expireLocked(a)
	}
}
