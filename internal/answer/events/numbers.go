package events

import (
	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

// readEvent returns the next complete event that the caller does not have, or the end
// of the stream. It fails with a MissingEventsError if events are missing before it.
func (a *attempt) readEvent() (*event, error) {
	for {
		e, err := readEvent(a.reader, a.Memory)
		switch {
		case err != nil:
			return nil, err
		case e.end:
			return e, a.checkEnd()
		case !a.skips(e):
			return e, a.checkContinuation(e)
		}
	}
}

// skips reports whether the caller has the event e already, because the engine repeats
// events. An event without a number is skipped before the next one with a number that
// the caller has.
func (a *attempt) skips(e *event) bool {
	switch {
	case e.id == 0:
		return !a.continued && a.repeated > 0 && a.repeated < a.resumeAfter
	case e.id > a.resumeAfter:
		return false
	default:
		a.repeated = max(a.repeated, e.id)
		return true
	}
}

// checkEnd fails if the stream ends at an event before the last one that the caller has.
func (a *attempt) checkEnd() error {
	if a.continued || a.repeated == 0 || a.repeated == a.resumeAfter {
		return nil
	}
	return errors.WithStack(&sardineknot.MissingEventsError{After: a.resumeAfter, Got: a.repeated})
}

// checkContinuation fails if e, with which the attempt goes on with a stream, is known not
// to be the event after the last one that the caller has. All engines number the events of
// a stream alike. If the numbers that were relayed are consecutive from 1, or from the one
// that the caller resumed after, a gap between two engines is therefore a missing event.
// Numbers that increase by more than one show nothing, and after a take-up by the caller,
// the first event of this answer does not either.
func (a *attempt) checkContinuation(e *event) error {
	if a.continued || !e.data && e.id == 0 {
		return nil
	}
	a.continued = true
	a.mu.Lock()
	defer a.mu.Unlock()
	n := a.resumeAfter
	g := a.numbered && !a.stepped && e.id != n+1
	if n == 0 || !g && !e.unnumbered() {
		return nil
	}
	return errors.WithStack(&sardineknot.MissingEventsError{After: n, Got: e.id})
}

// recordNumber records the number of the event e, which is relayed. The caller must
// hold mu.
func (a *attempt) recordNumber(e *event) {
	if e.id == 0 {
		a.unnumbered = a.unnumbered || e.data
		return
	}
	a.stepped = a.stepped || e.id != a.lastEventID+1
	a.numbered, a.unnumbered = true, false
	a.lastEventID, a.resumeAfter = e.id, e.id
}
