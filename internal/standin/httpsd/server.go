// Package httpsd implements a stand-in for the platform's host list. It serves
// the list in the format of the Prometheus HTTP service discovery and can delay
// the publication of a change.
package httpsd

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"sardineknot.example/sardineknot/internal/standin/fault"
	"sardineknot.example/sardineknot/internal/standin/record"
)

// group is one entry of the Prometheus HTTP service discovery format.
type group struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

// Server is an http.Handler for GET and POST. GET returns the published list;
// POST replaces the list, which is published after the duration of the fault
// Lag. It is safe for concurrent use.
type Server struct {
	faults *fault.Injector
	log    *record.Recorder

	mu sync.Mutex
	// visible is the published list.
	visible []group
	// pending is the list that becomes visible at the time pendingAt.
	pending   []group
	pendingAt time.Time
}

// NewServer returns a server with an empty list. The server counts its calls in
// r; f holds its active faults.
func NewServer(f *fault.Injector, r *record.Recorder) *Server {
	return &Server{faults: f, log: r, visible: []group{}, pending: []group{}}
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		s.replace(w, r)
		return
	}
	s.log.Count("hostlist")
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.list())
}

func (s *Server) replace(w http.ResponseWriter, r *http.Request) {
	var l []group
	err := json.NewDecoder(r.Body).Decode(&l)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = l
	s.pendingAt = time.Now().Add(s.faults.Duration("Lag"))
}

func (s *Server) list() []group {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !time.Now().Before(s.pendingAt) {
		s.visible = s.pending
	}
	return s.visible
}
