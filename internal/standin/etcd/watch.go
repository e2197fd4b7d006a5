package etcd

import (
	"net/http"
	"time"

	api "sardineknot.example/sardineknot/internal/rpc/etcd"
)

// watchPoll is the longest time between two looks for lapsed leases.
const watchPoll = 100 * time.Millisecond

func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request) {
	var q api.WatchRequest
	if !decode(w, r, &q) {
		return
	}
	s.log.Count("watch")
	c := q.GetCreateRequest()
	n := c.GetStartRevision()
	encode(w, &api.WatchResult{Result: &api.WatchResponse{Created: true}})
	f := http.NewResponseController(w)
	for r.Context().Err() == nil && !s.faults.On("Down") {
		_ = f.Flush()
		l, m, g := s.since(c, n)
		n = m
		if len(l) > 0 {
			encode(w, &api.WatchResult{Result: &api.WatchResponse{Events: l}})
			continue
		}
		s.wait(r, g)
	}
}

// wait returns at the next change, after watchPoll or at the end of r.
func (s *Server) wait(r *http.Request, changed <-chan struct{}) {
	t := time.NewTimer(watchPoll)
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	case <-r.Context().Done():
	}
}

// since returns the events of c at revision n or later, the revision to go on
// from, and the channel that announces the next change.
func (s *Server) since(c *api.WatchCreateRequest, n int64) (l []*api.Event, next int64, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	next = n
	if s.faults.On("Freeze") || s.faults.On("LateEvents") {
		return nil, next, s.changed
	}
	for _, e := range s.history {
		m := e.GetKv().GetModRevision()
		if m < n {
			continue
		}
		next = m + 1
		if inRange(string(e.GetKv().GetKey()), string(c.GetKey()), string(c.GetRangeEnd())) {
			l = append(l, e)
		}
	}
	return l, next, s.changed
}
