package sardineknot

import (
	"strings"
	"time"
)

// RouteName identifies a route within a Configuration.
type RouteName string

// ServiceName identifies what a group of backend servers offers.
type ServiceName string

// RouteKind tells how the calls of a route may be repeated.
type RouteKind string

// The kinds of routes.
const (
	// RouteSafe calls may run more than once.
	RouteSafe RouteKind = "Safe"
	// RouteUnsafe calls run at most once.
	RouteUnsafe RouteKind = "Unsafe"
	// RouteStream calls are answered by a stream of events from an engine.
	RouteStream RouteKind = "Stream"
)

// Route tells which service answers the calls of callers below a path.
type Route struct {
	// Name is unique within a Configuration.
	Name RouteName
	// Host is compared with the host name of the call.
	Host string
	// Prefix begins the paths of the route. It begins and ends with a slash.
	Prefix string
	// Kind tells what may be repeated.
	Kind RouteKind
	// Resumable reports that a stream may go on at another engine after its
	// last event.
	Resumable bool
	// Attempts is the greatest number of backend servers on which one call may
	// run. It is at least one.
	Attempts int
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Target is the latency target of the answer, or of its first event.
	Target time.Duration
	// PauseTarget is the longest pause between events that is on time.
	PauseTarget time.Duration
	// Priority orders calls within a service. Smaller values go first.
	Priority int
	// Shares holds the services of the route. It is not empty.
	Shares []RouteShare
}

// RouteShare is the part of a route's calls that goes to one service.
type RouteShare struct {
	Service ServiceName
	// Weight is relative to the other shares of the route. It is not negative.
	Weight int
}

// Service is what a group of backend servers has in common.
type Service struct {
	// Name is unique within a Configuration.
	Name ServiceName
	// Engine is nil for plain services.
	Engine *EngineLimits
}

// EngineLimits describes the engines of a service.
type EngineLimits struct {
	// Slots is the number of requests that an engine works on at once.
	Slots int
	// MemoryTokens is the number of tokens that fit into an engine's memory.
	MemoryTokens int
	// EventTokens is the number of tokens in an event of a stream.
	EventTokens int
}

// Repeatable reports whether a call of the route may run again after its
// outcome is unknown.
func (r *Route) Repeatable() bool {
	return r.Kind == RouteSafe || r.Kind == RouteStream && r.Resumable
}

// Service returns the service of the call with the hash h. The same hash gives
// the same service as long as the shares stay.
func (r *Route) Service(h uint64) ServiceName {
	var t int
	for _, s := range r.Shares {
		t += s.Weight
	}
	if t == 0 {
		return r.Shares[0].Service
	}
	n := int(h % uint64(t))
	for _, s := range r.Shares {
		if n < s.Weight {
			return s.Service
		}
		n -= s.Weight
	}
	return r.Shares[0].Service
}

// Route returns the route of host with the longest prefix of path, or nil.
func (c *Configuration) Route(host, path string) *Route {
	var b *Route
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.Host != host || !strings.HasPrefix(path, r.Prefix) {
			continue
		}
		if b == nil || len(r.Prefix) > len(b.Prefix) {
			b = r
		}
	}
	return b
}

// CallerLimits bounds what callers may send. Zero fields do not bound.
type CallerLimits struct {
	// HeaderBytes and BodyBytes bound the head and the body of a call.
	HeaderBytes int
	BodyBytes   int64
	// HeaderTime bounds the time that the head of a call may take.
	HeaderTime time.Duration
	// IdleTime is the time for which a connection may be idle.
	IdleTime time.Duration
}
