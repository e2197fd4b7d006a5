// Package circuit stops the use of a backend server that fails, and tries it
// again after a backoff with one job at a time.
package circuit

import "time"

const (
	// threshold is the number of failures in a row that opens the circuit.
	threshold = 3
	// firstBackoff and maxBackoff bound the time until the next probe. It
	// doubles with each probe that fails.
	firstBackoff = 500 * time.Millisecond
	maxBackoff   = 4 * time.Second
)

// Breaker is the circuit state of one server. The zero value is closed. It is
// not safe for concurrent use.
type Breaker struct {
	// failures counts failures since the last success.
	failures int
	// until is the time of the next probe. It is zero while closed.
	until   time.Time
	backoff time.Duration
	// probing tells that a job was given to the server since it opened.
	probing bool
}

// Allow reports whether the server may be given a job at now.
func (b *Breaker) Allow(now time.Time) bool { return b.until.IsZero() || !now.Before(b.until) }

// Begin notes that the server is given a job. In an open circuit that job is
// the only probe until the backoff has passed again.
func (b *Breaker) Begin(now time.Time) {
	if b.until.IsZero() {
		return
	}
	b.probing = true
	b.until = now.Add(b.backoff)
}

// Succeed closes the circuit.
func (b *Breaker) Succeed() { *b = Breaker{} }

// Fail notes a failure at now. Failures of jobs that began before the circuit
// opened do not extend the backoff.
func (b *Breaker) Fail(now time.Time) {
	b.failures++
	if b.failures < threshold || !b.until.IsZero() && !b.probing {
		return
	}
	b.probing = false
	b.backoff = min(maxBackoff, max(firstBackoff, 2*b.backoff))
	b.until = now.Add(b.backoff)
}
