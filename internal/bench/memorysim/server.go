package memorysim

import (
	"fmt"
	"slices"

	"sardineknot.example/sardineknot"
)

// addEngines creates the engines and distributes them evenly over the zones.
func (s *Simulation) addEngines() {
	m, n, k, f := s.pattern.PrefillEngines, s.pattern.DecodeEngines, 1, 1
	if s.ideal {
		k, f = m+n, n
		m, n = 1, 1
	}
	for i := range m {
		e := s.newServer(i, sardineknot.RolePrefill)
		s.prefill = append(s.prefill, &prefillEngine{simulation: s, server: e, speed: k, slowness: s.newSlowness(i)})
	}
	for i := range n {
		e := s.newServer(m+i, sardineknot.RoleDecode)
		e.Slots *= f
		e.MemoryTokens *= f
		e.MemoryPieces *= f
		s.decode = append(s.decode, &decodeEngine{simulation: s, server: e, speed: f, slowness: s.newSlowness(m + i)})
	}
}

// newServer returns a backend server with the given role. Its name and zone are
// determined by index.
func (s *Simulation) newServer(index int, role sardineknot.BackendRole) sardineknot.BackendServer {
	return sardineknot.BackendServer{
		Name:         sardineknot.BackendServerName(fmt.Sprintf("engine-%d", index)),
		Zone:         s.pattern.Zones[index%len(s.pattern.Zones)],
		Role:         role,
		Model:        "bench",
		Version:      "1",
		State:        sardineknot.BackendJoining,
		Slots:        s.pattern.Slots,
		MemoryTokens: s.pattern.Memory,
		MemoryPieces: s.pattern.Memory / sardineknot.TokensPerMemoryPiece,
		EventTokens:  s.pattern.EventTokens,
		Born:         1,
	}
}

// findPrefill returns the prefill engine of that name, or nil if there is none. An
// engine that has just left this role still takes what was granted before.
func (s *Simulation) findPrefill(name sardineknot.BackendServerName) *prefillEngine {
	i := slices.IndexFunc(s.prefill, func(e *prefillEngine) bool { return e.server.Name == name && !e.changing })
	if i < 0 && !slices.ContainsFunc(s.decode, func(e *decodeEngine) bool { return e.server.Name == name }) {
		i = slices.IndexFunc(s.prefill, func(e *prefillEngine) bool { return e.server.Name == name })
	}
	if i < 0 {
		return nil
	}
	return s.prefill[i]
}

// findDecode returns the decode engine of that name. An engine that has just left
// this role still takes what was granted before.
func (s *Simulation) findDecode(name sardineknot.BackendServerName) *decodeEngine {
	i := slices.IndexFunc(s.decode, func(e *decodeEngine) bool { return e.server.Name == name && !e.changing })
	if i < 0 {
		i = slices.IndexFunc(s.decode, func(e *decodeEngine) bool { return e.server.Name == name })
	}
	return s.decode[i]
}

// setServers passes the engines that have not crashed, and the links between
// the zones, to the scheduler.
func (s *Simulation) setServers() {
	var l []sardineknot.BackendServer
	for _, e := range s.prefill {
		if !e.dead && !e.changing {
			l = append(l, e.server)
		}
	}
	for _, e := range s.decode {
		if !e.dead && !e.changing {
			l = append(l, e.server)
		}
	}
	s.apply(s.scheduler.SetServers(s.Now(), l, s.links()))
}

// links returns the links between all pairs of zones and within each zone.
func (s *Simulation) links() []sardineknot.Link {
	var l []sardineknot.Link
	for i, a := range s.pattern.Zones {
		for _, b := range s.pattern.Zones[i:] {
			l = append(l, sardineknot.Link{From: a, To: b, Delay: s.pattern.MessageDelay, BytesPerSecond: linkRate})
		}
	}
	return l
}

// linkRate is the declared rate of links, in bytes per second.
const linkRate = 1e12

// reportLoads sends the load of all decode engines to the scheduler with the
// reporting delay, and schedules the next reports.
func (s *Simulation) reportLoads() {
	for _, e := range s.decode {
		if e.dead {
			continue
		}
		l := sardineknot.LoadReport{Server: e.server.Name, MeasuredAt: s.Now(), Running: len(e.running), Waiting: len(e.waiting)}
		for _, x := range e.running {
			c := sardineknot.RequestID(fmt.Sprint(x.attempt.request.id))
			l.RunningRequests = append(l.RunningRequests, sardineknot.RunningRequest{ID: c, MemoryTokens: x.memoryTokens, Events: x.attempt.events})
		}
		s.After(s.pattern.ReportLag, func() {
			if !s.schedulerDown {
				l.MeasuredAt = s.Now()
				s.scheduler.ObserveLoad(s.Now(), l)
			}
		})
	}
	s.After(s.pattern.ReportEvery, s.reportLoads)
}
