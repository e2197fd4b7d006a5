// Package httpsd is a stand-in of the platform's host list. It serves the
// format of the Prometheus HTTP service discovery, with a lag.
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

// Server is an http.Handler for GET and POST. GET returns the list; POST
// takes a list and shows it after the time that the fault Lag is set to. It is
// safe for concurrent use.
type Server struct {
	faults *fault.Control
	log    *record.Recorder

	mu sync.Mutex
	// shown is the list that GET returns.
	shown []group
	// next replaces shown at the time at.
	next []group
	at   time.Time
}

// NewServer returns a server with an empty list.
func NewServer(c *fault.Control, r *record.Recorder) *Server {
	return &Server{faults: c, log: r, shown: []group{}, next: []group{}}
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
	s.next = l
	s.at = time.Now().Add(s.faults.Duration("Lag"))
}

func (s *Server) list() []group {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !time.Now().Before(s.at) {
		s.shown = s.next
	}
	return s.shown
}
