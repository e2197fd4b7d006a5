package http1

import (
	"net/netip"
	"time"
)

const (
	// silenceTime is the time without a response after which an exchange is silent.
	silenceTime = 500 * time.Millisecond
	// minSilentServers is the number of servers whose silence at the same time is
	// reported. One server alone may be slow.
	minSilentServers = 2
)

// awaited holds the exchanges whose response has not begun, on connections that lead to
// their servers without another host.
type awaited struct {
	// since holds the time at which each exchange was sent.
	since map[*conn]time.Time
	// heardAt is the time at which the last response began.
	heardAt time.Time
	timer   *time.Timer
}

// await records that the response on k is awaited.
func (c *Client) await(k *conn) {
	if k.through != "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.awaited.since == nil {
		c.awaited.since = make(map[*conn]time.Time)
	}
	c.awaited.since[k] = c.clock.Now()
	switch {
	case len(c.awaited.since) != minSilentServers:
	case c.awaited.timer == nil:
		c.awaited.timer = time.AfterFunc(silenceTime, c.checkSilence)
	default:
		c.awaited.timer.Reset(silenceTime)
	}
}

// endWait records that the wait for the response on k has ended with err, which is nil
// if the response has begun.
func (c *Client) endWait(k *conn, err error) {
	if k.through != "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.awaited.since, k)
	if err == nil {
		c.awaited.heardAt = c.clock.Now()
	}
}

// checkSilence reports silence if several servers are silent and none has answered
// meanwhile. It is called again while several responses are awaited.
func (c *Client) checkSilence() {
	c.mu.Lock()
	n := c.clock.Now()
	l := make(map[netip.AddrPort]bool)
	for k, t := range c.awaited.since {
		if n.Sub(t) >= silenceTime && t.After(c.awaited.heardAt) {
			l[k.server] = true
		}
	}
	if len(c.awaited.since) >= minSilentServers {
		c.awaited.timer.Reset(silenceTime)
	}
	c.mu.Unlock()
	if len(l) >= minSilentServers {
		c.Dialer.ReportSilence()
	}
}
