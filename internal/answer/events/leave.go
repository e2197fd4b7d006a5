package events

import (
	"sardineknot.example/sardineknot"
)

// spare is an engine that was granted before the present one is left.
type spare struct {
	job   sardineknot.Job
	grant sardineknot.Grant
}

// mayLeave reports whether the stream may go on at another engine.
func (t *try) mayLeave() bool {
	return t.call.Route.Resumable && t.runs < t.call.Route.Attempts
}

// leave breaks off a stream that has been silent since its event number passed,
// once another engine is granted for the rest. Without one it stays: a late
// answer is better than none.
func (t *try) leave(passed int) {
	if !t.Budget.Retry(t.call.Service) {
		return
	}
	s := &spare{job: t.nextJob(passed, t.tries, true)}
	g, err := t.Slots.Acquire(t.ctx, s.job)
	if err != nil {
		t.Log.Info().Stringer("event", sardineknot.LogSilentStreamStays).Str("request", string(t.call.ID)).Str("server", string(t.decode.Name)).Err(err).Send()
		return
	}
	s.grant = g
	if !t.keep(s, passed) {
		t.Slots.Report(s.job, sardineknot.JobEvent{Key: s.job.Key, Kind: sardineknot.JobCancelled})
		return
	}
	t.stop(errSilent)
}

// keep keeps s for the next try, unless the stream went on or has ended.
func (t *try) keep(s *spare, passed int) bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	if t.ended || t.progress.Load() != int64(passed) {
		return false
	}
	t.spare = s
	return true
}

// returnSpare gives back an engine that was granted ahead and is not needed: the
// stream came to its end after all, or its caller is gone.
func (s *session) returnSpare() {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.spare == nil {
		return
	}
	s.Slots.Report(s.spare.job, sardineknot.JobEvent{Key: s.spare.job.Key, Kind: sardineknot.JobCancelled})
	s.spare = nil
}

// end notes that the try has ended. Spares that come later are given back.
func (t *try) end() {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.ended = true
}
