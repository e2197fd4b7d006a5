package ledger

import (
	"sync"
	"time"

	"sardineknot.example/sardineknot"
)

// eras records the latest era of the store. It is safe for concurrent use. The zero value
// is the first era.
type eras struct {
	mu     sync.Mutex
	latest sardineknot.StoreEra
	// since is the time at which the latest era was recorded.
	since time.Time
}

// learn records at time now that era has begun.
func (e *eras) learn(era sardineknot.StoreEra, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if era > e.latest {
		e.latest, e.since = era, now
	}
}

// orderWait returns the time from now until no order of an earlier era can arrive any
// more. The record of such an order may be lost.
func (e *eras) orderWait(now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.latest == 0 {
		return 0
	}
	return max(0, e.since.Add(orderValidity+waitMargin).Sub(now))
}
