package timed

import (
	"time"

	"sardineknot.example/sardineknot"
)

func (s *Scheduler) prefillDone(now time.Time, j *job) {
	if j.state != prefilling {
		return
	}
	s.learnPrefill(now, j)
	j.prefill.breaker.Succeed()
	s.leavePrefill(now, j)
	j.state = ready
	j.expiry = now.Add(s.Life - guard)
	if j.decode != nil && !s.reachable(now, j) {
		s.unreserve(j)
		s.pending = append([]*job{j}, s.pending...)
	}
	if j.decode != nil {
		s.startDecode(now, j)
	}
}

func (s *Scheduler) decodeStarted(now time.Time, j *job) {
	if j.state != importing {
		return
	}
	t := max(0, now.Sub(j.began)-seconds(s.interval))
	s.observe(now, t-s.links.Least(j.from, j.decode.server.Zone, j.bytes))
	t = max(0, t-s.delay)
	s.links.End(now, j.Key, j.from, j.decode.server.Zone, t, j.predicted)
	j.decode.breaker.Succeed()
	j.state = decoding
	j.began = now
}

func (s *Scheduler) finished(now time.Time, j *job, tokens int) {
	s.freed++
	s.learnDecode(now, j, tokens)
	s.release(now, j)
}

// failed ends j and counts the failure against server. A transfer that took
// too long counts against the link.
func (s *Scheduler) failed(now time.Time, j *job, server sardineknot.BackendServerName) {
	l := j.state == importing && now.Sub(j.began) > 2*j.predicted+guard+s.delay
	if l {
		s.links.Late(now, j.from, j.decode.server.Zone, now.Sub(j.began), j.predicted)
	}
	e := s.engines[server]
	if e != nil && !l {
		e.breaker.Fail(now)
		s.freeingAt = time.Time{}
	}
	s.release(now, j)
}

// release ends j in whatever state and frees what it holds.
func (s *Scheduler) release(now time.Time, j *job) {
	if j.state == queued {
		s.dequeue(j)
		delete(s.jobs, j.Key)
		return
	}
	for i, p := range s.pending {
		if p == j {
			s.pending = append(s.pending[:i], s.pending[i+1:]...)
			break
		}
	}
	s.end(now, j)
}

// end frees what j holds. j is neither queued nor pending.
func (s *Scheduler) end(now time.Time, j *job) {
	if j.state == importing {
		s.links.Abort(now, j.Key, j.from, j.decode.server.Zone)
	}
	s.leavePrefill(now, j)
	s.unreserve(j)
	s.queue.Hold(j.Key.Account, -1)
	delete(s.jobs, j.Key)
}

func (s *Scheduler) leavePrefill(now time.Time, j *job) {
	e := j.prefill
	if e == nil {
		return
	}
	j.prefill = nil
	e.remove(j, 0)
	e.replan(now.Add(-s.delay))
}

// reachable reports whether j's KV cache can still be moved to the engine that
// is reserved for it.
func (s *Scheduler) reachable(now time.Time, j *job) bool {
	t, ok := s.links.Predict(now, j.from, j.decode.server.Zone, j.bytes)
	return ok && t <= s.window(now, j) && j.decode.usable(now)
}
