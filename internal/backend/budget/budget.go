// Package budget implements a retry budget, which bounds retries to a fraction
// of the first attempts, so that failures do not multiply the load.
package budget

import "sync"

// Budget is the number of retries that may be made. It is safe for concurrent
// use.
type Budget struct {
	share float64
	burst float64

	mu sync.Mutex
	// available is the number of retries left, between zero and burst.
	available float64
}

// NewBudget returns a budget of burst retries. Each first attempt adds share
// retries to it, up to burst.
func NewBudget(share float64, burst int) *Budget {
	return &Budget{share: share, burst: float64(burst), available: float64(burst)}
}

// RecordCall records a first attempt.
func (b *Budget) RecordCall() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.available = min(b.available+b.share, b.burst)
}

// AllowRetry reports whether a retry may be made. If so, it charges the retry
// to the budget.
func (b *Budget) AllowRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.available < 1 {
		return false
	}
	b.available--
	return true
}
