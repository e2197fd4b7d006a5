package slotsim

import (
	"time"

	"sardineknot.example/sardineknot"
)

// execute executes decision, unless its attempt has ended or its entry host was
// killed.
func (s *Simulation) execute(decision sardineknot.Decision) {
	a := s.attempts[decision.Key]
	if a == nil || a.ended || a.orphaned {
		return
	}
	switch decision.Action {
	case sardineknot.ActionPrefill:
		s.startPrefill(a, decision.Server)
	case sardineknot.ActionDecode:
		a.assignedDecode = s.findDecode(decision.Server)
		if !a.prefilledAt.IsZero() {
			s.startDecode(a)
		}
	case sardineknot.ActionRefuse:
		s.result.Refusals++
		s.discard(a, s.refusalWaste(a))
		if a.previousTokens > 0 {
			a.request.ended = true
			return
		}
		s.resubmitAfter(a, decision.RetryAfter)
	}
}

// refusalWaste returns the counter of wasted time to which the prefill of a
// refused attempt is added: Evicted if the KV cache has reached half of its
// lifetime, and Deadline otherwise.
func (s *Simulation) refusalWaste(a *attempt) *time.Duration {
	if !a.prefilledAt.IsZero() && s.Now().Sub(a.prefilledAt) >= s.workload.CacheLifetime/2 {
		return &s.result.Waste.Evicted
	}
	return &s.result.Waste.Deadline
}

// report reports an event of the attempt to the scheduler, unless the entry
// host of the attempt was killed.
func (s *Simulation) report(a *attempt, kind sardineknot.JobEventKind, server sardineknot.BackendServerName, tokens int) {
	if a.orphaned {
		return
	}
	e := sardineknot.JobEvent{Key: a.key, Kind: kind, Server: server, Tokens: tokens}
	s.After(s.eventDelay(), func() { s.apply(s.scheduler.Report(s.Now(), e)) })
}

// discard ends the attempt and removes it from its engines. If the KV cache was
// not used, the time of the prefill is added to waste.
func (s *Simulation) discard(a *attempt, waste *time.Duration) {
	if a.ended {
		return
	}
	a.ended = true
	delete(s.attempts, a.key)
	if a.prefill != nil {
		a.prefill.remove(a)
	}
	if a.decode != nil {
		a.decode.remove(a)
	}
	if !a.cacheUsed {
		*waste += a.prefillTime
	}
}

// fail ends the attempt because of a failure of server. If the KV cache was not
// used, the time of the prefill is added to waste. The router then makes
// another attempt. If maxAttempts is reached, the caller submits the request
// again after reconnectDelay instead.
func (s *Simulation) fail(a *attempt, server sardineknot.BackendServerName, waste *time.Duration) {
	if a.ended {
		return
	}
	n := a.tokens()
	s.discard(a, waste)
	s.report(a, sardineknot.JobFailed, server, n)
	if a.orphaned || a.request.ended {
		return
	}
	if a.retries+1 >= maxAttempts {
		s.resubmitAfter(a, reconnectDelay)
		return
	}
	b := &attempt{request: a.request, resubmissions: a.resubmissions, retries: a.retries + 1, host: a.host, startedAt: a.startedAt, previousTokens: n, firstTokenAt: a.firstTokenAt}
	s.After(s.messageDelay(), func() {
		if !b.request.ended {
			s.offer(b)
		}
	})
	s.scheduleTimeout(b)
}

// scheduleTimeout schedules the caller's timeout for an attempt that follows a
// failed one. The time is counted from the start of the first attempt of the
// submission.
func (s *Simulation) scheduleTimeout(a *attempt) {
	p := time.Duration(s.workload.TimeoutFactor * float64(s.workload.Kinds[a.request.kind].FirstToken))
	s.At(a.startedAt.Add(p), func() { s.expireAttempt(a) })
}

// expireAttempt ends the attempt because its caller has timed out, unless the
// caller has received a token. The caller submits the request again at once.
func (s *Simulation) expireAttempt(a *attempt) {
	if a.ended || a.orphaned || a.request.ended || !a.firstTokenAt.IsZero() {
		return
	}
	n := a.server()
	s.discard(a, &s.result.Waste.Deadline)
	s.report(a, sardineknot.JobCancelled, n, 0)
	s.resubmitAfter(a, 0)
}

// cancelRequest ends r, whose caller disconnects early.
func (s *Simulation) cancelRequest(r *request) {
	if r.ended {
		return
	}
	r.ended = true
	for _, a := range s.attemptsOf(r) {
		n, e := a.tokens(), a.server()
		s.discard(a, &s.result.Waste.Cancelled)
		s.report(a, sardineknot.JobCancelled, e, n)
	}
}

// attemptsOf returns the attempts of r that have not ended and whose entry host
// is alive. The result has at most one element.
func (s *Simulation) attemptsOf(r *request) []*attempt {
	var l []*attempt
	for _, a := range s.attempts {
		if a.request == r && !a.orphaned {
			l = append(l, a)
		}
	}
	return l
}

// server returns the name of the engine that holds the attempt, or an empty
// name if none does.
func (a *attempt) server() sardineknot.BackendServerName {
	switch {
	case a.decode != nil:
		return a.decode.server.Name
	case a.prefill != nil:
		return a.prefill.server.Name
	default:
		return ""
	}
}

// tokens returns the number of tokens that the caller has received from this
// attempt and earlier ones.
func (a *attempt) tokens() int {
	if !a.imported {
		return a.previousTokens
	}
	a.decode.advance()
	return a.previousTokens + min(a.remainingTokens(), int(a.decode.position-a.position))
}
