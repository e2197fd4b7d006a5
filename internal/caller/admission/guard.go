// Package admission keeps new requests away from an entry host that must not
// take them.
//
// An isolated host, one that has no configuration yet and one that is about to
// stop refuse new requests at once as not run. The header X-Entry-Hosts of the
// refusal lists the addresses of other entry hosts to use instead. A caller
// that comes back for an answer that this host produces is let through.
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
	// retryAfter is the time after which an isolated host may admit again.
	retryAfter = time.Second
	// maxHosts bounds the hosts in a refusal.
	maxHosts = 3
)

// Guard decides on the admission of requests and counts those that it let
// through. It is safe for concurrent use. All exported fields are set before
// use.
type Guard struct {
	// Membership tells whether this host is isolated and where else to go.
	Membership sardineknot.Membership
	// Configuration is what requests are checked against.
	Configuration sardineknot.ConfigurationSource
	// Known reports whether a request is for an answer that this host
	// produces. Nil means never.
	Known func(*http.Request) bool

	closed atomic.Bool
	active atomic.Int64
}

// Close refuses all new requests from now on.
func (g *Guard) Close() { g.closed.Store(true) }

// Active returns the number of requests that are being served.
func (g *Guard) Active() int { return int(g.active.Load()) }

// Wrap returns h behind the guard.
func (g *Guard) Wrap(h http.Handler) http.Handler {
	return g.Track(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s := g.refusal()
		if s == "" || g.Known != nil && g.Known(r) {
			h.ServeHTTP(w, r)
			return
		}
		g.refuse(w, s)
	}))
}

// Track returns h, whose requests are counted and always let through.
func (g *Guard) Track(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.active.Add(1)
		defer g.active.Add(-1)
		h.ServeHTTP(w, r)
	})
}

// refusal returns why new requests are refused. It is empty if they are not.
func (g *Guard) refusal() string {
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

func (g *Guard) refuse(w http.ResponseWriter, reason string) {
	if l := g.others(); len(l) > 0 {
		w.Header().Set("X-Entry-Hosts", strings.Join(l, ", "))
	}
	reply.Error(w, errors.WithStack(&sardineknot.NotRunError{Reason: reason, RetryAfter: retryAfter}))
}

// others returns the addresses of other entry hosts, live ones first. An
// isolated host takes the others for dead, so that those are named too.
func (g *Guard) others() []string {
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
