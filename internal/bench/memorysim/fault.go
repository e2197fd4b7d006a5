package memorysim

import (
	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/bench/pattern"
)

// planFaults schedules the beginning and the end of the faults of the pattern.
func (s *Simulation) planFaults() {
	for _, f := range s.pattern.Faults {
		s.At(s.start.Add(f.From), func() { s.setFault(f.Kind, f.Share, f.Factor, true) })
		s.At(s.start.Add(f.From+f.Length), func() { s.setFault(f.Kind, f.Share, f.Factor, false) })
	}
}

// setFault begins a fault of the given kind if on is true, and ends it
// otherwise. The fault affects the given fraction of the prefill engines and of
// the decode engines.
func (s *Simulation) setFault(kind string, share, factor float64, on bool) {
	r := s.prefill[:affectedEngines(len(s.prefill), share)]
	d := s.decode[:affectedEngines(len(s.decode), share)]
	switch kind {
	case pattern.FaultCrash:
		s.setCrashed(r, d, on)
	case pattern.FaultCacheLoss:
		for _, e := range r {
			e.expiring = on
		}
	case pattern.FaultSlowLinks:
		if !on {
			factor = 1
		}
		for _, e := range r {
			s.linkFactor[e.server.Name] = factor
		}
		for _, e := range d {
			s.linkFactor[e.server.Name] = factor
		}
	case pattern.FaultSlowEngines:
		s.setSlowdown(r, d, factor, on)
	case pattern.FaultSchedulerLoss:
		s.setSchedulerDown(on)
	}
}

// setSlowdown makes the given engines slower by factor if on is true, and as fast
// as usual otherwise. Prefills and steps that are running are not affected.
func (s *Simulation) setSlowdown(prefill []*prefillEngine, decode []*decodeEngine, factor float64, on bool) {
	if !on {
		factor = 0
	}
	for _, e := range prefill {
		e.slowdown = factor
	}
	for _, e := range decode {
		e.slowdown = factor
	}
}

// affectedEngines returns the number of engines that a fault affects: the given
// fraction of total, rounded.
func affectedEngines(total int, share float64) int { return min(total, int(share*float64(total)+0.5)) }

// setCrashed crashes the given engines if on is true, and restarts them
// otherwise. The scheduler is informed after the time CrashDetection of the
// pattern.
func (s *Simulation) setCrashed(prefill []*prefillEngine, decode []*decodeEngine, on bool) {
	for _, e := range prefill {
		if on {
			e.crash()
			continue
		}
		*e = prefillEngine{simulation: s, server: e.server, speed: e.speed, slowness: e.slowness}
		e.server.Born++
	}
	for _, e := range decode {
		if on {
			e.crash()
			continue
		}
		*e = decodeEngine{simulation: s, server: e.server, speed: e.speed, version: e.version + 1, slowness: e.slowness}
		e.server.Born++
	}
	s.After(s.pattern.CrashDetection, s.setServers)
}

// setSchedulerDown stops the scheduler if on is true, and starts a new one
// otherwise. If the new scheduler is a JobAdopter, it adopts the jobs that have
// a decode engine. Jobs without a decode engine are submitted to it as new
// ones.
func (s *Simulation) setSchedulerDown(on bool) {
	s.schedulerDown = on
	if on {
		return
	}
	s.scheduler = s.newScheduler()
	s.setServers()
	d, ok := s.scheduler.(sardineknot.JobAdopter)
	for _, r := range s.requests {
		a := r.attempt
		if a == nil {
			continue
		}
		if a.decode == nil {
			s.offer(a)
			continue
		}
		if ok {
			g := sardineknot.Grant{DecodeEngine: a.decode.server.Name}
			s.apply(d.Adopt(s.Now(), sardineknot.RunningJob{Job: a.job, Grant: g, Tokens: a.events * s.pattern.EventTokens}))
		}
	}
}
