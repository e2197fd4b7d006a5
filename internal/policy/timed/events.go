package timed

import (
	"time"

	"sardineknot.example/sardineknot"
)

// handlePrefillDone makes j ready and starts its decode if a slot is reserved.
// It gives the slot up if the KV cache can no longer reach it in time, and then
// puts j before all other pending jobs.
func (s *Scheduler) handlePrefillDone(now time.Time, j *job) {
	if j.state != prefilling {
		return
	}
	s.observePrefill(now, j)
	j.prefill.breaker.Succeed()
	s.endPrefill(now, j)
	j.state = ready
	j.resultExpiry = now.Add(s.ResultLifetime - transferMargin)
	if j.decode != nil && !s.canTransfer(now, j) {
		s.releaseSlot(j)
		s.pending = append([]*job{j}, s.pending...)
	}
	if j.decode != nil {
		s.startDecode(now, j)
	}
}

// handleDecodeStarted makes j decoding. The time since the import began is an
// observation of the link and of the delay of events.
func (s *Scheduler) handleDecodeStarted(now time.Time, j *job) {
	if j.state != importing {
		return
	}
	t := max(0, now.Sub(j.stateStart)-seconds(s.tokenInterval))
	s.recordTransferDelay(now, t-s.links.MinTime(j.prefillZone, j.decode.server.Zone, j.cacheBytes))
	t = max(0, t-s.eventDelay)
	s.links.End(now, j.Key, j.prefillZone, j.decode.server.Zone, t, j.predictedTransfer)
	j.decode.breaker.Succeed()
	j.state = decoding
	j.stateStart = now
}

// handleFinished removes j and learns from the length of its answer.
func (s *Scheduler) handleFinished(now time.Time, j *job, tokens int) {
	s.freed++
	s.observeAnswer(now, j, tokens)
	s.remove(now, j)
}

// handleFailed removes j and records a failure of server. If a transfer took
// far longer than predicted, the failure is recorded for the link instead of
// the server.
func (s *Scheduler) handleFailed(now time.Time, j *job, server sardineknot.BackendServerName) {
	l := j.state == importing && now.Sub(j.stateStart) > 2*j.predictedTransfer+transferMargin+s.eventDelay
	if l {
		s.links.RecordFailure(now, j.prefillZone, j.decode.server.Zone, now.Sub(j.stateStart), j.predictedTransfer)
	}
	e := s.engines[server]
	if e != nil && !l {
		e.breaker.Fail(now)
		s.freeingRateAt = time.Time{}
	}
	s.remove(now, j)
}

// remove ends j in any state and releases its resources.
func (s *Scheduler) remove(now time.Time, j *job) {
	if j.state == queued {
		s.dequeue(j)
		delete(s.jobs, j.Key)
		return
	}
	for i, p := range s.pending {
		if p == j {
			s.pending = append(s.pending[:i], s.pending[i+1:]...)
			break
		}
	}
	s.releaseResources(now, j)
}

// releaseResources deletes j, which must be neither queued nor pending. It
// releases the engines and the transfer of j and removes j from the running
// jobs of its account.
func (s *Scheduler) releaseResources(now time.Time, j *job) {
	if j.state == importing {
		s.links.Abort(now, j.Key, j.prefillZone, j.decode.server.Zone)
	}
	s.endPrefill(now, j)
	s.releaseSlot(j)
	s.queue.AddRunning(j.Key.Account, -1)
	delete(s.jobs, j.Key)
}

// endPrefill takes j off its prefill engine, if it occupies one.
func (s *Scheduler) endPrefill(now time.Time, j *job) {
	e := j.prefill
	if e == nil {
		return
	}
	j.prefill = nil
	e.remove(j, prefillSide)
	e.updateBusyUntil(now.Add(-s.eventDelay))
}

// canTransfer reports whether j's KV cache can still reach the engine reserved
// for it before the result expires.
func (s *Scheduler) canTransfer(now time.Time, j *job) bool {
	t, ok := s.links.Predict(now, j.prefillZone, j.decode.server.Zone, j.cacheBytes)
	return ok && t <= s.transferWindow(now, j) && j.decode.usable(now)
}
