package service

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/answer/join"
	"sardineknot.example/sardineknot/internal/host/clock"
)

const (
	// maxAgeDivisor sets the maximum age of an identifier and the maximum time
	// until a deadline: the claim retention divided by maxAgeDivisor.
	maxAgeDivisor = 2
	// maxSkewDivisor sets the maximum time by which an identifier may lie in
	// the future because of the clock skew of its caller: the claim retention
	// divided by maxSkewDivisor. An identifier is thus accepted over three
	// quarters of the claim retention; the last quarter covers the clock skew
	// of entry hosts.
	maxSkewDivisor = 4
	// maxClaimRounds bounds the attempts to claim one call.
	maxClaimRounds = 3
	// claimTimeDivisor sets the time limit for claiming: the time left until
	// the deadline divided by claimTimeDivisor. The rest is left for the call
	// itself.
	claimTimeDivisor = 2
)

// runUnrepeatable claims call and sends it, or returns the outcome from the
// entry host that holds its claim. It claims again if that host reports that
// the call did not run.
func (r *Runner) runUnrepeatable(ctx context.Context, call sardineknot.ServiceCall) (sardineknot.ServiceAnswer, error) {
	err := r.checkAge(call)
	for n := 0; err == nil && n < maxClaimRounds; n++ {
		a := sardineknot.ClaimAttempt{
			Key:               call.Key,
			Holder:            r.Self.ID,
			HolderIncarnation: r.Self.Incarnation,
			Nonce:             r.nonce.Add(1),
		}
		var p sardineknot.ClaimResult
		p, err = r.claim(ctx, call, a)
		if err != nil {
			return sardineknot.ServiceAnswer{}, newNotRunError(err)
		}
		if p.Granted {
			return r.sendClaimed(ctx, call, a)
		}
		var v sardineknot.ServiceAnswer
		v, err = r.joinHolder(ctx, call, p)
		if err == nil || !didNotRun(err) {
			return v, err
		}
		err = nil
	}
	if err != nil {
		return sardineknot.ServiceAnswer{}, err
	}
	return sardineknot.ServiceAnswer{}, errors.WithStack(&sardineknot.NotRunError{Reason: "other entry hosts released the claim", RetryAfter: retryAfter})
}

// claim claims call, after releasing any abandoned claims of this host for the
// same request. If the outcome of the claim is unknown, the claim is queued for
// release.
func (r *Runner) claim(ctx context.Context, call sardineknot.ServiceCall, attempt sardineknot.ClaimAttempt) (sardineknot.ClaimResult, error) {
	ctx, cancel := context.WithTimeout(ctx, call.Deadline.Sub(r.Clock.Now())/claimTimeDivisor)
	defer cancel()
	_, err := r.Releases.Flush(ctx, call.Key)
	if err != nil {
		return sardineknot.ClaimResult{}, err
	}
	p, err := r.Claims.Claim(ctx, attempt)
	if err != nil {
		r.releaseClaim(attempt, err)
	}
	return p, err
}

// releaseClaim queues the release of the claim of attempt. The call was not
// sent under this claim and will not be.
func (r *Runner) releaseClaim(attempt sardineknot.ClaimAttempt, cause error) {
	r.Releases.Add(attempt)
	r.Log.Warn().Stringer("event", sardineknot.LogClaimGivenUp).Str("request", attempt.Key.String()).Err(cause).Send()
}

// sendClaimed sends call under the claim of attempt. It tries another backend
// server only if no server can have run the call yet, and releases the claim if
// none ran it.
func (r *Runner) sendClaimed(ctx context.Context, call sardineknot.ServiceCall, attempt sardineknot.ClaimAttempt) (sardineknot.ServiceAnswer, error) {
	var err error
	m := make(map[sardineknot.BackendServerName]bool)
	for n := 1; n <= maxAttempts; n++ {
		var p sardineknot.ServiceAnswer
		p, err = r.send(ctx, call, m)
		if err == nil {
			return p, nil
		}
		if !didNotRun(err) {
			return p, newOutcomeUnknownError(call.Key, err.Error())
		}
		if n < maxAttempts && (clock.System{}).Sleep(ctx, r.Retries.Backoff(n)) != nil {
			break
		}
	}
	r.releaseClaim(attempt, err)
	return sardineknot.ServiceAnswer{}, newNotRunError(err)
}

// joinHolder returns the outcome of call from the entry host that holds its
// claim.
func (r *Runner) joinHolder(ctx context.Context, call sardineknot.ServiceCall, claim sardineknot.ClaimResult) (sardineknot.ServiceAnswer, error) {
	if claim.Holder == r.Self.ID && claim.HolderIncarnation == r.Self.Incarnation {
		return sardineknot.ServiceAnswer{}, newOutcomeUnknownError(call.Key, "the call was sent before and its answer is no longer kept")
	}
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	a, err := r.Holders.AwaitOutcome(ctx, claim, call.Key, join.Content(call))
	var u *sardineknot.UnavailableError
	if errors.As(err, &u) {
		return a, newOutcomeUnknownError(call.Key, "the call is claimed by "+string(claim.Holder)+", which does not respond")
	}
	return a, err
}

// checkAge rejects calls that could be repeated after their claim has expired:
// those whose identifier is a version 7 UUID that is too old, and those whose
// deadline is too far in the future. Identifiers without a timestamp cannot be
// checked; callers must not reuse them after the claim retention.
func (r *Runner) checkAge(call sardineknot.ServiceCall) error {
	t := r.Clock.Now()
	if call.Deadline.Sub(t) > r.ClaimRetention/maxAgeDivisor {
		return errors.WithStack(&sardineknot.InvalidError{What: "X-Deadline", Got: call.Deadline.Format(time.RFC3339), Expected: "a time within " + (r.ClaimRetention / maxAgeDivisor).String()})
	}
	u, err := uuid.Parse(string(call.Key.ID))
	if err != nil || u.Version() != 7 {
		return nil
	}
	d := t.Sub(time.Unix(u.Time().UnixTime()))
	if d > r.ClaimRetention/maxAgeDivisor {
		return newOutcomeUnknownError(call.Key, "the request identifier is older than "+(r.ClaimRetention/maxAgeDivisor).String())
	}
	if d < -r.ClaimRetention/maxSkewDivisor {
		return errors.WithStack(&sardineknot.InvalidError{What: "X-Request-Id", Got: string(call.Key.ID), Expected: "a creation time that is not in the future"})
	}
	return nil
}
