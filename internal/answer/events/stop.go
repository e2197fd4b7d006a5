package events

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

const (
	// stopMargin is the time before the host closes its connections at which a stream must have
	// ended, so that the rest of its answer can be sent.
	stopMargin = 100 * time.Millisecond
	// lateFactor is how much slower than lately the engines may become before a stream that was
	// admitted during the stop of its host is cut. Such a stream can run elsewhere at once.
	lateFactor = 2
	// maxLateWait is the longest time for which a stream that was admitted during the stop of its
	// host waits for engines. It is longer than a shard takes to move to another owner.
	maxLateWait = 500 * time.Millisecond
	// durationStep is the precision of durations in the reason of a refusal.
	durationStep = 10 * time.Millisecond
)

// checkStop fails with a NotRunError if the host is stopping and the stream may not end on engine
// before it closes its connections. An empty engine means the fastest one. A stream that has
// begun goes on: no other host can take it over from this one.
func (a *attempt) checkStop(engine sardineknot.BackendServerName) error {
	e, ok := a.Stop.EndsAt()
	if !ok || a.mustGoOn() || !a.call.Deadline.After(e.Add(-stopMargin)) {
		return nil
	}
	l := e.Add(-stopMargin).Sub(a.Clock.Now())
	d, ok := a.timeNeeded(engine)
	if ok && d <= l {
		return nil
	}
	return newStopError(l, d)
}

// newStopError returns the error of a stream that may take the time needed, of which left is left.
// Zero means that it is not known.
func newStopError(left, needed time.Duration) error {
	s := fmt.Sprintf("the host stops in %v, and the stream may take ", left.Round(durationStep))
	if needed == 0 {
		s += "longer"
	} else {
		s += needed.Round(durationStep).String()
	}
	return errors.WithStack(&sardineknot.NotRunError{Reason: s})
}

// mustGoOn reports whether the attempt goes on with an answer of which the caller may have a part
// from this host already.
func (a *attempt) mustGoOn() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.headerSent || a.executions > 0 || a.replacing != nil
}

// timeNeeded returns the time that the stream needs from now on, by its own length and the pace that
// engine has shown lately. It returns false if one of them is not known.
func (a *attempt) timeNeeded(engine sardineknot.BackendServerName) (time.Duration, bool) {
	n, ok := a.remainingEvents()
	if !ok {
		return 0, false
	}
	f, d, ok := a.Paces.Bound(a.Clock.Now(), a.job.Pool, engine, n)
	if !ok && n > 0 {
		return 0, false
	}
	if !a.grantedAt.IsZero() {
		f = max(0, f-a.Clock.Now().Sub(a.grantedAt))
	}
	if a.late {
		d *= lateFactor
	}
	return f + d, true
}

// remainingEvents returns the greatest number of events that must end before the host closes its
// connections, or false if that is not known. It is zero for a stream that may be resumed and was
// admitted before the stop: its caller resumes it elsewhere if it has not ended by then, and a
// refusal would cost it its place in the queue.
func (a *attempt) remainingEvents() (int, bool) {
	if a.call.Route.Resumable && !a.late {
		return 0, true
	}
	if a.call.Generation.MaxTokens <= 0 {
		return 0, false
	}
	t := a.eventTokens()
	return (a.job.MaxTokens + t - 1) / t, true
}

// awaitGrant waits for a grant. Once the host is stopping, it waits until the stream may not end
// any more before the host closes its connections, and fails with a NotRunError then.
func (a *attempt) awaitGrant() (sardineknot.Grant, error) {
	if a.mustGoOn() {
		return a.Slots.Acquire(a.ctx, a.job)
	}
	ctx, cancel := a.Stop.Limit(a.ctx, a.Clock.Now(), a.latestGrant)
	defer cancel()
	g, err := a.Slots.Acquire(ctx, a.job)
	var s *sardineknot.StoppingError
	if err == nil || !errors.As(context.Cause(ctx), &s) {
		return g, err
	}
	d, _ := a.timeNeeded("")
	return g, newStopError(s.EndsAt.Sub(a.Clock.Now()), d)
}

// latestGrant returns the time until which the attempt may wait for engines if the host closes its
// connections at the time endsAt.
func (a *attempt) latestGrant(endsAt time.Time) time.Time {
	n := a.Clock.Now()
	d, ok := a.timeNeeded("")
	if !ok {
		return n
	}
	t := endsAt.Add(-stopMargin - d)
	if l := n.Add(maxLateWait); a.late && l.Before(t) {
		return l
	}
	return t
}

// recordStart records the time that the engines took for the first event, which has just been
// relayed.
func (a *attempt) recordStart() {
	a.Paces.RecordStart(a.lastEventAt, a.job.Pool, a.lastEventAt.Sub(a.grantedAt))
	a.pacedCount, a.pacedAt = a.eventCount, a.lastEventAt
}

// recordPace records the time that the decode engine took for each event since it was last
// recorded.
func (a *attempt) recordPace() {
	n := a.eventCount - a.pacedCount
	if n <= 0 {
		return
	}
	a.Paces.RecordPace(a.lastEventAt, a.job.Pool, a.decode.Name, a.lastEventAt.Sub(a.pacedAt)/time.Duration(n))
	a.pacedCount, a.pacedAt = a.eventCount, a.lastEventAt
}
