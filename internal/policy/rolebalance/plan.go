// Package rolebalance decides which engines of a pool shard change their role,
// so that a fixed share of them are prefill engines.
//
// A prompt occupies a prefill engine for a tenth of a second, and its answer
// occupies a tenth of a decode engine's memory for seconds. A quarter of the
// engines can therefore prefill as many prompts as the others can answer, with
// a reserve for bursts and failed engines.
package rolebalance

import (
	"math"

	"sardineknot.example/sardineknot"
)

const (
	// prefillShare is the target share of prefill engines.
	prefillShare = 0.25
	// minEngines is the least number of engines at which roles are changed.
	// minPrefill is the least number of prefill engines that a change leaves.
	minEngines = 8
	minPrefill = 3
)

// RoleChange is a change of an engine's role.
type RoleChange struct {
	// Server is the engine that changes its role. Its Role is still the old
	// one.
	Server sardineknot.BackendServer
	// Role is the role that the engine gets.
	Role sardineknot.BackendRole
}

// Next returns the next change of role that brings engines closer to the target
// share. ok is false if no change is needed. Only one engine at a time changes
// its role. Engines that are not joining are ignored.
func Next(engines []sardineknot.BackendServer) (change RoleChange, ok bool) {
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
		return RoleChange{}, false
	}
	w := prefillShare * float64(n)
	switch {
	case len(p) > max(minPrefill, int(math.Ceil(w))):
		return RoleChange{Server: p[len(p)-1], Role: sardineknot.RoleDecode}, true
	case len(p) < minPrefill-1:
		return RoleChange{Server: d[len(d)-1], Role: sardineknot.RolePrefill}, true
	default:
		return RoleChange{}, false
	}
}
