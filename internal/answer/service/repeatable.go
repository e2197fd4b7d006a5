package service

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

// runRepeatable sends c until a backend server answers, maxAttempts is reached,
// the deadline passes or the retry budget is exhausted. The deadline of c is
// the deadline of ctx.
func (r *Runner) runRepeatable(ctx context.Context, c sardineknot.ServiceCall) (sardineknot.ServiceAnswer, error) {
	r.Retries.RecordCall()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := newAttempts(r, c)
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

// sleep waits for d. It returns false if ctx is done first.
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
