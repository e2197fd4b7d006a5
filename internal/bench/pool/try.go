package pool

import (
	"time"

	"sardineknot.example/sardineknot"
)

const (
	// resumeTime is the time in which a stream that broke off should go on.
	resumeTime = 2500 * time.Millisecond
	// maxTries bounds the tries of one ask, without those of callers that came
	// back.
	maxTries = 5
	// brokenTime is the time after which a broken connection is noticed.
	brokenTime = time.Millisecond
)

// try is one job of an ask.
type try struct {
	ask *ask
	job sardineknot.Job
	// prefill and decode are the engines that were granted, or nil.
	prefill *prefillEngine
	decode  *decodeEngine
	// cached is the time at which the prefill ended, or zero. lapsed tells that
	// its result is lost.
	cached time.Time
	lapsed bool
	// answer is what the decode engine works on, or nil.
	answer *answer
	// events is the number of events of this try.
	events int
	// reported is the time of the last report.
	reported time.Time
	// ended tells that nothing of the try goes on.
	ended bool
}

// try makes another try of a.
func (p *Pool) try(a *ask) {
	t := &try{ask: a, job: p.job(a)}
	a.submissions++
	a.try = t
	p.tries[t.job.Key] = t
	p.After(p.hop(), func() { p.offer(t) })
}

// offer gives t to the scheduler. Without one it waits for the next.
func (p *Pool) offer(t *try) {
	if t.ended || p.down {
		return
	}
	p.decided(p.scheduler.Submit(p.Now(), t.job))
}

// execute carries out a decision.
func (p *Pool) execute(d sardineknot.Decision) {
	t := p.tries[d.Key]
	if t == nil || t.ended {
		return
	}
	switch d.Action {
	case sardineknot.ActionRefuse:
		p.drop(t)
		p.refused(t.ask, d.RetryAfter)
	case sardineknot.ActionDecode:
		t.decode = p.findDecode(d.Server)
		if !t.cached.IsZero() {
			p.send(t)
		}
	case sardineknot.ActionPrefill:
		t.prefill = p.findPrefill(d.Server)
		if t.prefill == nil {
			t.decode = p.findDecode(d.Server)
			p.run(t, true)
			return
		}
		t.prefill.read(t)
	}
}

// prefilled notes the end of the prefill of t.
func (p *Pool) prefilled(t *try) {
	t.cached = p.Now()
	p.report(t, sardineknot.JobPrefillDone, t.prefill.server.Name)
	if t.decode != nil {
		p.send(t)
	}
}

// send moves the KV cache of t to its decode engine, which begins then.
func (p *Pool) send(t *try) {
	d, ok := p.transfer(t)
	p.After(p.hop()+d, func() {
		switch {
		case t.ended:
		case !ok || t.lapsed || p.Now().Sub(t.cached) > p.pattern.Life:
			p.cacheLost(t)
		default:
			p.run(t, false)
		}
	})
}

// cacheLost goes on with t after its KV cache was lost. Its decode engine
// reads the prompt if that is short.
func (p *Pool) cacheLost(t *try) {
	p.vain += t.job.PromptTokens
	p.report(t, sardineknot.JobCacheLost, t.prefill.server.Name)
	if t.job.PromptTokens > sardineknot.MaxLocalPrefillTokens {
		p.fail(t, t.prefill.server, false)
		return
	}
	p.run(t, true)
}

// run gives t to its decode engine. unread tells that this reads the prompt.
func (p *Pool) run(t *try, unread bool) {
	if !t.decode.accept(t, unread) {
		if !unread {
			p.vain += t.job.PromptTokens
		}
		p.fail(t, t.decode.server, t.decode.dead)
		return
	}
	p.begun++
}

// fail ends t, which the engine s failed, and makes another try if there may be
// one. gone tells that s takes no connections.
func (p *Pool) fail(t *try, s sardineknot.BackendServer, gone bool) {
	a := t.ask
	p.reportEvent(t, sardineknot.JobEvent{Kind: sardineknot.JobFailed, Server: s.Name, Unreachable: gone})
	p.drop(t)
	if a.outcome != outcomeOpen {
		return
	}
	if a.submissions >= maxTries || a.runs >= p.pattern.Kinds[a.kind].Attempts {
		a.outcome = outcomeBroken
		return
	}
	p.try(a)
}

// drop takes t off its engines.
func (p *Pool) drop(t *try) {
	t.ended = true
	delete(p.tries, t.job.Key)
	if t.ask.try == t {
		t.ask.try = nil
	}
	if t.prefill != nil && t.cached.IsZero() {
		t.prefill.drop(t)
	}
	if t.answer != nil {
		t.decode.drop(t.answer)
	}
}

// event notes an event of t.
func (p *Pool) event(t *try) {
	p.deliver(t.ask)
	t.events++
	switch {
	case t.events == 1:
		t.ask.runs++
		p.report(t, sardineknot.JobDecodeStarted, t.decode.server.Name)
	case p.Now().Sub(t.reported) >= p.pattern.ProgressEvery || p.ideal:
		p.report(t, sardineknot.JobProgress, t.decode.server.Name)
	}
}

// finished notes the end of the answer of t.
func (p *Pool) finished(t *try) {
	t.answer = nil
	p.report(t, sardineknot.JobFinished, t.decode.server.Name)
	p.drop(t)
	p.delivered(t.ask)
}
