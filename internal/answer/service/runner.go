// Package service produces the answer to a plain service call.
//
// A call that may be repeated goes to another backend server after a failure,
// within its deadline and the retry budget. An unrepeatable call is claimed
// before it is sent, and is sent at most once unless the backend server says
// that it did not run it.
package service

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/answer/join"
	"sardineknot.example/sardineknot/internal/backend/breaker"
	"sardineknot.example/sardineknot/internal/backend/retry"
	"sardineknot.example/sardineknot/internal/claims/release"
)

const (
	// maxAttempts bounds the attempts of one call.
	maxAttempts = 3
	// settleTime is the time after the deadline for which a caller waits for
	// a run to say how it ended.
	settleTime = 200 * time.Millisecond
	// retryAfter is the time after which asking again is expected to help.
	retryAfter = time.Second
)

// Runner produces answers. It is safe for concurrent use. All exported fields
// are set before use.
type Runner struct {
	// Self is this entry host.
	Self sardineknot.EntryHost
	// Service calls plain services.
	Service sardineknot.PlainService
	// Claims records unrepeatable requests.
	Claims sardineknot.ClaimLedger
	// ClaimRetention is the time for which Claims keeps a claim. It is
	// positive.
	ClaimRetention time.Duration
	// Releases gives up claims in Claims.
	Releases *release.Queue
	// Holders asks other entry hosts for the outcome of calls that they hold
	// the claim of.
	Holders sardineknot.ClaimHolders
	// Calls joins calls of the same request.
	Calls *join.Group
	// Circuits picks backend servers.
	Circuits *breaker.Set
	// Retries bounds retries.
	Retries *retry.Policy
	// Configuration gives the backend servers.
	Configuration sardineknot.ConfigurationSource
	// Clock gives the time.
	Clock sardineknot.Clock
	// Log takes one event for each failed attempt.
	Log zerolog.Logger

	// nonce numbers the claims of this incarnation.
	nonce atomic.Uint64
}

// Run returns the answer to c, or that of the same call if it runs already. It
// fails with a NotRunError if the call did not run, with a FailedError if it
// may have run and may be repeated, and with an OutcomeUnknownError if it may
// have run and must not be repeated.
func (r *Runner) Run(ctx context.Context, c sardineknot.ServiceCall) (sardineknot.ServiceAnswer, error) {
	ctx, cancel := context.WithDeadline(ctx, c.Deadline.Add(settleTime))
	defer cancel()
	f := r.runRepeatable
	if c.Work.Unrepeatable {
		f = r.runOnce
	}
	a, err := r.Calls.Do(ctx, c, f)
	if !errors.Is(err, context.DeadlineExceeded) {
		return a, err
	}
	if c.Work.Unrepeatable {
		return a, unknown(c.Key, "the deadline passed while it was running")
	}
	return a, errors.WithStack(&sardineknot.FailedError{Reason: "the deadline passed", RetryAfter: retryAfter})
}

// Join returns the outcome of the unrepeatable call k that this host holds or
// held the claim of. It fails as Run does.
func (r *Runner) Join(ctx context.Context, k sardineknot.RequestKey, content [32]byte) (sardineknot.ServiceAnswer, error) {
	a, ok, err := r.Calls.Wait(ctx, k, content)
	if ok && (err == nil || !didNotRun(err)) {
		return a, err
	}
	ok, err = r.Releases.Flush(ctx, k)
	if err != nil || ok {
		return a, errors.WithStack(&sardineknot.NotRunError{Reason: "it was given up before it was sent", RetryAfter: retryAfter})
	}
	return a, unknown(k, "it was sent before and its answer is no longer kept")
}

// send calls a backend server that c was not sent to before, if there is one.
func (r *Runner) send(ctx context.Context, c sardineknot.ServiceCall, tried map[sardineknot.BackendServerName]bool) (sardineknot.ServiceAnswer, error) {
	t := r.Clock.Now()
	if !t.Before(c.Deadline) {
		return sardineknot.ServiceAnswer{}, errors.WithStack(&sardineknot.NotRunError{Reason: "the deadline has passed", RetryAfter: retryAfter})
	}
	l := r.Configuration.Current().Pool(sardineknot.PoolName("service/" + c.Work.Service))
	s, w, ok := r.Circuits.Pick(t, l, tried)
	if !ok {
		return sardineknot.ServiceAnswer{}, errors.WithStack(&sardineknot.NotRunError{Reason: "no backend server accepts calls of " + c.Work.Service, RetryAfter: w})
	}
	tried[s.Name] = true
	a, err := r.Service.Call(ctx, s, c)
	switch {
	case err == nil:
		r.Circuits.Done(r.Clock.Now(), s.Name, breaker.Succeeded)
	case errors.Is(ctx.Err(), context.Canceled):
		r.Circuits.Done(r.Clock.Now(), s.Name, breaker.Abandoned)
	default:
		r.Circuits.Done(r.Clock.Now(), s.Name, breaker.Failed)
		r.Log.Warn().Stringer("event", sardineknot.LogCallFailed).Str("request", c.Key.String()).Str("server", string(s.Name)).Err(err).Send()
	}
	return a, err
}

// didNotRun reports whether err says that no backend server ran the call.
func didNotRun(err error) bool {
	var n *sardineknot.NotRunError
	var f *sardineknot.RefusedError
	return errors.As(err, &n) || errors.As(err, &f)
}

// notRun converts err to a NotRunError.
func notRun(err error) error {
	var n *sardineknot.NotRunError
	if errors.As(err, &n) {
		return err
	}
	return errors.WithStack(&sardineknot.NotRunError{Reason: err.Error(), RetryAfter: retryAfter})
}

func unknown(k sardineknot.RequestKey, reason string) error {
	return errors.WithStack(&sardineknot.OutcomeUnknownError{Key: k, Reason: reason})
}
