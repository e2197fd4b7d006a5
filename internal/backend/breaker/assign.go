package breaker

import (
	"math"
	"time"

	"sardineknot.example/sardineknot"
)

// Blocked returns the names of those of servers whose circuits let no call through.
func (s *Set) Blocked(now time.Time, servers []sardineknot.BackendServer) []sardineknot.BackendServerName {
	s.mu.Lock()
	defer s.mu.Unlock()
	var l []sardineknot.BackendServerName
	for _, b := range servers {
		if !s.circuitLocked(b.Name).admits(now, math.MaxInt) {
			l = append(l, b.Name)
		}
	}
	return l
}

// Assign counts a call to server that another host has assigned to it, which must be
// ended by Done. The slots of server do not bound these calls. Assign reports false,
// and counts nothing, if the circuit of server lets no call through.
func (s *Set) Assign(now time.Time, server sardineknot.BackendServerName) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.circuitLocked(server)
	if !c.admits(now, math.MaxInt) {
		return false
	}
	c.calls++
	c.probing = c.failures >= failureThreshold
	return true
}
