// Package admin serves the administration interface of an entry host to
// operators and monitoring systems:
//
//   - GET /livez returns 200 while the process runs.
//   - GET /readyz returns 200 while the host admits requests, otherwise 503.
//   - GET /metrics returns all metrics as JSON.
//   - GET /v1/revision returns the revision of the configuration in force.
//   - GET /v1/burn returns the total number and the number of bad requests for
//     the burn report, by account, class of work and window.
//   - GET /v1/hosts returns the entry hosts that this host knows, and their
//     states.
package admin

import (
	"encoding/json"
	"net/http"

	"github.com/rcrowley/go-metrics"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/report/tracker"
)

// Handler is an http.Handler. All fields must be set before use.
type Handler struct {
	// Configuration provides the revision in force.
	Configuration sardineknot.ConfigurationSource
	// Membership reports the state of this host and lists all entry hosts.
	Membership sardineknot.Membership
	// Metrics holds all metrics of the process.
	Metrics metrics.Registry
	// Outcomes counts the outcomes of requests.
	Outcomes *tracker.Tracker
	// Clock returns the current time.
	Clock sardineknot.Clock
}

// revision is the body of GET /v1/revision.
type revision struct {
	Host        sardineknot.EntryHostID
	Incarnation sardineknot.Incarnation
	Revision    sardineknot.Revision
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/livez":
		w.WriteHeader(http.StatusOK)
	case "/readyz":
		h.serveReady(w)
	case "/metrics":
		w.Header().Set("Content-Type", "application/json")
		metrics.WriteJSONOnce(h.Metrics, w)
	case "/v1/revision":
		e := h.Membership.Self()
		writeJSON(w, revision{Host: e.ID, Incarnation: e.Incarnation, Revision: h.Configuration.Current().Revision})
	case "/v1/burn":
		writeJSON(w, h.Outcomes.Windows(h.Clock.Now()))
	case "/v1/hosts":
		writeJSON(w, h.Membership.Hosts())
	default:
		http.NotFound(w, r)
	}
}

// serveReady serves GET /readyz. The body of a 503 response is the reason.
func (h *Handler) serveReady(w http.ResponseWriter) {
	var s string
	switch {
	case h.Configuration.Current().Revision == 0:
		s = "no configuration"
	case h.Membership.Isolated():
		s = "isolated"
	case h.Membership.Self().State == sardineknot.EntryHostLeaving:
		s = "leaving"
	default:
		w.WriteHeader(http.StatusOK)
		return
	}
	http.Error(w, s, http.StatusServiceUnavailable)
}

// writeJSON writes value as a JSON response.
func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
