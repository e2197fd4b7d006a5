// Package store holds the configuration that operators and backend servers
// write into the platform's key-value service.
//
// A configuration never gives way to an older one. The entry of a backend
// server that goes away while the service answers means that the server is
// gone; one that went while the service was away may come back and is kept for
// a short time.
package store

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"sardineknot.example/sardineknot"
)

// returnTime is the time that backend servers have to write their entries again
// after the service was away.
const returnTime = 2200 * time.Millisecond

// Source is a sardineknot.ConfigurationSource. Its exported fields are set
// before use.
type Source struct {
	// Decoder decodes entries.
	Decoder sardineknot.EntryDecoder
	// Clock gives the time.
	Clock sardineknot.Clock
	// Contact tells whether the service answers, and since when this is so.
	Contact func() (reachable bool, since time.Time)
	// Log takes an event for each change.
	Log zerolog.Logger

	mu sync.Mutex
	// current is what Current returns. It is replaced at every change.
	current *sardineknot.Configuration
	changed chan struct{}
	// base is the operators' configuration.
	base *sardineknot.Configuration
	// servers holds the servers with a proper entry, by key.
	servers map[string]*server
	// dirty tells that current does not hold all that is known.
	dirty bool
}

// server is a backend server with an entry.
type server struct {
	sardineknot.BackendServer
	// goneAt is the time at which the entry went away. It is zero while there
	// is one.
	goneAt time.Time
}

var _ sardineknot.ConfigurationSource = (*Source)(nil)

// NewSource returns a source of the empty configuration.
func NewSource() *Source {
	return &Source{
		current: &sardineknot.Configuration{},
		base:    &sardineknot.Configuration{},
		changed: make(chan struct{}),
		servers: make(map[string]*server),
	}
}

// Current implements sardineknot.ConfigurationSource.
func (s *Source) Current() *sardineknot.Configuration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// Changed implements sardineknot.ConfigurationSource.
func (s *Source) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Take takes in a changed entry of the service.
func (s *Source) Take(e sardineknot.StoreEntry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.Revision == 0 {
		s.removeLocked(e.Key)
		return
	}
	c, ok, err := s.Decoder.Configuration(e)
	if ok {
		s.acceptLocked(c, err)
		return
	}
	b, ok, err := s.Decoder.Server(e)
	if ok {
		s.putLocked(e.Key, b, err)
	}
}

func (s *Source) acceptLocked(c *sardineknot.Configuration, err error) {
	if err != nil {
		s.Log.Error().Stringer("event", sardineknot.LogConfigurationRefused).Err(err).Send()
		return
	}
	if c.Revision <= s.base.Revision {
		return
	}
	s.Log.Info().Stringer("event", sardineknot.LogConfigurationAccepted).Int64("revision", int64(c.Revision)).Int("routes", len(c.Routes)).Send()
	s.base, s.dirty = c, true
}

func (s *Source) putLocked(k string, b sardineknot.BackendServer, err error) {
	o := s.servers[k]
	if err != nil {
		if o != nil {
			delete(s.servers, k)
			s.dirty = true
		}
		s.Log.Warn().Stringer("event", sardineknot.LogServerEntryRefused).Str("server", string(b.Name)).Err(err).Send()
		return
	}
	if o != nil && o.goneAt.IsZero() && o.BackendServer == b {
		return
	}
	s.servers[k] = &server{BackendServer: b}
	s.dirty = true
	s.Log.Info().Stringer("event", sardineknot.LogServerKnown).Str("server", string(b.Name)).Str("address", b.Address.String()).
		Str("service", b.Service).Str("role", string(b.Role)).Str("state", string(b.State)).Send()
}

func (s *Source) removeLocked(k string) {
	o := s.servers[k]
	if o == nil || !o.goneAt.IsZero() {
		return
	}
	o.goneAt = s.Clock.Now()
	s.dirty = true
}

// Settle puts what was taken in into force.
func (s *Source) Settle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	if !s.dirty {
		return
	}
	s.dirty = false
	s.current = s.composeLocked()
	close(s.changed)
	s.changed = make(chan struct{})
}

// expireLocked forgets the servers whose entries are not expected back.
func (s *Source) expireLocked() {
	k, t := s.Contact()
	if !k || s.Clock.Now().Sub(t) < returnTime {
		return
	}
	for n, o := range s.servers {
		if o.goneAt.IsZero() {
			continue
		}
		delete(s.servers, n)
		s.dirty = true
		s.Log.Info().Stringer("event", sardineknot.LogServerGone).Str("server", string(o.Name)).Send()
	}
}

// composeLocked returns the configuration with the backend servers.
func (s *Source) composeLocked() *sardineknot.Configuration {
	c := *s.base
	c.BackendServers = nil
	m := make(map[sardineknot.ServiceName]*sardineknot.Service, len(c.Services))
	for i := range c.Services {
		m[c.Services[i].Name] = &c.Services[i]
	}
	for _, o := range s.servers {
		v := m[sardineknot.ServiceName(o.Service)]
		if v == nil {
			continue
		}
		c.BackendServers = append(c.BackendServers, complete(o.BackendServer, v))
	}
	slices.SortFunc(c.BackendServers, func(a, b sardineknot.BackendServer) int { return cmp.Compare(a.Name, b.Name) })
	return &c
}

// complete fills in what the service v tells of its server b.
func complete(b sardineknot.BackendServer, v *sardineknot.Service) sardineknot.BackendServer {
	if v.Engine == nil {
		b.Role = sardineknot.RolePlain
		return b
	}
	b.MemoryTokens = v.Engine.MemoryTokens
	b.EventTokens = v.Engine.EventTokens
	return b
}
