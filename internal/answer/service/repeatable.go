package service

import (
	"context"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/host/clock"
)

// runRepeatable sends call until a backend server answers, maxAttempts is
// reached, the deadline passes or the retry budget is exhausted.
func (r *Runner) runRepeatable(ctx context.Context, call sardineknot.ServiceCall) (sardineknot.ServiceAnswer, error) {
	r.Retries.RecordCall()
	m := make(map[sardineknot.BackendServerName]bool)
	u := true
	for n := 1; ; n++ {
		a, err := r.sendWithTimeout(ctx, call, m, n)
		if err == nil || errors.Is(ctx.Err(), context.Canceled) {
			return a, err
		}
		u = u && didNotRun(err)
		if n == maxAttempts || !r.waitForRetry(ctx, call, n) {
			return a, finalError(err, u)
		}
	}
}

// finalError returns the error of a call whose last attempt failed with err.
// didNotRun reports whether it is certain that no attempt has run.
func finalError(err error, didNotRun bool) error {
	if didNotRun {
		return newNotRunError(err)
	}
	return errors.WithStack(&sardineknot.RequestFailedError{Reason: err.Error(), RetryAfter: retryAfter})
}

// sendWithTimeout sends call as the given attempt, counted from one. It limits
// every attempt but the last to half of the remaining time, so that an
// unresponsive connection leaves time for another attempt.
func (r *Runner) sendWithTimeout(ctx context.Context, call sardineknot.ServiceCall, tried map[sardineknot.BackendServerName]bool, attempt int) (sardineknot.ServiceAnswer, error) {
	d := call.Deadline.Sub(r.Clock.Now())
	if attempt < maxAttempts {
		d /= 2
	}
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	return r.send(ctx, call, tried)
}

// waitForRetry waits for the backoff before the given retry, counted from one.
// It returns false if the time or the retry budget does not suffice.
func (r *Runner) waitForRetry(ctx context.Context, call sardineknot.ServiceCall, retry int) bool {
	w, ok := r.Retries.Next(retry)
	if !ok || !r.Clock.Now().Add(w).Before(call.Deadline) {
		return false
	}
	return clock.System{}.Sleep(ctx, w) == nil
}
