// Package rolebalance decides which engines of a pool shard change their role,
// so that prefills and answers get engines in proportion to their work.
//
// The number of prefill engines follows square-root staffing: the mean number of
// busy ones plus a reserve in proportion to its square root, because the load of
// many engines varies less, relative to its mean, than that of few.
package rolebalance

import (
	"math"

	"sardineknot.example/sardineknot"
)

const (
	// prefillShare is the share of the engines that prefills occupy on average.
	// A prompt occupies a prefill engine for a tenth of a second, and its answer
	// a tenth of a decode engine's memory for some four seconds.
	prefillShare = 0.175
	// staffing is the reserve of prefill engines, in square roots of the number
	// that is busy on average.
	staffing = 0.8
	// minEngines is the least number of engines at which roles are changed.
	// minPrefill is the least number of prefill engines that a change leaves.
	minEngines = 8
	minPrefill = 3
	// lossShare is the share of the target below which prefill engines are
	// added. Above it, engines that have failed are expected to come back before
	// others have changed their role.
	lossShare = 0.75
	// enginesPerChange is the number of engines for each of which one engine may
	// change its role at a time, since an engine does no work meanwhile.
	enginesPerChange = 6
)

// RoleChange is a change of an engine's role.
type RoleChange struct {
	// Server is the engine that changes its role. Its Role is still the old
	// one.
	Server sardineknot.BackendServer
	// Role is the role that the engine gets.
	Role sardineknot.BackendRole
}

// Plan returns the next changes of roles that bring the number of prefill engines
// closer to the target. All of them may be made at the same time. It returns none
// if no change is needed. Engines that are not joining are ignored.
func Plan(engines []sardineknot.BackendServer) []RoleChange {
	var p, d []sardineknot.BackendServer
	for _, s := range engines {
		switch {
		case s.State != sardineknot.BackendJoining:
		case s.Role == sardineknot.RolePrefill:
			p = append(p, s)
		case s.Role == sardineknot.RoleDecode:
			d = append(d, s)
		}
	}
	n := len(p) + len(d)
	if n < minEngines {
		return nil
	}
	m := n / enginesPerChange
	w := target(n)
	l := max(minPrefill-1, int(lossShare*float64(w)))
	switch {
	case len(p) > w:
		return change(p, sardineknot.RoleDecode, min(m, len(p)-w))
	case len(p) < l:
		return change(d, sardineknot.RolePrefill, min(m, l-len(p)))
	default:
		return nil
	}
}

// target returns the number of prefill engines among the given number of
// engines.
func target(engines int) int {
	b := prefillShare * float64(engines)
	return max(minPrefill, int(math.Round(b+staffing*math.Sqrt(b))))
}

// change returns changes of count of servers to role. It takes each server from
// the zone that has most of those left, so that zones stay alike.
func change(servers []sardineknot.BackendServer, role sardineknot.BackendRole, count int) []RoleChange {
	c := make(map[sardineknot.AvailabilityZone]int)
	for _, s := range servers {
		c[s.Zone]++
	}
	var r []RoleChange
	t := make(map[sardineknot.BackendServerName]bool)
	for range count {
		b := -1
		for i, s := range servers {
			if !t[s.Name] && (b < 0 || c[s.Zone] >= c[servers[b].Zone]) {
				b = i
			}
		}
		s := servers[b]
		t[s.Name] = true
		c[s.Zone]--
		r = append(r, RoleChange{Server: s, Role: role})
	}
	return r
}
