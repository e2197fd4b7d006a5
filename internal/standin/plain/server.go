// Package plain implements a stand-in for a plain service, that is, for a
// backend server that is not a model engine. The stand-in records every call
// that it executed and every call that it refused.
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
	// Name identifies the server in its records and answers.
	Name string
	// Faults holds the active faults. It is not nil.
	Faults *fault.Injector
	// Log records calls. It is not nil.
	Log *record.Recorder
}

// ServeHTTP implements http.Handler. The fault RunDelay delays the answer of a
// call after its execution is recorded. The fault RefuseBeforeRunning is the
// number of calls that are refused without being executed.
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
	if s.Faults.Consume("RefuseBeforeRunning") {
		s.Log.Add("refused", "request", k)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.Log.Add("ran", "request", k, "path", r.URL.Path, "server", s.Name)
	time.Sleep(s.Faults.Duration("RunDelay"))
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	fmt.Fprintf(w, "%s ran %s: %s\n", s.Name, k, b)
}
