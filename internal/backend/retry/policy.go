// Package retry decides whether and when a repeatable call is tried again.
//
// Retries are a share of first tries, so that an outage does not multiply the
// load, and wait for a random part of an exponential backoff ("full jitter").
package retry

import (
	"math/rand/v2"
	"sync"
	"time"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/backend/budget"
)

const (
	// share is the number of retries that a first try earns.
	share = 0.1
	// maxSaved bounds the retries that are saved up.
	maxSaved = 10
	// firstBackoff bounds the first wait; it doubles up to maxBackoff.
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = time.Second
)

// Policy is the retry budget of one entry host. It is safe for concurrent use.
type Policy struct {
	budget *budget.Budget

	mu     sync.Mutex
	random *rand.Rand
}

// NewPolicy returns a policy with a full budget. It panics if source is nil.
func NewPolicy(source rand.Source) *Policy {
	if source == nil {
		panic(&sardineknot.InvalidError{What: "source", Got: "nil", Expected: "a source of random numbers"})
	}
	return &Policy{budget: budget.NewBudget(share, maxSaved), random: rand.New(source)}
}

// First counts a first try.
func (p *Policy) First() { p.budget.First() }

// Next returns the time to wait before the n-th retry, counted from one. ok is
// false if the budget is spent.
func (p *Policy) Next(n int) (wait time.Duration, ok bool) {
	if !p.budget.Retry() {
		return 0, false
	}
	return p.Backoff(n), true
}

// Backoff returns the time to wait before the n-th try of something that is
// not under the budget, counted from one.
func (p *Policy) Backoff(n int) time.Duration {
	d := firstBackoff
	for i := 1; i < n && d < maxBackoff; i++ {
		d *= 2
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(p.random.Int64N(int64(min(d, maxBackoff))))
}
