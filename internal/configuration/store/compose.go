package store

import (
	"cmp"
	"maps"
	"slices"

	"sardineknot.example/sardineknot"
)

// composeLocked makes composed reflect base and all applied entries.
func (s *Source) composeLocked() {
	if s.stale {
		s.composeAllLocked()
	} else {
		s.composed = s.patchedLocked()
	}
	clear(s.touched)
	s.stale = false
}

// composeAllLocked computes composed from all servers. Servers of unknown services
// are left out.
func (s *Source) composeAllLocked() {
	m := s.servicesLocked()
	s.composed = make([]sardineknot.BackendServer, 0, len(s.servers))
	for _, o := range s.servers {
		if v := m[sardineknot.ServiceName(o.Service)]; v != nil {
			s.composed = append(s.composed, withServiceSettings(o.BackendServer, v))
		}
	}
	slices.SortFunc(s.composed, compareNames)
}

// patchedLocked returns composed with the servers that have changed. The result is
// the one of composeAllLocked, without sorting all servers again.
func (s *Source) patchedLocked() []sardineknot.BackendServer {
	m := s.servicesLocked()
	var l []sardineknot.BackendServer
	g := make(map[sardineknot.BackendServerName]bool, len(s.touched))
	for k, n := range s.touched {
		g[n] = true
		o := s.servers[k]
		if o == nil {
			continue
		}
		if v := m[sardineknot.ServiceName(o.Service)]; v != nil {
			l = append(l, withServiceSettings(o.BackendServer, v))
		}
	}
	slices.SortFunc(l, compareNames)
	r := make([]sardineknot.BackendServer, 0, len(s.composed)+len(l))
	for i := range s.composed {
		b := &s.composed[i]
		for len(l) > 0 && l[0].Name < b.Name {
			r, l = append(r, l[0]), l[1:]
		}
		if !g[b.Name] {
			r = append(r, *b)
		}
	}
	return append(r, l...)
}

// servicesLocked returns the services of the operators' configuration.
func (s *Source) servicesLocked() map[sardineknot.ServiceName]*sardineknot.Service {
	m := make(map[sardineknot.ServiceName]*sardineknot.Service, len(s.base.Services))
	for i := range s.base.Services {
		m[s.base.Services[i].Name] = &s.base.Services[i]
	}
	return m
}

func compareNames(a, b sardineknot.BackendServer) int { return cmp.Compare(a.Name, b.Name) }

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

// logKnownLocked logs which servers are new or have changed since the last commit.
func (s *Source) logKnownLocked() {
	if len(s.touched) > maxLoggedServers {
		s.Log.Info().Stringer("event", sardineknot.LogServersKnown).Int("changed", len(s.touched)).Int("servers", len(s.servers)).Send()
		return
	}
	for _, k := range slices.Sorted(maps.Keys(s.touched)) {
		b := s.servers[k]
		if b == nil {
			continue
		}
		s.Log.Info().Stringer("event", sardineknot.LogServerKnown).Str("server", string(b.Name)).Str("address", b.Address.String()).
			Str("service", b.Service).Str("role", string(b.Role)).Str("state", string(b.State)).
			Str("version", string(b.SoftwareVersion)).Send()
	}
}
