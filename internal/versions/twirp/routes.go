package twirp

import (
	"slices"
	"sync"
	"time"

	"sardineknot.example/sardineknot"
)

// routeHistory records how routes of streams are split among services. The zero value is
// empty. It is safe for concurrent use.
type routeHistory struct {
	mu     sync.Mutex
	routes map[routeKey]*routeShares
}

// routeKey identifies a route by the calls that match it.
type routeKey struct {
	host, prefix string
}

// routeShares is the split of a route, present and former.
type routeShares struct {
	// shares is the present split. It is empty if there is no such route.
	shares []sardineknot.RouteShare
	// movedAt is the time at which a split was replaced by another one, or zero, and former
	// lists the services of the splits before.
	movedAt time.Time
	former  []sardineknot.ServiceName
}

func keyOf(route *sardineknot.Route) routeKey { return routeKey{route.Host, route.Prefix} }

// observe records routes, all routes at time now.
func (h *routeHistory) observe(now time.Time, routes []sardineknot.Route) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.routes == nil {
		h.routes = make(map[routeKey]*routeShares)
	}
	m := make(map[routeKey]bool)
	for i := range routes {
		r := &routes[i]
		if r.Kind != sardineknot.RouteStream || !r.Resumable {
			continue
		}
		m[keyOf(r)] = true
		s := h.routes[keyOf(r)]
		if s == nil {
			s = &routeShares{shares: r.Shares}
			h.routes[keyOf(r)] = s
		}
		s.replace(now, r.Shares)
	}
	for k, s := range h.routes {
		if !m[k] {
			s.replace(now, nil)
		}
	}
}

// replace records that the route is split into shares since time now.
func (s *routeShares) replace(now time.Time, shares []sardineknot.RouteShare) {
	if slices.Equal(s.shares, shares) {
		return
	}
	for _, o := range s.shares {
		if !slices.Contains(s.former, o.Service) {
			s.former = append(s.former, o.Service)
		}
	}
	s.shares, s.movedAt = shares, now
}

// services returns the services that route has and those that it had at since or later. It
// forgets older ones.
func (h *routeHistory) services(since time.Time, route *sardineknot.Route) []sardineknot.ServiceName {
	l := route.Services("")
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.routes[keyOf(route)]
	if s == nil {
		return l
	}
	s.forget(since)
	return distinct(append(l, s.former...))
}

// forget drops what was replaced before since.
func (s *routeShares) forget(since time.Time) {
	if s.movedAt.Before(since) {
		s.movedAt, s.former = time.Time{}, nil
	}
}

// movedSince reports whether route was split in another way at since or later.
func (h *routeHistory) movedSince(since time.Time, route *sardineknot.Route) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.routes[keyOf(route)]
	return s != nil && !s.movedAt.IsZero() && !s.movedAt.Before(since)
}

// moved returns the services of each route that was split in another way at since or later,
// those of before too. It forgets routes that ended before.
func (h *routeHistory) moved(since time.Time) [][]sardineknot.ServiceName {
	h.mu.Lock()
	defer h.mu.Unlock()
	var l [][]sardineknot.ServiceName
	for k, s := range h.routes {
		s.forget(since)
		if s.movedAt.IsZero() {
			if len(s.shares) == 0 {
				delete(h.routes, k)
			}
			continue
		}
		n := slices.Clone(s.former)
		for _, o := range s.shares {
			n = append(n, o.Service)
		}
		l = append(l, distinct(n))
	}
	return l
}

// distinct returns the elements of list, each once and in order.
func distinct(list []sardineknot.ServiceName) []sardineknot.ServiceName {
	slices.Sort(list)
	return slices.Compact(list)
}
