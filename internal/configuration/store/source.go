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
	"bytes"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/configuration/departed"
	"sardineknot.example/sardineknot/internal/configuration/leaving"
	"sardineknot.example/sardineknot/internal/platform/refused"
)

// reregistrationGrace is the time after an outage of the service during which
// backend servers whose entries were removed are kept, so that they can write
// their entries again.
const reregistrationGrace = 2200 * time.Millisecond

// maxLoggedServers is the number of servers in one commit up to which each has a line
// in the log. At a start, lines about thousands cost as much as reading their entries.
const maxLoggedServers = 64

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
	// removed server. A server whose entry is rejected again has no further event.
	Log zerolog.Logger
	// Refused counts the entries of servers that were rejected. Nil counts none.
	Refused metrics.Counter

	mu sync.Mutex
	// current is the result of Current. It is replaced on every change, never
	// modified.
	current *sardineknot.Configuration
	changed chan struct{}
	// base is the operators' configuration, which has no backend servers. accepted is
	// the entry that it was read from.
	base     *sardineknot.Configuration
	accepted sardineknot.StoreEntry
	// offered is the last entry of an operators' configuration that Apply received, accepted
	// or not.
	offered sardineknot.StoreEntry
	// servers holds the backend servers with a valid entry, by key.
	servers map[string]*server
	// removed holds the keys of servers whose entries were removed.
	removed map[string]bool
	// leaving holds the processes that have reported that they are leaving, and departed
	// those whose entries were removed, or replaced by that of the next process.
	leaving  *leaving.Set
	departed *departed.Set
	// refused holds the keys of servers whose entries were rejected.
	refused refused.Set
	// stale is true while composed does not reflect base.
	stale bool
	// touched names, by key, the servers in which composed may differ from servers.
	touched map[string]sardineknot.BackendServerName
	// composed holds the servers of current without the effect of leaving, ordered by
	// name. It is replaced on every change, never modified.
	composed []sardineknot.BackendServer
}

// server is a backend server and the state of its entry.
type server struct {
	sardineknot.BackendServer
	// value is the value of the entry that was decoded. latest is that of the last one,
	// which contains nothing new, and was read in era.
	value, latest []byte
	era           sardineknot.StoreEra
	// removedAt is the time at which the entry was removed, or zero while it
	// exists.
	removedAt time.Time
}

// comparer is a StoreEntryDecoder that can determine cheaply that an entry is no news.
type comparer interface {
	// SameServer reports whether the values previous and next of the same key decode to
	// the same server. previous was decoded without an error. SameServer may return
	// false although they do.
	SameServer(previous, next []byte) bool
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
		removed: make(map[string]bool),
		touched: make(map[string]sardineknot.BackendServerName),

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
// Apply reports whether hosts that read from this one need the entry: most writes
// of backend servers only show that the server is alive. A configuration that this
// host has from Adopt is needed as well.
func (s *Source) Apply(e sardineknot.StoreEntry) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.Revision.Absent() {
		return s.removeLocked(e.Key)
	}
	if s.repeatedLocked(e) {
		return false
	}
	b := s.Clock.Now()
	c, ok, err := s.Decoder.DecodeConfiguration(e)
	if ok {
		n := e.Revision.Era != s.offered.Revision.Era || !bytes.Equal(e.Value, s.offered.Value)
		s.offered = e
		s.acceptLocked(e, c, s.Clock.Now().Sub(b), err)
		return n
	}
	r, ok, err := s.Decoder.DecodeServer(e)
	return ok && s.putLocked(e, r, err)
}

// repeatedLocked reports whether e certainly describes the server that is known.
func (s *Source) repeatedLocked(e sardineknot.StoreEntry) bool {
	c, ok := s.Decoder.(comparer)
	if !ok {
		return false
	}
	o := s.servers[e.Key]
	if o == nil || !o.removedAt.IsZero() || !c.SameServer(o.value, e.Value) {
		return false
	}
	o.latest, o.era = e.Value, e.Revision.Era
	return true
}

// Adopt applies the operators' configuration that another host has in force. It has no
// effect on what Apply reports. The change is not visible in Current until Commit is called.
func (s *Source) Adopt(e sardineknot.StoreEntry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.Clock.Now()
	c, ok, err := s.Decoder.DecodeConfiguration(e)
	if ok {
		s.acceptLocked(e, c, s.Clock.Now().Sub(b), err)
	}
}

// acceptLocked makes c, which was decoded from e within the given time and with the error
// err, the operators' configuration if it is valid and newer than the present one.
func (s *Source) acceptLocked(e sardineknot.StoreEntry, c *sardineknot.Configuration, took time.Duration, err error) {
	if err != nil {
		s.Log.Error().Stringer("event", sardineknot.LogConfigurationRefused).Err(err).Send()
		return
	}
	if c.Revision <= s.base.Revision {
		return
	}
	s.Log.Info().Stringer("event", sardineknot.LogConfigurationAccepted).Int64("revision", int64(c.Revision)).Int("routes", len(c.Routes)).
		Int("bytes", len(e.Value)).Dur("decode_ms", took).Send()
	s.base, s.accepted, s.stale = c, e, true
}

// Accepted returns the entry of the operators' configuration that was accepted last,
// and its revision. The revision is zero if there is none.
func (s *Source) Accepted() (entry sardineknot.StoreEntry, revision sardineknot.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepted, s.base.Revision
}

func (s *Source) putLocked(e sardineknot.StoreEntry, b sardineknot.BackendServer, err error) bool {
	o := s.servers[e.Key]
	if err != nil {
		return s.refuseLocked(e.Key, b.Name, o, err)
	}
	s.refused.Remove(e.Key)
	q, r := b.Sequence, e.Revision.Era
	b.Sequence = 0
	if s.outdatedLocked(e.Key, o, b, q, r) {
		s.Log.Info().Stringer("event", sardineknot.LogServerEntryOutdated).Str("server", string(b.Name)).Int64("sequence", q).Send()
		return false
	}
	if o != nil && o.removedAt.IsZero() && o.BackendServer == b {
		o.latest, o.era = e.Value, r
		return false
	}
	if o != nil && o.Born != b.Born {
		s.departed.Add(o.BackendServer, s.sequenceLocked(e.Key, o), o.era)
	}
	s.servers[e.Key] = &server{BackendServer: b, value: e.Value, latest: e.Value, era: r}
	s.touched[e.Key] = b.Name
	return true
}

// refuseLocked rejects the entry of the server name under key, which cannot be decoded
// because of err. known is the last entry of the same name, or nil; its server is no
// longer used.
func (s *Source) refuseLocked(key string, name sardineknot.BackendServerName, known *server, err error) bool {
	if s.Refused != nil {
		s.Refused.Inc(1)
	}
	n := s.refused.Add(key)
	if n {
		s.Log.Warn().Stringer("event", sardineknot.LogServerEntryRefused).Str("server", string(name)).Err(err).Send()
	}
	if known == nil {
		return n
	}
	delete(s.servers, key)
	s.touched[key] = known.Name
	return true
}

// outdatedLocked reports whether an entry of process b with the given sequence number,
// read in era, is older than what is known of the process. known is the last entry of
// the same name, or nil.
func (s *Source) outdatedLocked(key string, known *server, b sardineknot.BackendServer, sequence int64, era sardineknot.StoreEra) bool {
	if known != nil && known.Born != 0 && known.Born == b.Born {
		return sequence < s.sequenceLocked(key, known)
	}
	return s.departed.Outdated(b, sequence, era)
}

// InForce returns e as this host acts on it. An older copy of the service may hold an entry of
// a server that is older than the last report that this host has read: that report then takes
// the place of the value. ok is false if the server has left: the entry of its process was
// removed, and it has not reported since.
func (s *Source) InForce(e sardineknot.StoreEntry) (entry sardineknot.StoreEntry, ok bool) {
	b, ok, err := s.Decoder.DecodeServer(e)
	if !ok || err != nil {
		return e, true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.servers[e.Key]
	if !s.outdatedLocked(e.Key, o, b, b.Sequence, e.Revision.Era) {
		return e, true
	}
	if o == nil || !o.removedAt.IsZero() {
		return sardineknot.StoreEntry{}, false
	}
	e.Value = o.latest
	return e, true
}

// sequenceLocked returns the number of the last report of o, the server under key.
// Reports that contain nothing new are decoded only here.
func (s *Source) sequenceLocked(key string, o *server) int64 {
	b, _, err := s.Decoder.DecodeServer(sardineknot.StoreEntry{Key: key, Value: o.latest})
	if err != nil {
		return 0
	}
	return b.Sequence
}

func (s *Source) removeLocked(k string) bool {
	o := s.servers[k]
	if s.refused.Remove(k) {
		return true
	}
	if o == nil || !o.removedAt.IsZero() {
		return false
	}
	o.removedAt = s.Clock.Now()
	s.removed[k] = true
	return true
}

// Commit puts all applied changes in force. It removes the servers whose
// entries were removed, except during an outage of the service and shortly
// after it.
func (s *Source) Commit() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	if !s.stale && len(s.touched) == 0 {
		return
	}
	s.logKnownLocked()
	s.composeLocked()
	c := *s.base
	s.replaceLocked(&c)
}

// replaceLocked puts c in force.
func (s *Source) replaceLocked(c *sardineknot.Configuration) {
	c.SetServers(s.leaving.Overlay(s.composed), s.current)
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
	for n := range s.removed {
		o := s.servers[n]
		if o == nil || o.removedAt.IsZero() {
			continue
		}
		delete(s.servers, n)
		s.departed.Add(o.BackendServer, s.sequenceLocked(n, o), o.era)
		s.touched[n] = o.Name
		s.Log.Info().Stringer("event", sardineknot.LogServerGone).Str("server", string(o.Name)).Send()
	}
	clear(s.removed)
}
