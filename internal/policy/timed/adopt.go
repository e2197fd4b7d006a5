package timed

import (
	"time"

	"sardineknot.example/sardineknot"
)

var _ sardineknot.JobAdopter = (*Scheduler)(nil)

// Adopt implements sardineknot.JobAdopter. Unknown engines are treated as
// removed until SetServers lists them.
func (s *Scheduler) Adopt(now time.Time, running sardineknot.RunningJob) []sardineknot.Decision {
	if s.jobs[running.Job.Key] != nil {
		return nil
	}
	if running.Grant.PrefillEngine == "" && running.Grant.DecodeEngine == "" {
		return s.Submit(now, running.Job)
	}
	j := s.newJob(running.Job)
	s.jobs[j.Key] = j
	s.queue.AddRunning(j.Key.Account, 1)
	p := s.engineFor(running.Grant.PrefillEngine)
	j.prefillZone = p.server.Zone
	j.stateStart = now
	if running.Grant.DecodeEngine == "" {
		s.adoptPrefill(now, j, p)
	} else {
		s.adoptDecode(now, j, s.engineFor(running.Grant.DecodeEngine), running.Tokens)
	}
	s.freeingRateAt = time.Time{}
	s.schedule(now)
	return s.takeDecisions()
}

// adoptPrefill holds j as prefilling since now on prefillEngine, without a
// slot.
func (s *Scheduler) adoptPrefill(now time.Time, j *job, prefillEngine *engine) {
	j.state = prefilling
	j.prefill = prefillEngine
	prefillEngine.add(j, prefillSide)
	prefillEngine.busyUntil = now.Add(j.prefillTime)
	j.expectedEnd = prefillEngine.busyUntil
	s.prefixes.Record(j.PrefixHashes, prefillEngine.server.Name)
	s.pending = append(s.pending, j)
}

// adoptDecode holds j with a slot on decode: as importing if its answer has no
// tokens yet, and otherwise as decoding, with a start estimated from tokens.
func (s *Scheduler) adoptDecode(now time.Time, j *job, decode *engine, tokens int) {
	s.reserveSlot(j, decode)
	j.resultExpiry = now.Add(s.ResultLifetime)
	j.state = importing
	j.expectedEnd = now.Add(s.ResultLifetime)
	if tokens > 0 {
		j.state = decoding
		j.stateStart = now.Add(-seconds(s.tokenInterval * float64(tokens)))
	}
}

// engineFor returns the engine with the given name. If the name is unknown, it
// adds a removed engine.
func (s *Scheduler) engineFor(name sardineknot.BackendServerName) *engine {
	e := s.engines[name]
	if e == nil {
		e = &engine{removed: true}
		e.server.Name = name
		s.engines[name] = e
	}
	return e
}
