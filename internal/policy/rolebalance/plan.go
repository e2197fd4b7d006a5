// Package rolebalance decides which engines of a pool shard change their role,
// so that prefills and answers get engines in proportion to their work.
//
// Both kinds of work are measured over the same seconds, so that the proportion
// does not follow a wave of demand, which raises both. Engines count by their
// speeds. Prefill engines leave in the order of their speed, slowest first, and
// join fastest first: the time to the first event gains more from a fast engine
// than the memory of the answers does.
//
// The number of prefill engines follows square-root staffing: the mean number of
// busy ones plus a reserve in proportion to its square root, because the load of
// many engines varies less, relative to its mean, than that of few.
package rolebalance

import (
	"math"
	"time"

	"sardineknot.example/sardineknot"
)

const (
	// prefillShare is the share of the engines that prefills occupy on average if
	// the demand is not known.
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
	// minObserved is the time for which a demand must have been observed. Waves of
	// demand have periods of up to 17 s.
	minObserved = 20 * time.Second
	// clearShare is the relative difference from the fixed share up to which the
	// demand does not count.
	clearShare = 0.2
	// rounding is the part of an engine of usual speed by which the prefill engines
	// may fall short of the target after one has left them.
	rounding = 0.5
)

// RoleChange is a change of an engine's role.
type RoleChange struct {
	// Server is the engine that changes its role. Its Role is still the old
	// one.
	Server sardineknot.BackendServer
	// Role is the role that the engine gets.
	Role sardineknot.BackendRole
}

// Plan returns the next changes of roles that bring the prefill engines closer to
// the demand. All of them may be made at the same time. It returns none if no
// change is needed. Engines that are not joining are ignored. Without a demand that
// was observed for a whole wave, the number of prefill engines is a fixed share.
func Plan(engines []sardineknot.BackendServer, demand sardineknot.EngineDemand) []RoleChange {
	p, d := newGroup(demand), newGroup(demand)
	for _, s := range engines {
		switch {
		case s.State != sardineknot.BackendJoining:
		case s.Role == sardineknot.RolePrefill:
			p.add(s)
		case s.Role == sardineknot.RoleDecode:
			d.add(s)
		}
	}
	n := len(p.servers) + len(d.servers)
	if n < minEngines {
		return nil
	}
	m := n / enginesPerChange
	w := target(p.speed+d.speed, demand)
	l := math.Floor(lossShare * w)
	if p.speed < l || len(p.servers) < minPrefill-1 {
		return d.change(sardineknot.RolePrefill, m, func() bool {
			return p.speed+d.moved < l || len(p.servers)+d.count < minPrefill-1
		})
	}
	return p.change(sardineknot.RoleDecode, min(m, len(p.servers)-minPrefill), func() bool {
		return p.speed-p.moved-p.slowest() >= w-rounding*min(1, p.slowest())
	})
}

// target returns the sum of the speeds of the prefill engines that are needed if
// all engines together have the given sum. A demand replaces the fixed share only
// if the difference is clear, because a change of role costs seconds of work and
// the estimate varies by itself.
func target(speed float64, demand sardineknot.EngineDemand) float64 {
	f := staffed(prefillShare * speed)
	if demand.Observed < minObserved || demand.Prefill <= 0 || demand.Decode <= 0 {
		return f
	}
	w := staffed(speed * demand.Prefill / (demand.Prefill + demand.Decode))
	if math.Abs(w-f) <= max(1, clearShare*f) {
		return f
	}
	return w
}

// staffed returns the given mean number of busy engines with a reserve.
func staffed(busy float64) float64 { return max(minPrefill, busy+staffing*math.Sqrt(busy)) }
