package events

import (
	"time"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

const (
	// suspectTime is the time after the first event of a stream in which the
	// request may be the one that ends its engine.
	suspectTime = 500 * time.Millisecond
	// soundTime is the time after the first event of a stream from which on the
	// request is known not to end its engine.
	soundTime = time.Second
)

// reportCrash reports the request as one that may have ended engine n, if the
// engine broke it off with err before or soon after the first event. An exchange
// that this host has ended is no evidence against the engine.
func (a *attempt) reportCrash(err error, n sardineknot.BackendServerName) {
	if isReplaced(err) {
		a.Guard.ReportReplaced(a.decode.Process(), a.Clock.Now())
		return
	}
	if a.ctx.Err() != nil || !isBrokenOff(err) {
		return
	}
	if a.eventCount > 0 && a.Clock.Now().Sub(a.begunAt) > suspectTime {
		return
	}
	b := a.decode
	if n == a.prefill.Name {
		b = a.prefill
	}
	a.Guard.ReportCrash(b.Process(), a.call, a.sentAt)
}

// isReplaced reports whether err means that another process has answered under the name of the
// engine.
func isReplaced(err error) bool {
	var u *sardineknot.UnconfirmedInstanceError
	var i *sardineknot.InstanceError
	return errors.As(err, &u) && errors.As(u.Cause, &i)
}

// isBrokenOff reports whether err means that an engine broke off a request that it
// may have begun.
func isBrokenOff(err error) bool {
	var u *sardineknot.UnavailableError
	return errors.Is(err, errTruncated) || errors.As(err, &u) && u.ServerMayHaveEnded()
}

// reportSound reports that the engine did not end because of the request, once
// for each attempt that has relayed events.
func (a *attempt) reportSound() {
	if a.sound || a.eventCount == 0 {
		return
	}
	a.sound = true
	a.Guard.ReportSound(a.decode.Process(), a.call, a.begunAt)
}
