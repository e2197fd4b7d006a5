package openai

import (
	"strings"
	"sync"

	"sardineknot.example/sardineknot"
)

// orphanScan is the result of one search of the engines for orphaned requests.
// It is safe for concurrent use.
type orphanScan struct {
	mu sync.Mutex
	// orphans holds the orphaned requests that the search found.
	orphans map[orphan]bool
	// unreachable holds the engines that did not respond.
	unreachable map[sardineknot.BackendServerName]bool
}

func (s *orphanScan) add(request orphan) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.orphans[request] = true
}

func (s *orphanScan) markUnreachable(server sardineknot.BackendServerName) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unreachable == nil {
		s.unreachable = make(map[sardineknot.BackendServerName]bool)
	}
	s.unreachable[server] = true
}

// jobKey returns the key of the job that a request on an engine belongs to. It
// reports false if the identifier of the request is not that of a job.
func jobKey(held sardineknot.HeldRequest) (sardineknot.RequestKey, bool) {
	a, i, ok := strings.Cut(held.EngineRequestID, "/")
	return sardineknot.RequestKey{Account: sardineknot.ClientAccountName(a), ID: sardineknot.RequestID(i)}, ok
}
