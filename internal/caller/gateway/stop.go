package gateway

import (
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"sardineknot.example/sardineknot"
)

const (
	// answerMargin is the time before the host closes its connections at which a call
	// must have ended, so that the rest of its answer can be sent.
	answerMargin = 100 * time.Millisecond
	// durationFactorTenths is the factor, in tenths, by which a call may take longer than
	// the longest recent one of its route.
	durationFactorTenths = 15
)

// checkTime fails with a NotRunError if the host is stopping and call may not end before
// it closes its connections. A call ends at its deadline at the latest. Most end much
// sooner, and are expected to take not much longer than the longest recent one of
// their route.
func (h *Handler) checkTime(call *sardineknot.Call) error {
	e, ok := h.Stop.EndsAt()
	if !ok {
		return nil
	}
	n, t := h.Clock.Now(), e.Add(-answerMargin)
	if !call.Deadline.After(t) {
		return nil
	}
	d, ok := h.durations.Longest(n, call.Route.Name, call.Deadline.Sub(n))
	if ok && !n.Add(d*durationFactorTenths/10).After(t) {
		return nil
	}
	// Other hosts can run it at once.
	return errors.WithStack(&sardineknot.NotRunError{Reason: "the host stops before the call may end"})
}

// logStop returns a function that adds the time from the begin of the host's stop to now to a
// log line. It adds nothing if the host is not stopping.
func (h *Handler) logStop(now time.Time) func(*zerolog.Event) {
	return func(e *zerolog.Event) {
		if d, ok := h.Stop.Elapsed(now); ok {
			e.Dur("stopping_ms", d)
		}
	}
}
