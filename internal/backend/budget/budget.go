// Package budget bounds retries to a share of first tries, so that failures do
// not multiply the load.
package budget

import "sync"

// Budget is a number of retries that may be made. It is safe for concurrent
// use.
type Budget struct {
	share float64
	burst float64

	mu sync.Mutex
	// left is between zero and burst.
	left float64
}

// NewBudget returns a budget to which each first try adds share retries, up to
// burst. It starts full.
func NewBudget(share float64, burst int) *Budget {
	return &Budget{share: share, burst: float64(burst), left: float64(burst)}
}

// First counts a first try.
func (b *Budget) First() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left = min(b.left+b.share, b.burst)
}

// Retry reports whether a retry may be made, and counts it.
func (b *Budget) Retry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}
