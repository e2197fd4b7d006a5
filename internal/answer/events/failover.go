package events

import (
	"sardineknot.example/sardineknot"
)

// reservation is a grant for the next attempt that was acquired while the
// current stream was still open.
type reservation struct {
	job   sardineknot.Job
	grant sardineknot.Grant
}

// mayFailOver reports whether the route allows the stream to continue on
// another engine.
func (a *attempt) mayFailOver() bool {
	return a.call.Route.Resumable && a.executions < a.call.Route.Attempts
}

// failOver is called when the engine has sent no event for silenceTimeout.
// relayed is the number of events relayed before that. failOver reserves
// another engine for the rest of the answer and then cancels the stream. If no
// engine is granted, the stream stays open, because a late answer is better
// than none.
func (a *attempt) failOver(relayed int) {
	if !a.Budget.AllowRetry(a.call.Service) {
		return
	}
	s := &reservation{job: a.nextJob(relayed, a.attempts, true)}
	g, err := a.Slots.Acquire(a.ctx, s.job)
	if err != nil {
		a.Log.Info().Stringer("event", sardineknot.LogSilentStreamStays).Str("request", string(a.call.ID)).Str("server", string(a.decode.Name)).Err(err).Send()
		return
	}
	s.grant = g
	if !a.storeReservation(s, relayed) {
		a.Slots.Report(s.job, sardineknot.JobEvent{Key: s.job.Key, Kind: sardineknot.JobCancelled})
		return
	}
	a.stop(errSilent)
}

// storeReservation stores s for the next attempt and reports whether it did. It
// does not store s if the attempt has ended, or if more than relayed events
// have been relayed meanwhile.
func (a *attempt) storeReservation(s *reservation, relayed int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended || a.relayedEventsAtomic.Load() != int64(relayed) {
		return false
	}
	a.reservation = s
	return true
}

// cancelReservation releases the reserved engine, if any, once the call has
// ended without using it.
func (s *session) cancelReservation() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reservation == nil {
		return
	}
	s.Slots.Report(s.reservation.job, sardineknot.JobEvent{Key: s.reservation.job.Key, Kind: sardineknot.JobCancelled})
	s.reservation = nil
}

// markEnded marks the attempt as ended. A reservation that is granted later is
// cancelled.
func (a *attempt) markEnded() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ended = true
}
