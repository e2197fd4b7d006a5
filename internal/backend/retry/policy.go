// Package retry decides whether and when a repeatable call is retried.
//
// The number of retries is bounded to a fraction of the first attempts, so that
// an outage does not multiply the load. Delays follow an exponential backoff
// with full jitter: each is drawn at random between zero and the backoff.
package retry

import (
	"math/rand/v2"
	"sync"
	"time"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/backend/budget"
)

const (
	// retryRatio is the number of retries that each first attempt adds to the
	// budget.
	retryRatio = 0.1
	// maxBudget is the greatest number of retries in the budget.
	maxBudget = 10
	// minBackoff bounds the first delay. The bound doubles with each further
	// attempt, up to maxBackoff.
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
)

// Policy is the retry policy of one entry host: a retry budget and a backoff.
// It is safe for concurrent use.
type Policy struct {
	budget *budget.Budget

	mu     sync.Mutex
	random *rand.Rand
}

// NewPolicy returns a policy with a full budget, which draws the jitter from
// source. It panics if source is nil.
func NewPolicy(source rand.Source) *Policy {
	if source == nil {
		panic(&sardineknot.InvalidError{What: "source", Got: "nil", Expected: "a source of random numbers"})
	}
	return &Policy{budget: budget.NewBudget(retryRatio, maxBudget), random: rand.New(source)}
}

// RecordCall records a first attempt, which adds to the budget.
func (p *Policy) RecordCall() { p.budget.RecordCall() }

// Next charges a retry to the budget and returns the delay before it. retry is
// the number of the retry, counted from one. ok is false if the budget is
// exhausted.
func (p *Policy) Next(retry int) (wait time.Duration, ok bool) {
	if !p.budget.AllowRetry() {
		return 0, false
	}
	return p.Backoff(retry), true
}

// Backoff returns the delay before an attempt, without charging the attempt to
// the budget. attempt is the number of the attempt, counted from one.
func (p *Policy) Backoff(attempt int) time.Duration {
	d := minBackoff
	for i := 1; i < attempt && d < maxBackoff; i++ {
		d *= 2
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(p.random.Int64N(int64(min(d, maxBackoff))))
}
