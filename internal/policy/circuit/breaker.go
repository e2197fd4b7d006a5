// Package circuit implements a circuit breaker: it stops the use of a backend
// server that fails repeatedly, and after a backoff admits one job at a time as
// a probe.
package circuit

import "time"

const (
	// failureThreshold is the number of consecutive failures that opens the
	// circuit.
	failureThreshold = 3
	// minBackoff and maxBackoff bound the time until the next probe. The
	// backoff doubles with each failed probe.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 4 * time.Second
)

// Breaker is the circuit breaker of one server. The zero value is closed. It is
// not safe for concurrent use.
type Breaker struct {
	// failures counts the failures since the last success.
	failures int
	// probeAt is the time of the next probe. It is zero while the circuit is
	// closed.
	probeAt time.Time
	backoff time.Duration
	// probing is set while the circuit is open and a probe has been sent that
	// has not failed.
	probing bool
}

// Allow reports whether the server may receive a job at time now.
func (b *Breaker) Allow(now time.Time) bool { return b.probeAt.IsZero() || !now.Before(b.probeAt) }

// Begin records that a job is sent to the server. While the circuit is open,
// this job is a probe, and no other job is allowed until another backoff has
// passed.
func (b *Breaker) Begin(now time.Time) {
	if b.probeAt.IsZero() {
		return
	}
	b.probing = true
	b.probeAt = now.Add(b.backoff)
}

// Succeed closes the circuit.
func (b *Breaker) Succeed() { *b = Breaker{} }

// Fail records a failure at time now. Failures of jobs that started before the
// circuit opened do not extend the backoff.
func (b *Breaker) Fail(now time.Time) {
	b.failures++
	if b.failures < failureThreshold || !b.probeAt.IsZero() && !b.probing {
		return
	}
	b.probing = false
	b.backoff = min(maxBackoff, max(minBackoff, 2*b.backoff))
	b.probeAt = now.Add(b.backoff)
}
