package breaker

import "time"

// Reset closes all circuits, because the host connects to servers in another way from now on.
// The failures so far may have been those of the old way: a host that is cut from all servers
// opens every circuit before it detects the cut, and would refuse calls that it can send through
// another host. Calls in progress go on to count. A server that has failed itself opens its
// circuit again after failureThreshold calls.
func (s *Set) Reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.circuits {
		c.failures, c.openUntil = 0, time.Time{}
		c.unanswered = false
	}
}
