package engine

import (
	"net/http"
	"time"

	"sardineknot.example/sardineknot/internal/rpc/openai"
)

func (s *Server) serveState(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	a := &openai.StateResponse{Model: s.Model, Version: s.Version, Role: s.Role, Loading: s.loading}
	s.mu.Unlock()
	_, _ = w.Write(marshal(a))
}

// serveOrder takes an order. It refuses a number lower than an earlier one,
// unless the fault IgnoreFencing is in force. The fault LoadTime is how long a
// load takes.
func (s *Server) serveOrder(w http.ResponseWriter, r *http.Request) {
	var q openai.OrderRequest
	if !decodeBody(w, r, &q) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	n := q.GetFencingNumber()
	if n < s.number && !s.Faults.On("IgnoreFencing") {
		s.Log.Add("order_refused", "number", n, "model", q.GetModel(), "version", q.GetVersion())
		fail(w, http.StatusConflict, "stale fencing number")
		return
	}
	s.Log.Add("order", "number", n, "model", q.GetModel(), "version", q.GetVersion(), "stale", n < s.number)
	s.number = max(s.number, n)
	s.loading = true
	time.AfterFunc(s.Faults.Duration("LoadTime"), func() { s.loaded(&q) })
	w.WriteHeader(http.StatusOK)
}

func (s *Server) loaded(q *openai.OrderRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loading = false
	s.Model, s.Version, s.Role = q.GetModel(), q.GetVersion(), q.GetRole()
	s.Log.Add("loaded", "model", q.GetModel(), "version", q.GetVersion())
}
