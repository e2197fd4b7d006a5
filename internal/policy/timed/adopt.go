package timed

import (
	"time"

	"sardineknot.example/sardineknot"
)

var _ sardineknot.Adopter = (*Scheduler)(nil)

// Adopt implements sardineknot.Adopter. Engines that are not known count as
// gone until SetServers names them.
func (s *Scheduler) Adopt(now time.Time, r sardineknot.RunningJob) []sardineknot.Decision {
	if s.jobs[r.Job.Key] != nil {
		return nil
	}
	if r.Grant.Prefill == "" && r.Grant.Decode == "" {
		return s.Submit(now, r.Job)
	}
	j := s.newJob(r.Job)
	s.jobs[j.Key] = j
	s.queue.Hold(j.Key.Account, 1)
	p := s.known(r.Grant.Prefill)
	j.from = p.server.Zone
	j.began = now
	if r.Grant.Decode == "" {
		s.adoptPrefill(now, j, p)
	} else {
		s.adoptDecode(now, j, s.known(r.Grant.Decode), r.Tokens)
	}
	s.freeingAt = time.Time{}
	s.settle(now)
	return s.take()
}

func (s *Scheduler) adoptPrefill(now time.Time, j *job, p *engine) {
	j.state = prefilling
	j.prefill = p
	p.add(j, 0)
	p.busy = now.Add(j.cost)
	j.due = p.busy
	s.prefixes.Record(j.Prefixes, p.server.Name)
	s.pending = append(s.pending, j)
}

func (s *Scheduler) adoptDecode(now time.Time, j *job, d *engine, tokens int) {
	s.reserve(j, d)
	j.expiry = now.Add(s.Life)
	j.state = importing
	j.due = now.Add(s.Life)
	if tokens > 0 {
		j.state = decoding
		j.began = now.Add(-seconds(s.interval * float64(tokens)))
	}
}

// known returns the engine n.
func (s *Scheduler) known(n sardineknot.BackendServerName) *engine {
	e := s.engines[n]
	if e == nil {
		e = &engine{gone: true}
		e.server.Name = n
		s.engines[n] = e
	}
	return e
}
