// Package shared bounds the retries of each service over all entry hosts, of
// which each has an equal part.
package shared

import (
	"sync"
	"time"

	"sardineknot.example/sardineknot"
)

const (
	// margin is the part of the bound that is used. The rest is for hosts that
	// count each other late.
	margin = 0.9
	// window is the span of time for which retries are bounded, in buckets.
	window      = 10
	bucketWidth = time.Second
)

// Budgets is a sardineknot.RetryBudget. The exported fields are set before use.
type Budgets struct {
	// Clock gives the time.
	Clock sardineknot.Clock
	// Hosts returns the number of entry hosts.
	Hosts func() int

	mu sync.Mutex
	// ratio is the number of retries that each first try allows, and slack the
	// number that is allowed beside, on all hosts.
	ratio float64
	slack float64
	// began is the time from which buckets are numbered. The difference of two
	// times does not follow jumps of the time of day.
	began time.Time
	// counts holds the tries of each service.
	counts map[sardineknot.ServiceName]*counts
}

var _ sardineknot.RetryBudget = (*Budgets)(nil)

// counts holds the tries of one service by time.
type counts struct {
	buckets [window]bucket
}

// bucket holds the tries of one bucketWidth.
type bucket struct {
	// number tells which bucketWidth.
	number  int64
	first   float64
	retries float64
}

// SetBounds sets the number of retries that each first try allows, and the
// number that is allowed beside, on all hosts. Both are zero at first.
func (b *Budgets) SetBounds(ratio, slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.slack = ratio, slack
}

// First implements sardineknot.RetryBudget.
func (b *Budgets) First(s sardineknot.ServiceName) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bucketLocked(s).first++
}

// Retry implements sardineknot.RetryBudget.
func (b *Budgets) Retry(s sardineknot.ServiceName) bool {
	n := float64(max(1, b.Hosts()))
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.bucketLocked(s)
	f, r := b.counts[s].sum(k.number)
	if r+1 > margin*(b.ratio*f+b.slack/n) {
		return false
	}
	k.retries++
	return true
}

// bucketLocked returns the present bucket of s.
func (b *Budgets) bucketLocked(s sardineknot.ServiceName) *bucket {
	if b.counts == nil {
		b.counts = make(map[sardineknot.ServiceName]*counts)
	}
	c := b.counts[s]
	if c == nil {
		c = &counts{}
		b.counts[s] = c
	}
	if b.began.IsZero() {
		b.began = b.Clock.Now().Add(-window * bucketWidth)
	}
	n := int64(b.Clock.Now().Sub(b.began) / bucketWidth)
	k := &c.buckets[n%window]
	if k.number != n {
		*k = bucket{number: n}
	}
	return k
}

// sum returns the tries of the window that ends with the bucket number n.
func (c *counts) sum(n int64) (first, retries float64) {
	for _, k := range c.buckets {
		if k.number > n-window && k.number <= n {
			first += k.first
			retries += k.retries
		}
	}
	return first, retries
}
