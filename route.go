package sardineknot

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// RouteName identifies a route within a Configuration.
type RouteName string

// ServiceName identifies a service, which a group of backend servers provides.
type ServiceName string

// RouteKind determines whether the calls of a route may be retried and how they
// are answered.
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

// Route maps the calls for a host and path prefix to services.
type Route struct {
	// Name is unique within a Configuration.
	Name RouteName
	// Host is the host name that a call must have to match the route.
	Host string
	// Prefix is the path prefix that a call must have to match the route. It
	// begins and ends with a slash.
	Prefix string
	// Kind determines whether calls may be retried and how they are answered.
	Kind RouteKind
	// Resumable states that another engine may resume an interrupted stream
	// after its last event.
	Resumable bool
	// Attempts is the maximum number of backend servers on which one call may
	// run. It is at least one.
	Attempts int
	// Timeout is the maximum time that a caller waits for the answer. If it is
	// not positive, only the caller's own limit applies.
	Timeout time.Duration
	// Target is the latency target for the answer or, on a stream, for its
	// first event.
	Target time.Duration
	// PauseTarget is the latency target for the pause between two events of a
	// stream.
	PauseTarget time.Duration
	// Priority orders calls within a service. Smaller values are served first.
	Priority int
	// Public states that calls of the route need no key, also if the configuration
	// has client accounts.
	Public bool
	// Shares determines how the calls are split among services. It is not
	// empty.
	Shares []RouteShare
}

// RouteShare assigns a share of a route's calls to one service.
type RouteShare struct {
	// Service is the service that receives the share.
	Service ServiceName
	// Weight is relative to the weights of the route's other shares. It is not
	// negative.
	Weight int
}

// Service describes a service that a group of backend servers provides.
type Service struct {
	// Name is unique within a Configuration.
	Name ServiceName
	// Engine describes the engines that provide the service. It is nil for
	// plain services.
	Engine *EngineLimits
	// HealthPath is the path at which the servers report whether they are healthy. It is
	// empty if they do not.
	HealthPath string
}

// EngineLimits holds the capacity that the engines of a service have in common.
type EngineLimits struct {
	// Slots is the number of requests that an engine processes concurrently.
	Slots int
	// MemoryTokens is the memory of an engine, in tokens.
	MemoryTokens int
	// EventTokens is the number of tokens in one event of a stream.
	EventTokens int
}

// Repeatable reports whether a call of the route may be retried when its
// outcome is unknown.
func (r *Route) Repeatable() bool {
	return r.Kind == RouteSafe || r.Kind == RouteStream && r.Resumable
}

// SelectService returns the service for a call with the given hash. Equal
// hashes select the same service as long as the shares do not change. If all
// weights are zero, the first service is selected.
func (r *Route) SelectService(hash uint64) ServiceName {
	var t int
	for _, s := range r.Shares {
		t += s.Weight
	}
	if t == 0 {
		return r.Shares[0].Service
	}
	n := int(hash % uint64(t))
	for _, s := range r.Shares {
		if n < s.Weight {
			return s.Service
		}
		n -= s.Weight
	}
	return r.Shares[0].Service
}

// Services returns the services of the route, the first one first, then those with weights and
// those without. first need not be one of them; it is left out then.
func (r *Route) Services(first ServiceName) []ServiceName {
	l := slices.Clone(r.Shares)
	slices.SortStableFunc(l, func(a, b RouteShare) int { return cmp.Compare(a.rank(first), b.rank(first)) })
	var n []ServiceName
	for _, s := range l {
		if !slices.Contains(n, s.Service) {
			n = append(n, s.Service)
		}
	}
	return n
}

// rank returns the place of s among the shares of a route at which first is preferred.
func (s RouteShare) rank(first ServiceName) int {
	switch {
	case s.Service == first:
		return 0
	case s.Weight > 0:
		return 1
	default:
		return 2
	}
}

// Route returns the route of host with the longest prefix that path starts
// with, or nil if there is none.
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

// CallerLimits holds the limits on the size of calls and on the time that
// callers take to send them. A zero field means no limit.
type CallerLimits struct {
	// HeaderBytes and BodyBytes are the maximum sizes of the header and the
	// body of a call.
	HeaderBytes int
	BodyBytes   int64
	// HeaderTime is the maximum time to receive the header of a call.
	HeaderTime time.Duration
	// IdleTime is the maximum time that a connection may be idle.
	IdleTime time.Duration
}
