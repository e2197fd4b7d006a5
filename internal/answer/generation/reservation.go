package generation

import "sync"

// reservation records whether an attempt may follow the current one. It is
// asked before a silent engine is given up, and again after the end of the
// attempt, but charges the retry budget once. The zero value allows no attempt.
type reservation struct {
	mu sync.Mutex
	// left is the number of attempts that may follow the current one.
	left int
	// charged reports whether the next attempt is charged to the retry budget.
	charged bool
}

// start begins attempt i, counted from zero.
func (r *reservation) start(i int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.left = maxAttempts - 1 - i
	r.charged = false
}

// reserve reports whether another attempt may follow. It calls allow until that
// charges the attempt to the retry budget.
func (r *reservation) reserve(allow func() bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.left > 0 && !r.charged {
		r.charged = allow()
	}
	return r.left > 0 && r.charged
}

// reserveRetry reports whether another attempt may follow the current one, and
// charges it to the retry budget.
func (n *run) reserveRetry() bool { return n.reservation.reserve(n.Retries.AllowRetry) }

// canRestart reports whether a first attempt may follow a takeover that failed.
// It may if the run has all tokens that the caller has.
func (n *run) canRestart() bool { return n.buffer.FromStart() && n.buffer.Len() >= n.offset }
