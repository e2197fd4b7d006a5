package gateway

import (
	"time"

	"github.com/pkg/errors"

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

// Leave announces that the host closes its connections at the given time. It adds the
// header field "Connection: close" to all answers that begin from now on, also to calls
// that have already arrived: their connections are closed after the answer, and the
// callers connect to other hosts. Calls that may not end in time are refused.
func (h *Handler) Leave(closesAt time.Time) { h.closesAt.Store(&closesAt) }

// checkTime fails with a NotRunError if the host is leaving and call may not end before
// it closes its connections. A call ends at its deadline at the latest. Most end much
// sooner, and are expected to take not much longer than the longest recent one of
// their route.
func (h *Handler) checkTime(call *sardineknot.Call) error {
	e := h.closesAt.Load()
	if e == nil {
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
