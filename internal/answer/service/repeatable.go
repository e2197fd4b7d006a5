package service

import (
	"context"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

// runRepeatable sends call until a backend server answers, maxAttempts is
// reached, the deadline passes or the retry budget is exhausted. The deadline of
// call is the deadline of ctx.
func (r *Runner) runRepeatable(ctx context.Context, call sardineknot.ServiceCall) (sardineknot.ServiceAnswer, error) {
	r.Retries.RecordCall()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := newAttempts(r, call)
	defer s.silence.Stop()
	s.start(ctx, 0)
	u := true
	for {
		select {
		case <-s.silence.C:
			s.retry(ctx)
		case e := <-s.ends:
			s.running--
			if e.err == nil || errors.Is(ctx.Err(), context.Canceled) {
				s.overtake(e.number)
				return e.answer, e.err
			}
			u = u && didNotRun(e.err)
			s.retry(ctx)
			if s.running == 0 {
				return e.answer, finalError(e.err, u)
			}
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
