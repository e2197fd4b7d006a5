// Package history records which software versions the backend servers of each
// service have had recently.
package history

import (
	"maps"
	"slices"
	"sync"
	"time"

	"sardineknot.example/sardineknot"
)

// History records the software versions of backend servers. The zero value is an
// empty history. It is safe for concurrent use.
type History struct {
	mu sync.Mutex
	// services holds, by service and version, when the version was last there.
	services map[sardineknot.ServiceName]map[sardineknot.SoftwareVersion]*presence
}

// presence tells when servers of a version were there.
type presence struct {
	// now is set while there is a server of the version.
	now bool
	// until is the time of the last observation with such a server.
	until time.Time
}

// Observe records servers, all backend servers that are there at time now.
func (h *History) Observe(now time.Time, servers []sardineknot.BackendServer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.services == nil {
		h.services = make(map[sardineknot.ServiceName]map[sardineknot.SoftwareVersion]*presence)
	}
	for _, m := range h.services {
		for _, p := range m {
			if p.now {
				p.until = now
			}
			p.now = false
		}
	}
	for _, b := range servers {
		p := h.presenceLocked(sardineknot.ServiceName(b.Service), b.SoftwareVersion)
		p.now, p.until = true, now
	}
}

func (h *History) presenceLocked(service sardineknot.ServiceName, version sardineknot.SoftwareVersion) *presence {
	m := h.services[service]
	if m == nil {
		m = make(map[sardineknot.SoftwareVersion]*presence)
		h.services[service] = m
	}
	if m[version] == nil {
		m[version] = &presence{}
	}
	return m[version]
}

// Seen returns, in order, the versions of service that are there or were there at
// since or later. It forgets older ones.
func (h *History) Seen(service sardineknot.ServiceName, since time.Time) []sardineknot.SoftwareVersion {
	h.mu.Lock()
	defer h.mu.Unlock()
	var l []sardineknot.SoftwareVersion
	for v, p := range h.services[service] {
		if !p.now && p.until.Before(since) {
			delete(h.services[service], v)
			continue
		}
		l = append(l, v)
	}
	slices.Sort(l)
	return l
}

// Present reports whether there are servers of service with version.
func (h *History) Present(service sardineknot.ServiceName, version sardineknot.SoftwareVersion) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.services[service][version]
	return p != nil && p.now
}

// Services returns, in order, the services that have had servers.
func (h *History) Services() []sardineknot.ServiceName {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Sorted(maps.Keys(h.services))
}
