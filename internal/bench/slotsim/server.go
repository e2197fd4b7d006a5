package slotsim

import (
	"container/list"
	"fmt"
	"time"

	"sardineknot.example/sardineknot"
)

func newPrefillEngine(s *Simulation, b sardineknot.BackendServer) *prefillEngine {
	return &prefillEngine{simulation: s, server: b, cache: make(map[uint64]*list.Element), order: list.New()}
}

// newServer returns a backend server with the given role. Its name is formed
// from kind and index, and its zone is chosen by index.
func (s *Simulation) newServer(index int, kind string, role sardineknot.BackendRole) sardineknot.BackendServer {
	return sardineknot.BackendServer{
		Name:    sardineknot.BackendServerName(fmt.Sprintf("%s-%d", kind, index)),
		Zone:    s.zone(index),
		Role:    role,
		Model:   "bench",
		Version: "1",
		State:   sardineknot.BackendJoining,
	}
}

// setServers passes the live engines and the declared links to the scheduler.
func (s *Simulation) setServers() {
	var l []sardineknot.BackendServer
	for _, e := range s.prefill {
		if !e.dead {
			l = append(l, e.server)
		}
	}
	for _, e := range s.decode {
		if !e.dead {
			l = append(l, e.server)
		}
	}
	s.apply(s.scheduler.SetServers(s.Now(), l, s.declaredLinks()))
}

func (s *Simulation) declaredLinks() []sardineknot.Link {
	var l []sardineknot.Link
	z := s.workload.Zones
	for i, a := range z {
		for _, b := range z[i:] {
			r := s.workload.InterZoneRate
			if a == b {
				r = s.workload.IntraZoneRate
			}
			l = append(l, sardineknot.Link{From: a, To: b, Delay: s.workload.MessageDelay, BytesPerSecond: r})
		}
	}
	return l
}

// reportLoads sends the load of all live engines to the scheduler with the
// reporting delay, and schedules the next reports.
func (s *Simulation) reportLoads() {
	d := s.workload.ReportLag
	if s.faultActive(FaultLag) {
		d = faultReportLag
	}
	for _, r := range s.loads() {
		s.After(d, func() { s.scheduler.ObserveLoad(s.Now(), r) })
	}
	s.After(s.workload.ReportEvery, s.reportLoads)
}

func (s *Simulation) loads() []sardineknot.LoadReport {
	var l []sardineknot.LoadReport
	for _, e := range s.prefill {
		if e.dead {
			continue
		}
		r := sardineknot.LoadReport{Server: e.server.Name, MeasuredAt: s.Now(), Waiting: len(e.queue)}
		if e.current != nil {
			r.Running = 1
		}
		l = append(l, r)
	}
	for _, e := range s.decode {
		if !e.dead {
			l = append(l, sardineknot.LoadReport{Server: e.server.Name, MeasuredAt: s.Now(), Running: len(e.running), Waiting: len(e.waiting)})
		}
	}
	return l
}

func (s *Simulation) beginFault() {
	switch s.fault {
	case FaultEngineCrash:
		s.killEngines()
	case FaultLink:
		s.setLinkFactor(slowLinkFactor)
	case FaultEntryHostCrash:
		s.killEntryHost()
	}
}

func (s *Simulation) endFault() {
	switch s.fault {
	case FaultEngineCrash:
		s.prefill[0].dead, s.decode[0].dead = false, false
		s.prefill[0].cache, s.prefill[0].order = make(map[uint64]*list.Element), list.New()
		s.setServers()
	case FaultLink:
		s.setLinkFactor(1)
	case FaultEntryHostCrash:
		s.deadHost = -1
	}
}

// killEngines kills one prefill engine and one decode engine and fails the
// requests on them. The scheduler is informed after removalDelay. In an ideal
// simulation the scheduler is informed at once, and the engines finish their
// work.
func (s *Simulation) killEngines() {
	p, d := s.prefill[0], s.decode[0]
	p.dead, d.dead = true, true
	if s.ideal {
		s.setServers()
		return
	}
	l := append(append([]*attempt(nil), p.queue...), append(d.waiting, d.running...)...)
	if p.current != nil {
		l = append(l, p.current)
	}
	for _, a := range l {
		s.fail(a, a.server(), &s.result.Waste.Failed)
	}
	s.After(removalDelay, s.setServers)
}

// setLinkFactor sets the rates of the links between the first zone and the
// others to factor times their declared rate.
func (s *Simulation) setLinkFactor(factor float64) {
	z := s.workload.Zones
	for _, b := range z {
		k := s.links[newPair(z[0], b)]
		k.advance()
		k.rate = factor * float64(s.workload.InterZoneRate)
		if b == z[0] {
			k.rate = float64(s.workload.IntraZoneRate)
		}
		k.plan()
	}
}

// killEntryHost kills the first entry host. No further events of its jobs are
// reported to the scheduler. After reconnectDelay, its callers submit their
// requests to another entry host. After detectionDelay, the engines cancel its
// jobs. killEntryHost has no effect in an ideal simulation.
func (s *Simulation) killEntryHost() {
	if s.ideal {
		return
	}
	s.deadHost = 0
	for _, a := range s.sortedAttempts() {
		if a.host != 0 {
			continue
		}
		a.orphaned = true
		s.After(detectionDelay, func() { s.discard(a, &s.result.Waste.Failed) })
		c := *a
		s.After(reconnectDelay, func() {
			if !c.request.ended {
				s.submit(c.request, c.resubmissions)
			}
		})
	}
	s.After(time.Nanosecond, s.scheduleWake)
}
