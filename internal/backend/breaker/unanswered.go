package breaker

import (
	"time"

	"sardineknot.example/sardineknot"
)

// minUnansweredSpacing is the least time between two unanswered calls that count.
const minUnansweredSpacing = 250 * time.Millisecond

// Unanswered ends a call to server that Pick or Assign has counted, that was sent at the
// time sentAt, and that its caller abandoned after a long wait. Callers abandon calls to sound
// servers too, many at a time. Such a call counts as a failure only if server has answered
// no other call since sentAt. Only one of the calls that end within minUnansweredSpacing
// counts, and none that was sent before the circuit opened. A circuit that such calls have
// opened does not exclude its server if the circuits of all servers are open.
func (s *Set) Unanswered(now, sentAt time.Time, server sardineknot.BackendServerName) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.circuitLocked(server)
	k := c.failures >= failureThreshold && sentAt.Before(c.unansweredAt)
	if k || sentAt.Before(c.succeededAt) || now.Sub(c.unansweredAt) < minUnansweredSpacing {
		s.doneLocked(now, server, Abandoned)
		return
	}
	s.doneLocked(now, server, Failed)
	c.unanswered, c.unansweredAt = true, now
}

// pickUnansweredLocked returns the server with the smallest fraction of its slots in use
// among those whose circuits were opened by unanswered calls. ok is false if none of
// them has a free slot, or if the circuit of any server is closed.
func (s *Set) pickUnansweredLocked(servers []sardineknot.BackendServer) (server sardineknot.BackendServer, ok bool) {
	m := 1.0
	for i := range servers {
		b := servers[(s.offset+i)%len(servers)]
		c := s.circuitLocked(b.Name)
		if c.failures < failureThreshold {
			return sardineknot.BackendServer{}, false
		}
		w := float64(c.calls) / float64(b.Slots)
		if c.unanswered && w < m {
			server, m, ok = b, w, true
		}
	}
	return server, ok
}
