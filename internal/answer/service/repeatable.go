package service

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

// runRepeatable sends c until a backend server answers, the deadline passes or
// the retry budget is spent.
func (r *Runner) runRepeatable(ctx context.Context, c sardineknot.ServiceCall) (sardineknot.ServiceAnswer, error) {
	r.Retries.First()
	m := make(map[sardineknot.BackendServerName]bool)
	u := true
	for n := 1; ; n++ {
		a, err := r.sendWithin(ctx, c, m, n)
		if err == nil || errors.Is(ctx.Err(), context.Canceled) {
			return a, err
		}
		u = u && didNotRun(err)
		if n == maxAttempts || !r.waitForRetry(ctx, c, n) {
			return a, failed(err, u)
		}
	}
}

// failed returns the error of a call whose last attempt failed with err.
func failed(err error, didNotRun bool) error {
	if didNotRun {
		return notRun(err)
	}
	return errors.WithStack(&sardineknot.FailedError{Reason: err.Error(), RetryAfter: retryAfter})
}

// sendWithin bounds the n-th attempt by half of the remaining time, so that a
// connection that went silent leaves time for another. The last attempt has
// all of it.
func (r *Runner) sendWithin(ctx context.Context, c sardineknot.ServiceCall, tried map[sardineknot.BackendServerName]bool, n int) (sardineknot.ServiceAnswer, error) {
	d := c.Deadline.Sub(r.Clock.Now())
	if n < maxAttempts {
		d /= 2
	}
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	return r.send(ctx, c, tried)
}

// waitForRetry waits before the n-th retry. It reports false if there is no
// time or budget left.
func (r *Runner) waitForRetry(ctx context.Context, c sardineknot.ServiceCall, n int) bool {
	w, ok := r.Retries.Next(n)
	if !ok || !r.Clock.Now().Add(w).Before(c.Deadline) {
		return false
	}
	return sleep(ctx, w)
}

// sleep reports false if ctx ends before d has passed.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
