package local

import (
	"time"

	"sardineknot.example/sardineknot"
)

// Counts returns the number of decodes that the servers take at once, of jobs
// that were granted engines, and of jobs that wait.
func (s *Shard) Counts() (slots, running, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range s.jobs {
		if w.decided(sardineknot.ActionPrefill) == "" {
			waiting++
		}
	}
	return s.slots, len(s.jobs) - waiting, waiting
}

// Known reports whether job k has not ended, and whether its end was reported
// lately.
func (s *Shard) Known(k sardineknot.RequestKey) (runs, ended bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.jobs[k] != nil, s.ended.has(k)
}

// DropDead ends the jobs whose holders are dead for at least grace, unless
// another host has adopted them in the meantime.
func (s *Shard) DropDead(dead func(sardineknot.EntryHostID, sardineknot.Incarnation) bool, grace time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.clock.Now()
	for k, w := range s.jobs {
		j := w.heldJob()
		if !dead(j.Owner, j.OwnerIncarnation) {
			delete(s.dead, k)
			continue
		}
		t, ok := s.dead[k]
		if !ok {
			s.dead[k] = n
			t = n
		}
		if n.Sub(t) < grace {
			continue
		}
		s.removeLocked(k)
		s.passLocked(s.scheduler.Report(n, sardineknot.JobEvent{Key: k, Kind: sardineknot.JobCancelled}))
	}
}
