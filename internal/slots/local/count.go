package local

import (
	"time"

	"sardineknot.example/sardineknot"
)

// Counts returns the total number of slots of the decode servers, the number
// of jobs that have been granted engines, and the number of jobs that wait for
// a grant.
func (s *Shard) Counts() (slots, running, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range s.jobs {
		if w.server(sardineknot.ActionPrefill) == "" {
			waiting++
		}
	}
	return s.decodeSlots, len(s.jobs) - waiting, waiting
}

// JobStatus reports whether the job with this key is in the shard, which means
// that it has not ended, and whether the end of the job is recorded.
func (s *Shard) JobStatus(key sardineknot.RequestKey) (active, ended bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.jobs[key] != nil, s.ended.has(key)
}

// CancelOrphanedJobs cancels the jobs whose holders have been dead for at least
// grace, unless another host has taken them over in the meantime. isDead
// reports whether an incarnation of a host is dead. The time is counted from
// the first call that finds the holder dead.
func (s *Shard) CancelOrphanedJobs(isDead func(sardineknot.EntryHostID, sardineknot.Incarnation) bool, grace time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.clock.Now()
	for k, w := range s.jobs {
		j := w.currentJob()
		if !isDead(j.Owner, j.OwnerIncarnation) {
			delete(s.deadSince, k)
			continue
		}
		t, ok := s.deadSince[k]
		if !ok {
			s.deadSince[k] = n
			t = n
		}
		if n.Sub(t) < grace {
			continue
		}
		s.removeLocked(k)
		s.applyLocked(s.scheduler.Report(n, sardineknot.JobEvent{Key: k, Kind: sardineknot.JobCancelled}))
	}
}
