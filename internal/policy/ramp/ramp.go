// Package ramp limits the concurrency of a server that has just started or
// recovered.
//
// The limit is that of calls whose outcome is not known yet. Every success in normal
// time raises it by one, so that it doubles in the time that the server takes to
// answer all of them; a failure or a slow answer halves it. The server itself
// thereby sets the time that it takes to reach full load. At its full limit a server
// is not limited any more until it is limited again with Restart.
package ramp

const (
	// minLimit is the least limit. A server is never left without calls, since its
	// state could not be learned then.
	minLimit = 1
	// slowLatency is the latency, relative to the usual one, from which an answer
	// counts as slow.
	slowLatency = 2
)

// Ramp is the limit of one server. The zero value does not limit. It is not safe for
// concurrent use.
type Ramp struct {
	// limit is the number of calls whose outcome may be open at a time, and full the
	// limit at which the server is not limited any more. full is zero while the
	// server is not limited.
	limit, full int
}

// Restart limits the server to first calls at a time, at least one. It is not limited
// any more when the limit reaches full.
func (r *Ramp) Restart(first, full int) {
	r.limit, r.full = max(minLimit, first), full
	r.open()
}

// Admit reports whether the server may get another call while the outcomes of
// inflight calls are open.
func (r *Ramp) Admit(inflight int) bool { return !r.Limited() || inflight < r.limit }

// Limited reports whether the server has not reached its full limit yet.
func (r *Ramp) Limited() bool { return r.full > 0 }

// Succeeded records an answer with the given latency relative to the usual one.
func (r *Ramp) Succeeded(relativeLatency float64) {
	if relativeLatency >= slowLatency {
		r.Failed()
		return
	}
	r.limit++
	r.open()
}

// Failed records a failed call.
func (r *Ramp) Failed() { r.limit = max(minLimit, r.limit/2) }

func (r *Ramp) open() {
	if r.limit >= r.full {
		r.full = 0
	}
}
