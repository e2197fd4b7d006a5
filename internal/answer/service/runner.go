// Package service produces the answer to a plain service call.
//
// A call that may be repeated goes to another backend server after a failure.
// An unrepeatable call is claimed before it is sent, and is sent at most once
// unless the backend server says that it did not run it.
package service

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"sardineknot.example/sardineknot"
)

// maxAttempts bounds the attempts of one call.
const maxAttempts = 3

// Runner produces answers. It is safe for concurrent use. All exported fields
// are set before use.
type Runner struct {
	// Self returns this entry host. Its incarnation may grow.
	Self func() sardineknot.EntryHost
	// Service calls plain services.
	Service sardineknot.PlainService
	// Claims records unrepeatable requests.
	Claims sardineknot.ClaimLedger
	// Configuration gives the backend servers.
	Configuration sardineknot.ConfigurationSource
	// Log takes one event for each failed attempt.
	Log zerolog.Logger

	// turn counts the attempts, to take backend servers in turn.
	turn atomic.Uint64
	// nonce numbers the claims of this incarnation.
	nonce atomic.Uint64
}

// Run returns the answer to c. It fails with a NotRunError if the call did not
// run, with a FailedError if it may have run and may be repeated, and with an
// OutcomeUnknownError if it may have run and must not be repeated.
func (r *Runner) Run(ctx context.Context, c sardineknot.ServiceCall) (sardineknot.ServiceAnswer, error) {
	if c.Work.Unrepeatable {
		return r.runOnce(ctx, c)
	}
	return r.runRepeatable(ctx, c)
}

func (r *Runner) runRepeatable(ctx context.Context, c sardineknot.ServiceCall) (sardineknot.ServiceAnswer, error) {
	var err error
	u := true
	for range maxAttempts {
		var a sardineknot.ServiceAnswer
		a, err = r.send(ctx, c)
		if err == nil || ctx.Err() != nil {
			return a, err
		}
		u = u && didNotRun(err)
	}
	if u {
		return sardineknot.ServiceAnswer{}, notRun(err)
	}
	return sardineknot.ServiceAnswer{}, errors.WithStack(&sardineknot.FailedError{Reason: err.Error(), RetryAfter: time.Second})
}

func (r *Runner) runOnce(ctx context.Context, c sardineknot.ServiceCall) (sardineknot.ServiceAnswer, error) {
	e := r.Self()
	a := sardineknot.ClaimAttempt{
		Key:               c.Key,
		Holder:            e.ID,
		HolderIncarnation: e.Incarnation,
		Nonce:             r.nonce.Add(1),
	}
	p, err := r.Claims.Claim(ctx, a)
	if err != nil {
		return sardineknot.ServiceAnswer{}, notRun(err)
	}
	if !p.Granted {
		return sardineknot.ServiceAnswer{}, errors.WithStack(&sardineknot.OutcomeUnknownError{Key: c.Key, Reason: "claimed by " + string(p.Holder)})
	}
	return r.sendClaimed(ctx, c, a)
}

// sendClaimed sends c under the claim a. It tries another backend server only
// while none has run the call.
func (r *Runner) sendClaimed(ctx context.Context, c sardineknot.ServiceCall, a sardineknot.ClaimAttempt) (sardineknot.ServiceAnswer, error) {
	var err error
	for range maxAttempts {
		var p sardineknot.ServiceAnswer
		p, err = r.send(ctx, c)
		if err == nil {
			return p, nil
		}
		if !didNotRun(err) {
			return p, errors.WithStack(&sardineknot.OutcomeUnknownError{Key: c.Key, Reason: err.Error()})
		}
	}
	go r.release(a)
	return sardineknot.ServiceAnswer{}, notRun(err)
}

func (r *Runner) release(a sardineknot.ClaimAttempt) {
	err := r.Claims.Release(context.Background(), a)
	if err != nil {
		r.Log.Warn().Str("event", "claim_release_failed").Str("request", a.Key.String()).Err(err).Send()
	}
}

// send calls the backend server whose turn it is.
func (r *Runner) send(ctx context.Context, c sardineknot.ServiceCall) (sardineknot.ServiceAnswer, error) {
	l := r.Configuration.Current().Pool(sardineknot.PoolName("service/" + c.Work.Service))
	if len(l) == 0 {
		return sardineknot.ServiceAnswer{}, errors.WithStack(&sardineknot.NotRunError{Reason: "no backend server offers " + c.Work.Service, RetryAfter: time.Second})
	}
	s := l[r.turn.Add(1)%uint64(len(l))]
	a, err := r.Service.Call(ctx, s, c)
	if err != nil {
		r.Log.Warn().Str("event", "call_failed").Str("request", c.Key.String()).Str("server", string(s.Name)).Err(err).Send()
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
	return errors.WithStack(&sardineknot.NotRunError{Reason: err.Error(), RetryAfter: time.Second})
}
