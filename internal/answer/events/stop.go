package events

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/caller/stopping"
)

const (
	// lateFactor is how much slower than lately a decode engine may become before a stream that was
	// admitted during the stop of its host is cut. Such a stream can run elsewhere at once.
	lateFactor = 2
	// maxLateWait is the longest time for which a stream that was admitted during the stop of its
	// host waits for engines. It is longer than a shard takes to move to another owner.
	maxLateWait = 500 * time.Millisecond
	// durationStep is the precision of durations in the reason of a refusal.
	durationStep = 10 * time.Millisecond
)

// checkStop fails with a NotRunError if the host is stopping and the stream may not end on the named
// engine before it closes its connections. An empty name means the fastest one.
func (a *attempt) checkStop(engine sardineknot.BackendServerName) error {
	e, ok := a.Stop.EndsAt()
	if !ok || a.mustGoOn() || a.deadlineBefore(e) {
		return nil
	}
	n := a.Clock.Now()
	d, ok := a.timeNeeded(engine)
	if ok && !n.Add(d+stopping.AnswerMargin).After(e) {
		return nil
	}
	return a.newStopError(e)
}

// newStopError returns the error of a stream that may not end before the host closes its connections
// at the time endsAt.
func (a *attempt) newStopError(endsAt time.Time) error {
	s := fmt.Sprintf("the host stops in %v, and the stream may take ", endsAt.Sub(a.Clock.Now()).Round(durationStep))
	d, ok := a.timeNeeded(a.decode.Name)
	if ok {
		s += d.Round(durationStep).String()
	} else {
		s += "longer"
	}
	return errors.WithStack(&sardineknot.NotRunError{Reason: s})
}

// mustGoOn reports whether the attempt goes on with an answer that an engine may have begun for the
// caller. No other host can take it over from this one.
func (a *attempt) mustGoOn() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.headerSent || a.executions > 0 || a.replacing != nil
}

// deadlineBefore reports whether the deadline of the call comes before the host closes its
// connections at the time endsAt.
func (a *attempt) deadlineBefore(endsAt time.Time) bool {
	return !a.call.Deadline.After(endsAt.Add(-stopping.AnswerMargin))
}

// timeNeeded returns the time that the stream needs from now on, by its own length and the pace that
// the named engine has shown lately. It returns false if one of them is not known. A stream that
// may be resumed and was admitted before the stop only needs the time to begin: its caller resumes
// it elsewhere, and a refusal would cost it its place in the queue.
func (a *attempt) timeNeeded(engine sardineknot.BackendServerName) (time.Duration, bool) {
	n := a.remainingEvents()
	b := a.call.Route.Resumable && !a.late
	if b {
		n = 0
	}
	p, d, ok := a.Paces.Bound(a.Clock.Now(), a.job.Pool, engine, n)
	if !b && (n == 0 || !ok) {
		return 0, false
	}
	if a.prefilled {
		p = 0
	}
	if a.late {
		d *= lateFactor
	}
	return p + d, true
}

// remainingEvents returns the greatest number of events that the stream may still have, or zero if
// its caller states no maximum length.
func (a *attempt) remainingEvents() int {
	if a.call.Generation.MaxTokens <= 0 {
		return 0
	}
	t := a.eventTokens()
	return (a.job.MaxTokens + t - 1) / t
}

// awaitGrant waits for a grant. Once the host is stopping, it waits until the stream may not end
// any more before the host closes its connections, and fails with a NotRunError then.
func (a *attempt) awaitGrant() (sardineknot.Grant, error) {
	ctx, cancel := a.limitByStop(a.ctx)
	defer cancel()
	g, err := a.Slots.Acquire(ctx, a.job)
	if e := a.stopError(ctx); err != nil && e != nil {
		return g, e
	}
	return g, err
}

// limitByStop returns a copy of ctx that ends, once the host is stopping, when the stream may not end
// any more before the host closes its connections. The copy must be cancelled.
func (a *attempt) limitByStop(ctx context.Context) (context.Context, context.CancelFunc) {
	if a.mustGoOn() {
		return context.WithCancel(ctx)
	}
	return a.Stop.Limit(ctx, a.Clock.Now(), a.latestStep)
}

// stopError returns a NotRunError if ctx, which limitByStop returned, has ended because of the stop,
// and nil otherwise.
func (a *attempt) stopError(ctx context.Context) error {
	var s *sardineknot.StoppingError
	if a.ctx.Err() != nil || !errors.As(context.Cause(ctx), &s) {
		return nil
	}
	return a.newStopError(s.EndsAt)
}

// latestStep returns the time until which the attempt may wait for engines or its prefill if the host
// closes its connections at the time endsAt.
func (a *attempt) latestStep(endsAt time.Time) time.Time {
	if a.deadlineBefore(endsAt) {
		return a.call.Deadline
	}
	n := a.Clock.Now()
	d, ok := a.timeNeeded(a.decode.Name)
	if !ok {
		return n
	}
	t := endsAt.Add(-stopping.AnswerMargin - d)
	if l := n.Add(maxLateWait); a.late && a.decode.Name == "" && l.Before(t) {
		return l
	}
	return t
}
