// Package sharedbudget implements a retry budget for each service that is
// shared by all entry hosts: each host may make an equal part of the retries.
// Package budget is the counterpart for a single host.
package sharedbudget

import (
	"sync"
	"time"

	"sardineknot.example/sardineknot"
)

const (
	// safetyFactor is the fraction of the permitted retries that hosts make.
	// The rest is a margin for hosts that do not yet know the current number of
	// hosts.
	safetyFactor = 0.9
	// windowBuckets is the number of buckets, each bucketWidth wide, of the
	// sliding window over which retries are bounded.
	windowBuckets = 10
	bucketWidth   = time.Second
)

// Budgets is a sardineknot.RetryBudget. The exported fields must be set before
// the first use.
type Budgets struct {
	// Clock returns the current time.
	Clock sardineknot.Clock
	// Hosts returns the number of entry hosts. A number below one counts as
	// one.
	Hosts func() int

	mu sync.Mutex
	// ratio is the number of retries that each first attempt allows. slack is
	// the number of further retries per window on all hosts together.
	ratio float64
	slack float64
	// start is the time from which buckets are numbered. Times are compared by
	// the monotonic clock, so that changes of the wall clock have no effect.
	start time.Time
	// history holds the recent attempts of each service.
	history map[sardineknot.ServiceName]*history
}

var _ sardineknot.RetryBudget = (*Budgets)(nil)

// history holds the attempts of one service in the sliding window.
type history struct {
	buckets [windowBuckets]bucket
}

// bucket counts the attempts in one period of bucketWidth.
type bucket struct {
	// number identifies the period, counted from start.
	number        int64
	firstAttempts float64
	retries       float64
}

// SetBounds sets the bounds of the retries per window: ratio retries for each
// first attempt, and slack further retries on all hosts together. Both are zero
// initially.
func (b *Budgets) SetBounds(ratio, slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.slack = ratio, slack
}

// RecordCall implements sardineknot.RetryBudget.
func (b *Budgets) RecordCall(service sardineknot.ServiceName) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bucketLocked(service).firstAttempts++
}

// AllowRetry implements sardineknot.RetryBudget.
func (b *Budgets) AllowRetry(service sardineknot.ServiceName) bool {
	n := float64(max(1, b.Hosts()))
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.bucketLocked(service)
	f, r := b.history[service].sum(k.number)
	if r+1 > safetyFactor*(b.ratio*f+b.slack/n) {
		return false
	}
	k.retries++
	return true
}

// bucketLocked returns the current bucket of service.
func (b *Budgets) bucketLocked(service sardineknot.ServiceName) *bucket {
	if b.history == nil {
		b.history = make(map[sardineknot.ServiceName]*history)
	}
	h := b.history[service]
	if h == nil {
		h = &history{}
		b.history[service] = h
	}
	if b.start.IsZero() {
		b.start = b.Clock.Now().Add(-windowBuckets * bucketWidth)
	}
	n := int64(b.Clock.Now().Sub(b.start) / bucketWidth)
	k := &h.buckets[n%windowBuckets]
	if k.number != n {
		*k = bucket{number: n}
	}
	return k
}

// sum returns the numbers of first attempts and of retries in the window. last
// is the number of the last bucket of the window.
func (h *history) sum(last int64) (firstAttempts, retries float64) {
	for _, k := range h.buckets {
		if k.number > last-windowBuckets && k.number <= last {
			firstAttempts += k.firstAttempts
			retries += k.retries
		}
	}
	return firstAttempts, retries
}
