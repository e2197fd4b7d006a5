// Package plain is a stand-in of a plain service. It records every call that
// it ran and every call that it refused.
package plain

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"sardineknot.example/sardineknot/internal/standin/fault"
	"sardineknot.example/sardineknot/internal/standin/record"
)

const maxRequestBytes = 1 << 20

// Server is an http.Handler for one plain service. Set the fields before use.
// It is safe for concurrent use.
type Server struct {
	// Name identifies the server in its records.
	Name string
	// Faults and Log are not nil.
	Faults *fault.Control
	Log    *record.Recorder
}

// ServeHTTP implements http.Handler. The fault RunDelay holds a call after it
// took effect; RefuseBeforeRunning refuses that number of calls.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == record.Path {
		s.Log.ServeHTTP(w, r)
		return
	}
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	k := r.Header.Get("Idempotency-Key")
	if s.Faults.Take("RefuseBeforeRunning") {
		s.Log.Add("refused", "request", k)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.Log.Add("ran", "request", k, "path", r.URL.Path, "server", s.Name)
	time.Sleep(s.Faults.Duration("RunDelay"))
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	fmt.Fprintf(w, "%s ran %s: %s\n", s.Name, k, b)
}
