// Package httpsd lays the states of backend servers on the platform's host
// list over the accepted configuration: a server that is leaving by either is
// leaving.
package httpsd

import (
	"context"
	"maps"
	"slices"
	"sync"

	"github.com/rs/zerolog"

	"sardineknot.example/sardineknot"
)

// Overlay is a sardineknot.ConfigurationSource. It is safe for concurrent use.
// All exported fields are set before use.
type Overlay struct {
	// Source gives the accepted configuration.
	Source sardineknot.ConfigurationSource
	// Leaving returns the backend servers that the host list calls leaving.
	Leaving func() map[sardineknot.BackendServerName]bool
	// LeavingChanged returns a channel that is closed when Leaving may have
	// changed.
	LeavingChanged func() <-chan struct{}
	// Log takes one event for each change of the leaving servers.
	Log zerolog.Logger

	mu sync.Mutex
	// base and leaving are what current was made from.
	base    *sardineknot.Configuration
	leaving map[sardineknot.BackendServerName]bool
	current *sardineknot.Configuration
	// changed is closed and replaced at every change of current.
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

// Run makes Changed follow both sources until ctx is done.
func (o *Overlay) Run(ctx context.Context) error {
	for {
		c := o.Source.Changed()
		l := o.LeavingChanged()
		m := o.Leaving()
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

// refreshLocked makes current follow the accepted configuration.
func (o *Overlay) refreshLocked() {
	b := o.Source.Current()
	if o.changed == nil {
		o.changed = make(chan struct{})
	}
	if b == o.base {
		return
	}
	o.base = b
	o.current = overlaid(b, o.leaving)
	close(o.changed)
	o.changed = make(chan struct{})
}

// overlaid returns b with the servers in m leaving.
func overlaid(b *sardineknot.Configuration, m map[sardineknot.BackendServerName]bool) *sardineknot.Configuration {
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
