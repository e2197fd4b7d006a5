package twirp

import (
	"sync/atomic"
	"time"

	"sardineknot.example/sardineknot"
)

// serverCounts counts the decode engines that accept work. It counts again only when the
// configuration has changed. The zero value has counted nothing.
type serverCounts struct {
	latest atomic.Pointer[countedServers]
}

// countedServers holds the counts of a configuration.
type countedServers struct {
	configuration *sardineknot.Configuration
	// byService holds the numbers of decode engines by service and software version. It lacks
	// services whose decode engines have one version only.
	byService map[sardineknot.ServiceName]map[sardineknot.SoftwareVersion]int
}

// of returns the numbers of decode engines of service by their software version, or nil if they
// have one version only.
func (s *serverCounts) of(configuration *sardineknot.Configuration, service sardineknot.ServiceName) map[sardineknot.SoftwareVersion]int {
	c := s.latest.Load()
	if c == nil || c.configuration != configuration {
		c = &countedServers{configuration: configuration, byService: countServers(configuration.BackendServers)}
		s.latest.Store(c)
	}
	return c.byService[service]
}

// countServers counts the decode engines of each service that has several software versions of
// them.
func countServers(servers []sardineknot.BackendServer) map[sardineknot.ServiceName]map[sardineknot.SoftwareVersion]int {
	m := make(map[sardineknot.ServiceName]map[sardineknot.SoftwareVersion]int)
	for _, b := range servers {
		if b.Role == sardineknot.RolePlain || b.Role == sardineknot.RolePrefill || b.State != sardineknot.BackendJoining {
			continue
		}
		n := sardineknot.ServiceName(b.Service)
		if m[n] == nil {
			m[n] = make(map[sardineknot.SoftwareVersion]int)
		}
		m[n][b.SoftwareVersion]++
	}
	for n, c := range m {
		if len(c) == 1 {
			delete(m, n)
		}
	}
	return m
}

// Withheld implements sardineknot.StreamVersions.
func (d *Directory) Withheld(service sardineknot.ServiceName) ([]sardineknot.SoftwareVersion, time.Time) {
	c := d.counts.of(d.Source.Current(), service)
	if c == nil {
		return nil, time.Time{}
	}
	return d.Keeper.Withheld(service, c)
}
