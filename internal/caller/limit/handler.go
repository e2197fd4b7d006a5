// Package limit refuses requests of client accounts that exceed their rate
// limit, before the requests are processed any further.
package limit

import (
	"net/http"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/caller/reply"
)

// Handler is an http.Handler that passes admitted requests to Next. All fields
// must be set before use.
type Handler struct {
	// Next serves admitted requests.
	Next http.Handler
	// Limiter enforces the rate limits.
	Limiter sardineknot.Limiter
	// Configuration provides the contracts.
	Configuration sardineknot.ConfigurationSource
}

// ServeHTTP implements http.Handler. Requests of unknown accounts are passed to
// Next, which refuses them. Requests with Last-Event-ID are not charged: they
// continue an answer whose first request has already been charged.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a := sardineknot.ClientAccountName(r.Header.Get("X-Client-Account"))
	c, err := h.Configuration.Current().Contract(a)
	if err == nil && r.Header.Get("Last-Event-ID") == "" {
		err = h.Limiter.Admit(r.Context(), c)
		if err != nil {
			reply.Error(w, err)
			return
		}
	}
	h.Next.ServeHTTP(w, r)
}
