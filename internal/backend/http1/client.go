package http1

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/backend/tcp"
)

const (
	// maxIdleTime is the longest time for which an idle connection is kept
	// open.
	maxIdleTime = 4 * time.Second
	// minFreshIdleTime and maxFreshIdleTime are the shortest and the longest idle time of a
	// connection that is reused for an exchange with FreshConnection set, which must not fail
	// because the server closes the connection. If it does so after a response, its end
	// arrives within the shorter time, or within minFreshTunnelIdleTime through another host.
	minFreshIdleTime       = 20 * time.Millisecond
	minFreshTunnelIdleTime = 100 * time.Millisecond
	maxFreshIdleTime       = 700 * time.Millisecond
	// maxIdleConns bounds the idle connections to each server.
	maxIdleConns = 16
)

// Client is a sardineknot.Exchanger with a pool of idle connections. It is
// safe for concurrent use.
type Client struct {
	// Dialer connects to servers. NewClient sets one that uses TCP only.
	Dialer sardineknot.ServerDialer
	// Log receives an event for each exchange through another entry host. The zero value
	// receives none.
	Log zerolog.Logger

	clock sardineknot.Clock
	// opened and reused count the exchanges on new and on reused connections.
	opened metrics.Counter
	reused metrics.Counter
	// answers counts the responses by their framing.
	answers map[sardineknot.Framing]metrics.Counter

	mu sync.Mutex
	// idle holds the idle connections by server, in the order in which they
	// became idle.
	idle map[netip.AddrPort][]*conn
	// awaited holds the exchanges whose response has not begun.
	awaited awaited
}

var _ sardineknot.Exchanger = (*Client)(nil)

// NewClient returns a client without connections, which registers its counters
// in registry.
func NewClient(c sardineknot.Clock, registry metrics.Registry) *Client {
	return &Client{
		Dialer:  tcp.Dialer{},
		clock:   c,
		opened:  metrics.GetOrRegisterCounter("backend.connections.opened", registry),
		reused:  metrics.GetOrRegisterCounter("backend.connections.reused", registry),
		answers: answerCounters(registry),
		idle:    make(map[netip.AddrPort][]*conn),
	}
}

// answerCounters registers a counter for each framing in registry.
func answerCounters(registry metrics.Registry) map[sardineknot.Framing]metrics.Counter {
	m := make(map[sardineknot.Framing]metrics.Counter)
	for _, f := range []sardineknot.Framing{sardineknot.FramingLength, sardineknot.FramingChunks, sardineknot.FramingConnection} {
		m[f] = metrics.GetOrRegisterCounter("backend.answers{framing="+string(f)+"}", registry)
	}
	return m
}

// CloseIdle closes all idle connections.
func (c *Client) CloseIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for a, l := range c.idle {
		for _, k := range l {
			k.Close()
		}
		delete(c.idle, a)
	}
}

// Exchange implements sardineknot.Exchanger. The exchange is aborted when ctx
// is done, also while the body of the response is read.
func (c *Client) Exchange(ctx context.Context, address netip.AddrPort, exchange sardineknot.ExchangeRequest) (*sardineknot.Response, error) {
	k, err := c.connection(ctx, address, exchange)
	if err != nil {
		return nil, errors.WithStack(&sardineknot.UnsentError{Server: address, Cause: err})
	}
	if k.through != "" {
		c.Log.Info().Stringer("event", sardineknot.LogCallTunnelled).Str("request", exchange.EchoValue).Str("server_address", address.String()).Str("peer", string(k.through)).Send()
	}
	return k.roundTrip(ctx, exchange)
}

// connection returns an idle connection to address for exchange, or a new one. A late
// copy of an earlier response is distinguished from the response to exchange by the echoed value.
// An exchange without one gets a new connection, unless it permits a kept one.
func (c *Client) connection(ctx context.Context, address netip.AddrPort, exchange sardineknot.ExchangeRequest) (*conn, error) {
	for exchange.EchoHeader != "" || exchange.KeptConnection {
		k := c.takeIdle(address, exchange)
		if k == nil {
			break
		}
		if k.stopIdleRead() && c.Dialer.Usable(k.Conn) {
			c.reused.Inc(1)
			return k, nil
		}
		k.Close()
	}
	n, err := c.Dialer.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	c.opened.Inc(1)
	return newConn(c, address, n), nil
}

// takeIdle removes and returns the connection to address that has been idle for the
// shortest time of those that suit exchange, or nil if there is none. It closes the
// connections that have been idle for too long.
func (c *Client) takeIdle(address netip.AddrPort, exchange sardineknot.ExchangeRequest) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expireLocked(address)
	l := c.idle[address]
	for i := len(l) - 1; i >= 0; i-- {
		k := l[i]
		if k.suits(exchange, c.clock.Now()) {
			c.idle[address] = slices.Delete(l, i, i+1)
			return k
		}
	}
	return nil
}

// expireLocked closes the connections to address that have been idle for too
// long.
func (c *Client) expireLocked(address netip.AddrPort) {
	n := c.clock.Now()
	l := c.idle[address]
	for len(l) > 0 && n.Sub(l[0].idleSince) > l[0].idleTimeout {
		l[0].Close()
		l = l[1:]
	}
	if len(l) == 0 {
		delete(c.idle, address)
		return
	}
	c.idle[address] = l
}

// putIdle keeps a connection for later exchanges, or closes it if there are
// maxIdleConns already.
func (c *Client) putIdle(released *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	released.idleSince = c.clock.Now()
	c.expireLocked(released.server)
	if len(c.idle[released.server]) >= maxIdleConns {
		released.Close()
		return
	}
	c.idle[released.server] = append(c.idle[released.server], released)
	released.startIdleRead()
}

// Run periodically closes the connections that have been idle for too long,
// until ctx is done. It always returns nil.
func (c *Client) Run(ctx context.Context) error {
	t := time.NewTicker(maxIdleTime)
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

// expire closes the connections to all servers that have been idle for too
// long.
func (c *Client) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for a := range c.idle {
		c.expireLocked(a)
	}
}
