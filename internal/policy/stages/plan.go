// Package stages decides how many engines of a pool shard read prompts.
//
// A prompt keeps a prefill engine busy for a tenth of a second, and its answer
// takes a tenth of a decode engine's memory for seconds. A quarter of the
// engines reads as many prompts as the others can answer, with a reserve for
// bursts and for engines that fail.
package stages

import (
	"math"

	"sardineknot.example/sardineknot"
)

const (
	// share is the part of the engines that read prompts.
	share = 0.25
	// minEngines is the number of engines from which roles are changed, and
	// minPrefill the number that keep reading prompts.
	minEngines = 8
	minPrefill = 3
)

// Change is an engine that is to take another role.
type Change struct {
	// Server is the engine.
	Server sardineknot.BackendServer
	// Role is the role to take.
	Role sardineknot.BackendRole
}

// Next returns the change that brings the engines l closest to what they should
// be. ok is false if they are.
func Next(l []sardineknot.BackendServer) (c Change, ok bool) {
	var p, d []sardineknot.BackendServer
	for _, s := range l {
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
		return Change{}, false
	}
	w := share * float64(n)
	switch {
	case len(p) > max(minPrefill, int(math.Ceil(w))):
		return Change{Server: p[len(p)-1], Role: sardineknot.RoleDecode}, true
	case len(p) < minPrefill-1:
		return Change{Server: d[len(d)-1], Role: sardineknot.RolePrefill}, true
	default:
		return Change{}, false
	}
}
