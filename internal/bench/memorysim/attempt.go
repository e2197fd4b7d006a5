package memorysim

import (
	"time"

	"sardineknot.example/sardineknot"
)

const (
	// resumeTarget is the time within which an interrupted stream should
	// continue.
	resumeTarget = 2500 * time.Millisecond
	// maxAttempts limits retries. After a failed attempt, another one is made
	// only if the request had fewer than maxAttempts attempts.
	maxAttempts = 5
	// connectionErrorDelay is the time after which a connection error is
	// detected.
	connectionErrorDelay = time.Millisecond
)

// attempt is one attempt to answer a request. The scheduler handles each
// attempt as a separate job.
type attempt struct {
	request *request
	job     sardineknot.Job
	// prefill and decode are the engines that the scheduler has assigned, or
	// nil.
	prefill *prefillEngine
	decode  *decodeEngine
	// prefilledAt is the time at which the prefill ended, or zero. cacheExpired
	// reports whether the resulting KV cache was lost as soon as it was
	// complete.
	prefilledAt  time.Time
	cacheExpired bool
	// answer is the answer that the decode engine is generating or has queued,
	// or nil.
	answer *answer
	// events is the number of events that this attempt has produced.
	events int
	// reportedAt is the time of the last event reported to the scheduler.
	reportedAt time.Time
	// ended reports whether the attempt has ended.
	ended bool
}

// startAttempt starts the next attempt to answer r.
func (s *Simulation) startAttempt(r *request) {
	a := &attempt{request: r, job: s.job(r)}
	r.attemptCount++
	r.attempt = a
	s.attempts[a.job.Key] = a
	s.After(s.messageDelay(), func() { s.offer(a) })
}

// offer submits the attempt to the scheduler. If the scheduler is stopped, the
// attempt is submitted to the next scheduler when that starts.
func (s *Simulation) offer(a *attempt) {
	if a.ended || s.schedulerDown {
		return
	}
	s.apply(s.scheduler.Submit(s.Now(), a.job))
}

// execute executes decision, unless its attempt has ended.
func (s *Simulation) execute(decision sardineknot.Decision) {
	a := s.attempts[decision.Key]
	if a == nil || a.ended {
		return
	}
	switch decision.Action {
	case sardineknot.ActionRefuse:
		s.remove(a)
		s.handleRefusal(a.request, decision.RetryAfter)
	case sardineknot.ActionDecode:
		a.decode = s.findDecode(decision.Server)
		if !a.prefilledAt.IsZero() {
			s.transferCache(a)
		}
	case sardineknot.ActionPrefill:
		a.prefill = s.findPrefill(decision.Server)
		if a.prefill == nil {
			a.decode = s.findDecode(decision.Server)
			s.startDecode(a, true)
			return
		}
		a.prefill.enqueue(a)
	}
}

// finishPrefill reports the end of the prefill of the attempt. If a decode
// engine is assigned, the transfer of the KV cache begins.
func (s *Simulation) finishPrefill(a *attempt) {
	a.prefilledAt = s.Now()
	s.report(a, sardineknot.JobPrefillDone, a.prefill.server.Name)
	if a.decode != nil {
		s.transferCache(a)
	}
}

// transferCache transfers the KV cache of the attempt to its decode engine,
// which then starts decoding. The cache is lost if the transfer has to wait too
// long or the cache expires before the transfer ends.
func (s *Simulation) transferCache(a *attempt) {
	d, ok := s.reserveTransfer(a)
	s.After(s.messageDelay()+d, func() {
		switch {
		case a.ended:
		case !ok || a.cacheExpired || s.Now().Sub(a.prefilledAt) > s.pattern.CacheLifetime:
			s.handleCacheLoss(a)
		default:
			s.startDecode(a, false)
		}
	})
}

// handleCacheLoss reports that the KV cache of the attempt was lost. If the
// prompt is at most MaxLocalPrefillTokens long, the decode engine prefills it
// itself; otherwise the attempt fails.
func (s *Simulation) handleCacheLoss(a *attempt) {
	s.wastedTokens += a.job.PromptTokens
	s.report(a, sardineknot.JobCacheLost, a.prefill.server.Name)
	if a.job.PromptTokens > sardineknot.MaxLocalPrefillTokens {
		s.fail(a, a.prefill.server, false)
		return
	}
	s.startDecode(a, true)
}

// startDecode sends the attempt to its decode engine. If uncached is true, the
// engine prefills the prompt itself. The attempt fails if the engine does not
// accept it.
func (s *Simulation) startDecode(a *attempt, uncached bool) {
	if !a.decode.accept(a, uncached) {
		if !uncached {
			s.wastedTokens += a.job.PromptTokens
		}
		s.fail(a, a.decode.server, a.decode.dead)
		return
	}
	s.startedAnswers++
}

// fail ends the attempt because of a failure of the engine server, and starts
// another attempt if maxAttempts and the limit of the kind of work permit one.
// unreachable reports whether server accepts no connections.
func (s *Simulation) fail(a *attempt, server sardineknot.BackendServer, unreachable bool) {
	r := a.request
	s.reportEvent(a, sardineknot.JobEvent{Kind: sardineknot.JobFailed, Server: server.Name, Unreachable: unreachable})
	s.remove(a)
	if r.outcome != outcomePending {
		return
	}
	if r.attemptCount >= maxAttempts || r.runs >= s.pattern.Kinds[r.kind].Attempts {
		r.outcome = outcomeBroken
		return
	}
	s.startAttempt(r)
}

// remove ends the attempt and removes it from its engines.
func (s *Simulation) remove(a *attempt) {
	a.ended = true
	delete(s.attempts, a.job.Key)
	if a.request.attempt == a {
		a.request.attempt = nil
	}
	if a.prefill != nil && a.prefilledAt.IsZero() {
		a.prefill.remove(a)
	}
	if a.answer != nil {
		a.decode.remove(a.answer)
	}
}

// recordEvent records an event that the attempt has produced, and reports the
// start or the progress of the answer to the scheduler when that is due.
func (s *Simulation) recordEvent(a *attempt) {
	s.deliverEvent(a.request)
	a.events++
	switch {
	case a.events == 1:
		a.request.runs++
		s.report(a, sardineknot.JobDecodeStarted, a.decode.server.Name)
	case s.Now().Sub(a.reportedAt) >= s.pattern.ProgressEvery || s.ideal:
		s.report(a, sardineknot.JobProgress, a.decode.server.Name)
	}
}

// finishAttempt ends the attempt, whose answer is complete.
func (s *Simulation) finishAttempt(a *attempt) {
	a.answer = nil
	s.report(a, sardineknot.JobFinished, a.decode.server.Name)
	s.remove(a)
	s.completeAnswer(a.request)
}
