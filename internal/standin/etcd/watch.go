package etcd

import (
	"net/http"
	"time"

	api "sardineknot.example/sardineknot/internal/rpc/etcd"
)

// leaseCheckInterval is the maximum time between two checks for expired leases
// during a watch.
const leaseCheckInterval = 100 * time.Millisecond

// serveWatch streams the events of a key range, beginning with the requested
// start revision, until the request ends or the fault Down is active.
func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request) {
	var q api.WatchRequest
	if !decodeBody(w, r, &q) {
		return
	}
	s.log.Count("watch")
	c := q.GetCreateRequest()
	n := c.GetStartRevision()
	writeMessage(w, &api.WatchResult{Result: &api.WatchResponse{Created: true}})
	f := http.NewResponseController(w)
	for r.Context().Err() == nil && !s.faults.Active("Down") {
		_ = f.Flush()
		l, m, g := s.eventsFrom(c, n)
		n = m
		if len(l) > 0 {
			writeMessage(w, &api.WatchResult{Result: &api.WatchResponse{Events: l}})
			continue
		}
		s.waitForChange(r, g)
	}
}

// waitForChange returns when changed is closed, when leaseCheckInterval has
// passed or when r ends, whichever comes first.
func (s *Server) waitForChange(r *http.Request, changed <-chan struct{}) {
	t := time.NewTimer(leaseCheckInterval)
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	case <-r.Context().Done():
	}
}

// eventsFrom returns the events in the requested key range whose revisions are
// not lower than the given one. It also returns the revision to pass to the
// next call and a channel that is closed at the next change of a key. While the
// fault Freeze or LateEvents is active, it returns no events, and next equals
// revision.
func (s *Server) eventsFrom(request *api.WatchCreateRequest, revision int64) (l []*api.Event, next int64, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	next = revision
	if s.faults.Active("Freeze") || s.faults.Active("LateEvents") {
		return nil, next, s.changed
	}
	for _, e := range s.history {
		m := e.GetKv().GetModRevision()
		if m < revision {
			continue
		}
		next = m + 1
		if inRange(string(e.GetKv().GetKey()), string(request.GetKey()), string(request.GetRangeEnd())) {
			l = append(l, e)
		}
	}
	return l, next, s.changed
}
