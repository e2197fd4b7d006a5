package memorysim

import (
	"time"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/policy/rolebalance"
)

const (
	// roleInterval is the time between two checks of the roles. steadyRounds and
	// cooldownRounds are the rounds in which a change must be needed before it is
	// ordered, and those without orders after it, as in package roles.
	roleInterval   = time.Second
	steadyRounds   = 4
	cooldownRounds = 12
)

// balanceRoles orders the changes of roles that are due and schedules the next
// check. steady is the number of rounds before this one in which a change was
// needed. It is negative while no order may follow the last one.
func (s *Simulation) balanceRoles(steady int) {
	n := s.plannedChanges()
	switch {
	case steady < 0 || len(n) > 0:
		steady++
	default:
		steady = 0
	}
	if steady >= steadyRounds {
		steady = -cooldownRounds
		for _, c := range n {
			s.changeRole(c)
		}
		s.setServers()
	}
	s.After(roleInterval, func() { s.balanceRoles(steady) })
}

// plannedChanges returns the changes of roles that the policy requires.
func (s *Simulation) plannedChanges() []rolebalance.RoleChange {
	var l []sardineknot.BackendServer
	for _, e := range s.prefill {
		if !e.changing {
			l = append(l, e.server)
		}
	}
	for _, e := range s.decode {
		if !e.changing {
			l = append(l, e.server)
		}
	}
	var d sardineknot.EngineDemand
	if o, ok := s.scheduler.(sardineknot.DemandObserver); ok {
		d = o.Demand(s.Now())
	}
	return rolebalance.Plan(l, d)
}

// changeRole takes an engine out of service and returns it with its new role
// after the time RoleSwitch of the pattern. Work that it has begun is completed.
func (s *Simulation) changeRole(c rolebalance.RoleChange) {
	b := c.Server
	b.Role = c.Role
	b.Born++
	s.roleChanges++
	if c.Role == sardineknot.RoleDecode {
		e := s.findPrefill(b.Name)
		e.changing = true
		s.After(s.pattern.RoleSwitch, func() {
			s.decode = append(s.decode, &decodeEngine{simulation: s, server: b, speed: e.speed, slowness: e.slowness})
			s.setServers()
		})
		return
	}
	e := s.findDecode(b.Name)
	e.changing = true
	s.After(s.pattern.RoleSwitch, func() {
		s.prefill = append(s.prefill, &prefillEngine{simulation: s, server: b, speed: e.speed, slowness: e.slowness})
		s.setServers()
	})
}
