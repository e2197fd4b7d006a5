// Package limit refuses requests of client accounts that are over their limit
// before anything else is done for them.
package limit

import (
	"net/http"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/caller/reply"
)

// Handler is an http.Handler that passes admitted requests on. All fields are
// set before use.
type Handler struct {
	// Next serves admitted requests.
	Next http.Handler
	// Limiter admits requests.
	Limiter sardineknot.Limiter
	// Configuration gives the contracts.
	Configuration sardineknot.ConfigurationSource
}

// ServeHTTP implements http.Handler. A request of an unknown account is passed
// on, to be refused there. A request with a Last-Event-ID asks for the rest of
// an answer and was counted before.
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
