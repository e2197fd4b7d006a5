package world

import (
	"time"

	"sardineknot.example/sardineknot"
)

// execute carries out a decision.
func (w *World) execute(d sardineknot.Decision) {
	t := w.tries[d.Key]
	if t == nil || t.ended || t.orphan {
		return
	}
	switch d.Action {
	case sardineknot.ActionPrefill:
		w.startPrefill(t, d.Server)
	case sardineknot.ActionDecode:
		t.next = w.findDecode(d.Server)
		if !t.prefilled.IsZero() {
			w.startDecode(t)
		}
	case sardineknot.ActionRefuse:
		w.result.Refusals++
		w.discard(t, w.refusalCause(t))
		if t.prior > 0 {
			t.ask.ended = true
			return
		}
		w.comeBack(t, d.RetryAfter)
	}
}

// refusalCause returns why the prefill of t, which is refused, was wasted.
func (w *World) refusalCause(t *try) *time.Duration {
	if !t.prefilled.IsZero() && w.Now().Sub(t.prefilled) >= w.workload.Life/2 {
		return &w.result.Waste.Evicted
	}
	return &w.result.Waste.Deadline
}

// report tells the scheduler about t, unless its entry host is dead.
func (w *World) report(t *try, k sardineknot.JobEventKind, s sardineknot.BackendServerName, tokens int) {
	if t.orphan {
		return
	}
	e := sardineknot.JobEvent{Key: t.key, Kind: k, Server: s, Tokens: tokens}
	w.After(w.eventDelay(), func() { w.decided(w.scheduler.Report(w.Now(), e)) })
}

// discard ends t and frees what engines hold. Prefill work that was not used
// is added to cause.
func (w *World) discard(t *try, cause *time.Duration) {
	if t.ended {
		return
	}
	t.ended = true
	delete(w.tries, t.key)
	if t.prefill != nil {
		t.prefill.remove(t)
	}
	if t.decode != nil {
		t.decode.remove(t)
	}
	if !t.used {
		*cause += t.work
	}
}

// fail ends t because of server s and lets the router try again.
func (w *World) fail(t *try, s sardineknot.BackendServerName, cause *time.Duration) {
	if t.ended {
		return
	}
	n := t.tokens()
	w.discard(t, cause)
	w.report(t, sardineknot.JobFailed, s, n)
	if t.orphan || t.ask.ended {
		return
	}
	if t.attempt+1 >= maxAttempts {
		w.comeBack(t, reconnect)
		return
	}
	a := &try{ask: t.ask, returns: t.returns, attempt: t.attempt + 1, host: t.host, began: t.began, prior: n, first: t.first}
	w.After(w.hop(), func() {
		if !a.ask.ended {
			w.offer(a)
		}
	})
	w.watch(a)
}

// watch makes the caller of t lose its patience as before.
func (w *World) watch(t *try) {
	p := time.Duration(w.workload.Patience * float64(w.workload.Kinds[t.ask.kind].FirstToken))
	w.At(t.began.Add(p), func() { w.losePatience(t) })
}

// losePatience disconnects the caller of t if it has no token.
func (w *World) losePatience(t *try) {
	if t.ended || t.orphan || t.ask.ended || !t.first.IsZero() {
		return
	}
	s := t.server()
	w.discard(t, &w.result.Waste.Deadline)
	w.report(t, sardineknot.JobCancelled, s, 0)
	w.comeBack(t, 0)
}

// cancelAsk disconnects the caller of a for good.
func (w *World) cancelAsk(a *ask) {
	if a.ended {
		return
	}
	a.ended = true
	for _, t := range w.triesOf(a) {
		n, s := t.tokens(), t.server()
		w.discard(t, &w.result.Waste.Cancelled)
		w.report(t, sardineknot.JobCancelled, s, n)
	}
}

// triesOf returns the tries of a that go on. There is at most one.
func (w *World) triesOf(a *ask) []*try {
	var l []*try
	for _, t := range w.tries {
		if t.ask == a && !t.orphan {
			l = append(l, t)
		}
	}
	return l
}

// server returns the name of the engine that t is on, or nothing.
func (t *try) server() sardineknot.BackendServerName {
	switch {
	case t.decode != nil:
		return t.decode.server.Name
	case t.prefill != nil:
		return t.prefill.server.Name
	default:
		return ""
	}
}

// tokens returns the number of tokens that the caller has.
func (t *try) tokens() int {
	if !t.imported {
		return t.prior
	}
	t.decode.advance()
	return t.prior + min(t.left(), int(t.decode.position-t.position))
}
