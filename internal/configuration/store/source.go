// Package store assembles the configuration from the entries that operators and
// backend servers write to the platform's key-value service.
//
// A configuration is never replaced by one with a smaller revision. If the
// entry of a backend server is removed while the service is available, the
// server is removed at once. If the entry is removed during an outage of the
// service or shortly after it, the server is kept for a short time, in which it
// may write the entry again.
//
// A server that has said in an answer that it is leaving counts as leaving from
// then on, whatever its entry says later.
package store

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/configuration/departed"
	"sardineknot.example/sardineknot/internal/configuration/leaving"
)

// reregistrationGrace is the time after an outage of the service during which
// backend servers whose entries were removed are kept, so that they can write
// their entries again.
const reregistrationGrace = 2200 * time.Millisecond

// Source implements sardineknot.ConfigurationSource. It is safe for concurrent
// use. The exported fields must be set before use.
type Source struct {
	// Decoder decodes the entries of the service.
	Decoder sardineknot.StoreEntryDecoder
	// Clock provides the current time.
	Clock sardineknot.Clock
	// Reachability reports whether the service answers. since is the time at
	// which it last started or stopped answering.
	Reachability func() (reachable bool, since time.Time)
	// Log receives an event for each accepted or rejected entry and each
	// removed server.
	Log zerolog.Logger

	mu sync.Mutex
	// current is the result of Current. It is replaced on every change, never
	// modified.
	current *sardineknot.Configuration
	changed chan struct{}
	// base is the operators' configuration, which has no backend servers. accepted is
	// the entry that it was read from.
	base     *sardineknot.Configuration
	accepted sardineknot.StoreEntry
	// servers holds the backend servers with a valid entry, by key.
	servers map[string]*server
	// leaving holds the processes that have said that they are leaving, and departed
	// those whose entries were removed.
	leaving  *leaving.Set
	departed *departed.Set
	// dirty is true while current does not reflect all applied entries.
	dirty bool
}

// server is a backend server and the state of its entry.
type server struct {
	sardineknot.BackendServer
	// sequence is the number of the last report of the process, which was read in era.
	sequence int64
	era      sardineknot.StoreEra
	// removedAt is the time at which the entry was removed, or zero while it
	// exists.
	removedAt time.Time
}

var _ sardineknot.ConfigurationSource = (*Source)(nil)

// NewSource returns a source that provides the empty configuration.
func NewSource() *Source {
	return &Source{
		current: &sardineknot.Configuration{},
		base:    &sardineknot.Configuration{},
		changed: make(chan struct{}),
		servers: make(map[string]*server),
		leaving: leaving.NewSet(),

		departed: departed.NewSet(),
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

// Apply applies a changed entry of the service. An entry without a revision
// number was removed. The change is not visible in Current until Commit is called.
// Apply reports whether the entry says more than is known: most writes of
// backend servers only show that the server is alive.
func (s *Source) Apply(e sardineknot.StoreEntry) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.Revision.Absent() {
		return s.removeLocked(e.Key)
	}
	c, ok, err := s.Decoder.DecodeConfiguration(e)
	if ok {
		return s.acceptLocked(e, c, err)
	}
	b, ok, err := s.Decoder.DecodeServer(e)
	return ok && s.putLocked(e, b, err)
}

func (s *Source) acceptLocked(e sardineknot.StoreEntry, c *sardineknot.Configuration, err error) bool {
	if err != nil {
		s.Log.Error().Stringer("event", sardineknot.LogConfigurationRefused).Err(err).Send()
		return true
	}
	if c.Revision <= s.base.Revision {
		return false
	}
	s.Log.Info().Stringer("event", sardineknot.LogConfigurationAccepted).Int64("revision", int64(c.Revision)).Int("routes", len(c.Routes)).Send()
	s.base, s.accepted, s.dirty = c, e, true
	return true
}

// Accepted returns the entry of the operators' configuration that was accepted last,
// and its revision. The revision is zero if there is none.
func (s *Source) Accepted() (entry sardineknot.StoreEntry, revision sardineknot.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepted, s.base.Revision
}

func (s *Source) putLocked(e sardineknot.StoreEntry, b sardineknot.BackendServer, err error) bool {
	k := e.Key
	o := s.servers[k]
	if err != nil {
		if o != nil {
			delete(s.servers, k)
			s.dirty = true
		}
		s.Log.Warn().Stringer("event", sardineknot.LogServerEntryRefused).Str("server", string(b.Name)).Err(err).Send()
		return true
	}
	q, r := b.Sequence, e.Revision.Era
	b.Sequence = 0
	if s.outdatedLocked(o, b, q, r) {
		s.Log.Info().Stringer("event", sardineknot.LogServerEntryOutdated).Str("server", string(b.Name)).Int64("sequence", q).Send()
		return false
	}
	if o != nil && o.removedAt.IsZero() && o.BackendServer == b {
		o.sequence, o.era = q, r
		return false
	}
	s.servers[k] = &server{BackendServer: b, sequence: q, era: r}
	s.dirty = true
	s.Log.Info().Stringer("event", sardineknot.LogServerKnown).Str("server", string(b.Name)).Str("address", b.Address.String()).
		Str("service", b.Service).Str("role", string(b.Role)).Str("state", string(b.State)).
		Str("version", string(b.SoftwareVersion)).Send()
	return true
}

// outdatedLocked reports whether an entry of process b with the given sequence number,
// read in era, is older than what is known of the process. known is the last entry of
// the same name, or nil.
func (s *Source) outdatedLocked(known *server, b sardineknot.BackendServer, sequence int64, era sardineknot.StoreEra) bool {
	if known != nil && known.Born != 0 && known.Born == b.Born {
		return sequence < known.sequence
	}
	return s.departed.Outdated(b, sequence, era)
}

func (s *Source) removeLocked(k string) bool {
	o := s.servers[k]
	if o == nil || !o.removedAt.IsZero() {
		return false
	}
	o.removedAt = s.Clock.Now()
	s.dirty = true
	return true
}

// Commit puts all applied changes in force. It removes the servers whose
// entries were removed, except during an outage of the service and shortly
// after it.
func (s *Source) Commit() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	if !s.dirty {
		return
	}
	s.dirty = false
	s.replaceLocked(s.composeLocked())
}

// replaceLocked puts c in force.
func (s *Source) replaceLocked(c *sardineknot.Configuration) {
	c.BackendServers = s.leaving.Overlay(c.BackendServers)
	s.current = c
	close(s.changed)
	s.changed = make(chan struct{})
}

// MarkLeaving records that the process which was born at the given time under
// name has said that it is leaving. It has the state BackendLeaving in Current at
// once and for good. Entries that were applied and not committed stay invisible.
// witness names the entry host that got the answer.
func (s *Source) MarkLeaving(name sardineknot.BackendServerName, born int64, witness sardineknot.EntryHostID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.leaving.Add(name, born) {
		return
	}
	s.Log.Info().Stringer("event", sardineknot.LogServerLeavingSeen).Str("server", string(name)).Int64("born", born).Str("witness", string(witness)).Send()
	c := *s.current
	s.replaceLocked(&c)
}

// expireLocked removes the servers whose entries were removed, unless the
// service is unavailable or has been available for less than
// reregistrationGrace.
func (s *Source) expireLocked() {
	k, t := s.Reachability()
	if !k || s.Clock.Now().Sub(t) < reregistrationGrace {
		return
	}
	for n, o := range s.servers {
		if o.removedAt.IsZero() {
			continue
		}
		delete(s.servers, n)
		s.departed.Add(o.BackendServer, o.sequence, o.era)
		s.dirty = true
		s.Log.Info().Stringer("event", sardineknot.LogServerGone).Str("server", string(o.Name)).Send()
	}
}

// composeLocked returns the operators' configuration with the backend servers
// of its services. Servers of unknown services are left out.
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
		c.BackendServers = append(c.BackendServers, withServiceSettings(o.BackendServer, v))
	}
	slices.SortFunc(c.BackendServers, func(a, b sardineknot.BackendServer) int { return cmp.Compare(a.Name, b.Name) })
	return &c
}

// withServiceSettings returns b with those fields set that its service v
// determines.
func withServiceSettings(b sardineknot.BackendServer, v *sardineknot.Service) sardineknot.BackendServer {
	if v.Engine == nil {
		b.Role = sardineknot.RolePlain
		return b
	}
	b.MemoryTokens = v.Engine.MemoryTokens
	b.EventTokens = v.Engine.EventTokens
	return b
}
