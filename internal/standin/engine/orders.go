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

// serveOrder accepts an order to load a model version. It rejects an order
// whose fencing token is lower than that of an accepted order, unless the
// fault IgnoreFencing is active. The fault LoadTime is the duration of the
// load.
func (s *Server) serveOrder(w http.ResponseWriter, r *http.Request) {
	var q openai.OrderRequest
	if !decodeBody(w, r, &q) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	n := q.GetFencingNumber()
	if n < s.highestFencingToken && !s.Faults.Active("IgnoreFencing") {
		s.Log.Add("order_refused", "number", n, "model", q.GetModel(), "version", q.GetVersion())
		fail(w, http.StatusConflict, "stale fencing number")
		return
	}
	s.Log.Add("order", "number", n, "model", q.GetModel(), "version", q.GetVersion(), "stale", n < s.highestFencingToken)
	s.highestFencingToken = max(s.highestFencingToken, n)
	s.loading = true
	time.AfterFunc(s.Faults.Duration("LoadTime"), func() { s.finishLoad(&q) })
	w.WriteHeader(http.StatusOK)
}

// finishLoad ends the load and makes the model, version and role in q those of
// the engine.
func (s *Server) finishLoad(q *openai.OrderRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loading = false
	s.Model, s.Version, s.Role = q.GetModel(), q.GetVersion(), q.GetRole()
	s.Log.Add("loaded", "model", q.GetModel(), "version", q.GetVersion())
}
