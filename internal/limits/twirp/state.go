package twirp

import (
	"time"

	"sardineknot.example/sardineknot"
)

// failure returns how host has just failed, or nil if it is to be queried.
func (c *Client) failure(host sardineknot.EntryHost) error {
	n := c.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ok := c.states[host.ID]
	if !ok || s.incarnation != host.Incarnation || n.Sub(s.failedAt) >= s.validity() {
		return nil
	}
	return s.err
}

// validity returns the time for which the host is not queried again.
func (s hostState) validity() time.Duration {
	if s.gone {
		return goneValidity
	}
	return silentInterval
}

// record records the result of a request to host. err is nil if host granted or
// refused cost.
func (c *Client) record(host sardineknot.EntryHost, err error) {
	n := c.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	o, ok := c.states[host.ID]
	if err == nil {
		if ok {
			delete(c.states, host.ID)
			c.Log.Info().Stringer("event", sardineknot.LogLimitOwnerRegained).Str("peer", string(host.ID)).Send()
		}
		return
	}
	g := isGone(err)
	if !ok || o.gone != g {
		c.Log.Warn().Stringer("event", sardineknot.LogLimitOwnerLost).Str("peer", string(host.ID)).Bool("gone", g).Err(err).Send()
	}
	if c.states == nil || len(c.states) >= maxStates {
		c.states = make(map[sardineknot.EntryHostID]hostState)
	}
	c.states[host.ID] = hostState{incarnation: host.Incarnation, err: err, gone: g, failedAt: n}
}
