// Package admission refuses new requests on an entry host that cannot serve
// them.
//
// A host refuses new requests immediately, as not run, while it is isolated,
// before it has a configuration and when it is about to stop. The header field
// X-Entry-Hosts of the refusal lists the addresses of other entry hosts to use
// instead. Requests for an answer that this host already produces are always
// admitted.
package admission

import (
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/caller/reply"
)

const (
	// retryAfter is the Retry-After time of refused requests. After that time,
	// an isolated host may admit requests again.
	retryAfter = time.Second
	// maxHosts is the maximum number of hosts listed in a refusal.
	maxHosts = 3
)

// Guard admits or refuses requests and counts the requests in progress. It is
// safe for concurrent use. All exported fields except HasAnswer must be set
// before use.
type Guard struct {
	// Membership reports whether this host is isolated, and lists the other
	// entry hosts.
	Membership sardineknot.Membership
	// Configuration provides the configuration. Requests are refused until
	// there is one.
	Configuration sardineknot.ConfigurationSource
	// HasAnswer reports whether a request is for an answer that this host
	// already produces. If it is nil, the guard treats every request as new.
	HasAnswer func(*http.Request) bool

	// closed is set by Close.
	closed atomic.Bool
	// active is the number of requests in progress.
	active atomic.Int64
}

// Close makes the guard refuse all new requests from now on.
func (g *Guard) Close() { g.closed.Store(true) }

// Active returns the number of requests in progress.
func (g *Guard) Active() int { return int(g.active.Load()) }

// Wrap returns a handler that passes admitted requests to h, refuses the others
// and counts all of them while they are served.
func (g *Guard) Wrap(h http.Handler) http.Handler {
	return g.Track(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s := g.refusalReason()
		if s == "" || g.HasAnswer != nil && g.HasAnswer(r) {
			h.ServeHTTP(w, r)
			return
		}
		g.refuse(w, s)
	}))
}

// Track returns a handler that passes all requests to h and counts them while
// they are served.
func (g *Guard) Track(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.active.Add(1)
		defer g.active.Add(-1)
		h.ServeHTTP(w, r)
	})
}

// refusalReason returns the reason for which new requests are refused, or the
// empty string if they are admitted.
func (g *Guard) refusalReason() string {
	switch {
	case g.closed.Load():
		return "this entry host is stopping"
	case g.Membership.Isolated():
		return "this entry host is cut off from the others"
	case g.Configuration.Current().Revision == 0:
		return "this entry host has no configuration yet"
	default:
		return ""
	}
}

// refuse writes a refusal with the given reason.
func (g *Guard) refuse(w http.ResponseWriter, reason string) {
	if l := g.alternativeHosts(); len(l) > 0 {
		w.Header().Set("X-Entry-Hosts", strings.Join(l, ", "))
	}
	reply.Error(w, errors.WithStack(&sardineknot.NotRunError{Reason: reason, RetryAfter: retryAfter}))
}

// alternativeHosts returns the addresses of up to maxHosts other entry hosts
// that are not leaving. Hosts that are considered dead come last; they are
// included because an isolated host considers all others dead.
func (g *Guard) alternativeHosts() []string {
	s := g.Membership.Self().ID
	var l, d []string
	for _, h := range g.Membership.Hosts() {
		switch {
		case h.ID == s || h.State == sardineknot.EntryHostLeaving:
		case h.State == sardineknot.EntryHostDead:
			d = append(d, h.CallerAddress.String())
		default:
			l = append(l, h.CallerAddress.String())
		}
	}
	l = append(l, d...)
	return l[:min(len(l), maxHosts)]
}
