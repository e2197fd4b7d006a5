// Package service runs calls of plain services on backend servers. It serves
// the entry host in package process; package plain is the counterpart for the
// entry host in package gateway.
//
// After a failure, a repeatable call is sent to another backend server, within
// its deadline and the retry budget. If its server is silent, the call is sent to
// another one as well, and the first answer counts. An unrepeatable call is
// claimed in the store before it is sent. It is sent to another backend server
// only if no server that received it before can have run it.
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
	// deadlineGrace is the time after the deadline for which a caller still
	// waits for the outcome of a run.
	deadlineGrace = 200 * time.Millisecond
	// retryAfter is the Retry-After time of calls that may be repeated.
	retryAfter = time.Second
)

// Runner runs service calls. It is safe for concurrent use. All exported fields
// must be set before use.
type Runner struct {
	// Self is this entry host.
	Self sardineknot.EntryHost
	// Service sends calls to backend servers.
	Service sardineknot.PlainServiceClient
	// Claims records which entry host may send an unrepeatable call.
	Claims sardineknot.ClaimLedger
	// ClaimRetention is the time for which Claims keeps a claim. It is
	// positive.
	ClaimRetention time.Duration
	// Releases queues the release of abandoned claims in Claims.
	Releases *release.Queue
	// Holders asks other entry hosts for the outcome of calls whose claims they
	// hold.
	Holders sardineknot.ClaimHolderClient
	// Calls merges concurrent and repeated calls of the same request.
	Calls *join.Group
	// Circuits selects backend servers by their circuit breakers.
	Circuits *breaker.Set
	// Retries limits how often calls are retried and sets the delay before each
	// retry.
	Retries *retry.Policy
	// Configuration provides the backend servers.
	Configuration sardineknot.ConfigurationSource
	// Clock returns the current time.
	Clock sardineknot.Clock
	// Log receives an event for each failed attempt and each abandoned claim.
	Log zerolog.Logger

	// nonce numbers the claim attempts of this incarnation.
	nonce atomic.Uint64
}

// Run runs call and returns the answer. If a run of the same call is in
// progress or its answer is kept, Run returns the result of that run. It fails
// with a NotRunError if the call did not run, with a RequestFailedError if it
// may have run and may be repeated, and with an OutcomeUnknownError if it may
// have run and must not be repeated.
func (r *Runner) Run(ctx context.Context, call sardineknot.ServiceCall) (sardineknot.ServiceAnswer, error) {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline.Add(deadlineGrace))
	defer cancel()
	f := r.runRepeatable
	if call.Work.Unrepeatable {
		f = r.runUnrepeatable
	}
	a, err := r.Calls.Do(ctx, call, f)
	if !errors.Is(err, context.DeadlineExceeded) {
		return a, err
	}
	if call.Work.Unrepeatable {
		return a, newOutcomeUnknownError(call.Key, "the deadline passed while the call was running")
	}
	return a, errors.WithStack(&sardineknot.RequestFailedError{Reason: "the deadline passed", RetryAfter: retryAfter})
}

// Join returns the outcome of the unrepeatable call with the given key, whose
// claim this host holds or held. content is a digest of the call's content.
// Join waits until the call has ended; if ctx is done first, it fails with the
// error of ctx. It fails with a NotRunError if no backend server ran the call
// and this host gave up the claim, with an OutcomeUnknownError if the call may
// have run, and with a ContentMismatchError if the call of this host has
// different content.
func (r *Runner) Join(ctx context.Context, key sardineknot.RequestKey, content [32]byte) (sardineknot.ServiceAnswer, error) {
	a, ok, err := r.Calls.Wait(ctx, key, content)
	if ok && (err == nil || !didNotRun(err)) {
		return a, err
	}
	ok, err = r.Releases.Flush(ctx, key)
	if err != nil || ok {
		return a, errors.WithStack(&sardineknot.NotRunError{Reason: "the claim was released before the call was sent", RetryAfter: retryAfter})
	}
	return a, newOutcomeUnknownError(key, "the call was sent before and its answer is no longer kept")
}

// send sends call to a backend server that pick chooses.
func (r *Runner) send(ctx context.Context, call sardineknot.ServiceCall, tried map[sardineknot.BackendServerName]bool) (sardineknot.ServiceAnswer, error) {
	s, err := r.pick(call, tried)
	if err != nil {
		return sardineknot.ServiceAnswer{}, err
	}
	return r.sendTo(ctx, call, s)
}

// pick chooses a backend server for call, to which call must be sent by sendTo.
// It prefers servers that are not in tried, and adds the chosen server to tried.
func (r *Runner) pick(call sardineknot.ServiceCall, tried map[sardineknot.BackendServerName]bool) (sardineknot.BackendServer, error) {
	t := r.Clock.Now()
	if !t.Before(call.Deadline) {
		return sardineknot.BackendServer{}, errors.WithStack(&sardineknot.NotRunError{Reason: "the deadline has passed", RetryAfter: retryAfter})
	}
	l := r.Configuration.Current().AcceptingServers(sardineknot.PoolName("service/" + call.Work.Service))
	s, w, ok := r.Circuits.Pick(t, l, tried)
	if !ok {
		return s, errors.WithStack(&sardineknot.NotRunError{Reason: "no backend server accepts calls of " + call.Work.Service, RetryAfter: w})
	}
	tried[s.Name] = true
	return s, nil
}

// sendTo sends call to s and records the result with the circuit breaker of s. An
// attempt that was overtaken by a later one is a failure of its silent server.
func (r *Runner) sendTo(ctx context.Context, call sardineknot.ServiceCall, s sardineknot.BackendServer) (sardineknot.ServiceAnswer, error) {
	a, err := r.Service.Call(ctx, s, call)
	switch {
	case err == nil:
		r.Circuits.Done(r.Clock.Now(), s.Name, breaker.Succeeded)
	case errors.Is(ctx.Err(), context.Canceled) && !errors.Is(context.Cause(ctx), errOvertaken):
		r.Circuits.Done(r.Clock.Now(), s.Name, breaker.Abandoned)
	default:
		r.Circuits.Done(r.Clock.Now(), s.Name, breaker.Failed)
		r.Log.Warn().Stringer("event", sardineknot.LogCallFailed).Str("request", call.Key.String()).Str("server", string(s.Name)).Err(err).Send()
	}
	return a, err
}

// didNotRun reports whether err guarantees that no backend server ran the call.
func didNotRun(err error) bool {
	var n *sardineknot.NotRunError
	var f *sardineknot.RefusedError
	return errors.As(err, &n) || errors.As(err, &f)
}

// newNotRunError returns err if it already holds a NotRunError, and otherwise a
// NotRunError with the text of err as its reason.
func newNotRunError(err error) error {
	var n *sardineknot.NotRunError
	if errors.As(err, &n) {
		return err
	}
	return errors.WithStack(&sardineknot.NotRunError{Reason: err.Error(), RetryAfter: retryAfter})
}

// newOutcomeUnknownError returns an OutcomeUnknownError for the request with
// the given key.
func newOutcomeUnknownError(key sardineknot.RequestKey, reason string) error {
	return errors.WithStack(&sardineknot.OutcomeUnknownError{Key: key, Reason: reason})
}
