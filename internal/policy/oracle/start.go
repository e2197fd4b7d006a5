package oracle

import (
	"container/heap"
	"time"

	"sardineknot.example/sardineknot"
)

// maxSlotWait is the longest time for which a job may wait for a decode slot
// after its prefill.
const maxSlotWait = 50 * time.Millisecond

// schedule starts decodes and then prefills until no engine is free or no job
// may start, and returns all decisions of the current call.
func (s *Scheduler) schedule() []sardineknot.Decision {
	for e := mostFreeSlots(s.decode); e != nil && s.startDecode(e); e = mostFreeSlots(s.decode) {
	}
	for e := mostFreeSlots(s.prefill); e != nil && s.startPrefill(e); e = mostFreeSlots(s.prefill) {
	}
	return s.takeDecisions()
}

// startPrefill starts the first waiting job on the prefill engine e. It refuses
// the jobs before it that are late. It returns false if no job starts: none
// waits, or the first one would find no decode slot when its prefill ends.
func (s *Scheduler) startPrefill(e *engine) bool {
	for len(s.waiting) > 0 {
		j := heap.Pop(&s.waiting).(*job)
		if s.jobs[j.Key] != j {
			continue
		}
		c := s.PrefillTime(j.Job)
		if s.now.Add(c + maxSlotWait + s.TokenInterval).After(j.FirstTokenDeadline) {
			s.refuse(j)
			continue
		}
		if s.committedJobs >= s.freeSlots()+s.SlotsFreed(c+maxSlotWait) {
			heap.Push(&s.waiting, j)
			return false
		}
		s.committedJobs++
		s.start(j, e, sardineknot.ActionPrefill)
		return true
	}
	return false
}

// startDecode starts the first ready job on the decode engine e. It refuses the
// jobs before it that are late. It returns false if no job starts: none is
// ready, or the memory does not suffice for the first one.
func (s *Scheduler) startDecode(e *engine) bool {
	for len(s.ready) > 0 {
		j := s.ready[0]
		if s.jobs[j.Key] != j {
			s.ready = s.ready[1:]
			continue
		}
		if s.now.Add(s.TokenInterval).After(j.FirstTokenDeadline) {
			s.ready = s.ready[1:]
			s.committedJobs--
			s.refuse(j)
			continue
		}
		if s.totalPieces > 0 && s.memoryPieces+j.memoryPieces > s.totalPieces {
			return false
		}
		s.ready = s.ready[1:]
		j.decoding = true
		s.memoryPieces += j.memoryPieces
		s.committedJobs--
		s.start(j, e, sardineknot.ActionDecode)
		return true
	}
	return false
}

// start occupies a slot of e with j and adds the decision.
func (s *Scheduler) start(j *job, e *engine, action sardineknot.Action) {
	j.engine = e
	e.usedSlots++
	s.decisions = append(s.decisions, sardineknot.Decision{Key: j.Key, Action: action, Server: e.name})
}

// releaseEngine frees the slot and the memory that j occupies, if any.
func (s *Scheduler) releaseEngine(j *job) {
	if j.engine != nil {
		j.engine.usedSlots--
		j.engine = nil
	}
	if j.decoding {
		j.decoding = false
		s.memoryPieces -= j.memoryPieces
	}
}
