package service

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/answer/join"
)

const (
	// ageShare is the part of the claim retention for which an identifier can
	// be used, and within which a deadline lies. Another such part covers
	// wrong clocks of callers, and the rest those of entry hosts.
	ageShare = 2
	// skewShare is the part of the claim retention by which the time in an
	// identifier may be ahead.
	skewShare = 4
	// maxRounds bounds the claims for one call.
	maxRounds = 3
	// claimShare is the part of the remaining time that claiming may take, which
	// leaves the rest for the call itself.
	claimShare = 2
)

// runOnce claims c and sends it, or returns the outcome that the holder of its
// claim has.
func (r *Runner) runOnce(ctx context.Context, c sardineknot.ServiceCall) (sardineknot.ServiceAnswer, error) {
	err := r.checkAge(c)
	for n := 0; err == nil && n < maxRounds; n++ {
		a := sardineknot.ClaimAttempt{
			Key:               c.Key,
			Holder:            r.Self.ID,
			HolderIncarnation: r.Self.Incarnation,
			Nonce:             r.nonce.Add(1),
		}
		var p sardineknot.ClaimResult
		p, err = r.claim(ctx, c, a)
		if err != nil {
			return sardineknot.ServiceAnswer{}, notRun(err)
		}
		if p.Granted {
			return r.sendClaimed(ctx, c, a)
		}
		var v sardineknot.ServiceAnswer
		v, err = r.askHolder(ctx, c, p)
		if err == nil || !didNotRun(err) {
			return v, err
		}
		err = nil
	}
	if err != nil {
		return sardineknot.ServiceAnswer{}, err
	}
	return sardineknot.ServiceAnswer{}, errors.WithStack(&sardineknot.NotRunError{Reason: "other entry hosts gave it up", RetryAfter: retryAfter})
}

// claim claims c after it released what this host gave up. A claim whose
// outcome is unknown is given up.
func (r *Runner) claim(ctx context.Context, c sardineknot.ServiceCall, a sardineknot.ClaimAttempt) (sardineknot.ClaimResult, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Deadline.Sub(r.Clock.Now())/claimShare)
	defer cancel()
	_, err := r.Releases.Flush(ctx, c.Key)
	if err != nil {
		return sardineknot.ClaimResult{}, err
	}
	p, err := r.Claims.Claim(ctx, a)
	if err != nil {
		r.giveUp(a, err)
	}
	return p, err
}

// giveUp releases the claim a, which was not and will not be dispatched.
func (r *Runner) giveUp(a sardineknot.ClaimAttempt, cause error) {
	r.Releases.Add(a)
	r.Log.Warn().Stringer("event", sardineknot.LogClaimGivenUp).Str("request", a.Key.String()).Err(cause).Send()
}

// sendClaimed sends c under the claim a. It tries another backend server only
// while none has run the call.
func (r *Runner) sendClaimed(ctx context.Context, c sardineknot.ServiceCall, a sardineknot.ClaimAttempt) (sardineknot.ServiceAnswer, error) {
	var err error
	m := make(map[sardineknot.BackendServerName]bool)
	for n := 1; n <= maxAttempts; n++ {
		var p sardineknot.ServiceAnswer
		p, err = r.send(ctx, c, m)
		if err == nil {
			return p, nil
		}
		if !didNotRun(err) {
			return p, unknown(c.Key, err.Error())
		}
		if n < maxAttempts && !sleep(ctx, r.Retries.Backoff(n)) {
			break
		}
	}
	r.giveUp(a, err)
	return sardineknot.ServiceAnswer{}, notRun(err)
}

// askHolder returns the outcome of c at the holder of its claim.
func (r *Runner) askHolder(ctx context.Context, c sardineknot.ServiceCall, p sardineknot.ClaimResult) (sardineknot.ServiceAnswer, error) {
	if p.Holder == r.Self.ID && p.HolderIncarnation == r.Self.Incarnation {
		return sardineknot.ServiceAnswer{}, unknown(c.Key, "it was sent before and its answer is no longer kept")
	}
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	a, err := r.Holders.Join(ctx, p, c.Key, join.Content(c))
	var u *sardineknot.UnavailableError
	if errors.As(err, &u) {
		return a, unknown(c.Key, "it is claimed by "+string(p.Holder)+", which does not answer")
	}
	return a, err
}

// checkAge refuses calls that could be asked for again after their claim has
// expired: those whose identifier tells that it is old, as a UUID of version 7
// does, and those with a far deadline. Identifiers without a time must not be
// used again after the claim retention, which callers are told.
func (r *Runner) checkAge(c sardineknot.ServiceCall) error {
	t := r.Clock.Now()
	if c.Deadline.Sub(t) > r.ClaimRetention/ageShare {
		return errors.WithStack(&sardineknot.InvalidError{What: "X-Deadline", Got: c.Deadline.Format(time.RFC3339), Expected: "a time within " + (r.ClaimRetention / ageShare).String()})
	}
	u, err := uuid.Parse(string(c.Key.ID))
	if err != nil || u.Version() != 7 {
		return nil
	}
	d := t.Sub(time.Unix(u.Time().UnixTime()))
	if d > r.ClaimRetention/ageShare {
		return unknown(c.Key, "its identifier is older than "+(r.ClaimRetention/ageShare).String())
	}
	if d < -r.ClaimRetention/skewShare {
		return errors.WithStack(&sardineknot.InvalidError{What: "X-Request-Id", Got: string(c.Key.ID), Expected: "a time of creation that is not ahead"})
	}
	return nil
}
