// Package httpsd combines the accepted configuration with the states of backend
// servers on the platform's host list. A server is leaving if the configuration
// or the host list declares it leaving.
package httpsd

import (
	"context"
	"maps"
	"slices"
	"sync"

	"github.com/rs/zerolog"

	"sardineknot.example/sardineknot"
)

// Overlay implements sardineknot.ConfigurationSource. It is safe for concurrent
// use. All exported fields must be set before use.
type Overlay struct {
	// Source provides the accepted configuration.
	Source sardineknot.ConfigurationSource
	// LeavingServers returns the backend servers that are leaving according to
	// the host list.
	LeavingServers func() map[sardineknot.BackendServerName]bool
	// LeavingChanged returns a channel that is closed when the set of leaving
	// servers may have changed.
	LeavingChanged func() <-chan struct{}
	// Log receives an event for each change of the set of leaving servers.
	Log zerolog.Logger

	mu sync.Mutex
	// base and leaving are the inputs from which current was computed.
	base    *sardineknot.Configuration
	leaving map[sardineknot.BackendServerName]bool
	current *sardineknot.Configuration
	// changed is closed and replaced on every change of current.
	changed chan struct{}
}

var _ sardineknot.ConfigurationSource = (*Overlay)(nil)

// Current implements sardineknot.ConfigurationSource.
func (o *Overlay) Current() *sardineknot.Configuration {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.refreshLocked()
	return o.current
}

// Changed implements sardineknot.ConfigurationSource.
func (o *Overlay) Changed() <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.refreshLocked()
	return o.changed
}

// Run updates the result of Current when the accepted configuration or the set
// of leaving servers changes, until ctx is done.
func (o *Overlay) Run(ctx context.Context) error {
	for {
		c := o.Source.Changed()
		l := o.LeavingChanged()
		m := o.LeavingServers()
		o.mu.Lock()
		if !maps.Equal(m, o.leaving) {
			o.Log.Info().Stringer("event", sardineknot.LogLeavingBackendServers).Strs("servers", names(m)).Send()
			o.leaving = m
			o.base = nil
		}
		o.refreshLocked()
		o.mu.Unlock()
		select {
		case <-ctx.Done():
			return nil
		case <-c:
		case <-l:
		}
	}
}

// refreshLocked recomputes current if the accepted configuration or the set of
// leaving servers changed, and notifies the listeners of Changed.
func (o *Overlay) refreshLocked() {
	b := o.Source.Current()
	if o.changed == nil {
		o.changed = make(chan struct{})
	}
	if b == o.base {
		return
	}
	o.base = b
	o.current = markLeaving(b, o.leaving)
	close(o.changed)
	o.changed = make(chan struct{})
}

// markLeaving returns b with the servers in m in the leaving state. It does not
// modify b.
func markLeaving(b *sardineknot.Configuration, m map[sardineknot.BackendServerName]bool) *sardineknot.Configuration {
	if len(m) == 0 {
		return b
	}
	c := *b
	c.BackendServers = slices.Clone(b.BackendServers)
	for i, s := range c.BackendServers {
		if m[s.Name] {
			c.BackendServers[i].State = sardineknot.BackendLeaving
		}
	}
	return &c
}

func names(m map[sardineknot.BackendServerName]bool) []string {
	l := make([]string, 0, len(m))
	for n := range m {
		l = append(l, string(n))
	}
	slices.Sort(l)
	return l
}
