package events

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

// attempt is one attempt of a call: its job, the engines granted to it and the
// KV cache that it holds.
type attempt struct {
	*session
	job     sardineknot.Job
	prefill sardineknot.BackendServer
	decode  sardineknot.BackendServer
	cache   promptCache
	// ctx is the context of the call.
	ctx context.Context
	// ended is set when runAttempt returns. It is guarded by the mutex of the
	// session.
	ended bool
	// stop cancels the exchange with the decode engine and records its argument
	// as the reason for the cancellation.
	stop context.CancelCauseFunc
	// eventCount is the number of events relayed by this attempt.
	eventCount int
}

// runAttempt makes one attempt. It fails with a NotRunError if no engine is
// granted.
func (s *session) runAttempt(ctx context.Context) error {
	a := &attempt{session: s, ctx: ctx, job: s.nextJob(s.relayedEvents, s.attempts, s.headerSent)}
	a.job.CachedOn = s.cachedOn
	defer a.markEnded()
	s.attempts++
	err := a.acquireEngines(ctx)
	if err != nil {
		return err
	}
	err = a.runPrefill(ctx)
	if err != nil {
		return err
	}
	p, err := a.startDecode(ctx)
	if err != nil {
		return err
	}
	return a.relayStream(ctx, p)
}

// acquireEngines waits for a grant and looks up its prefill and decode engines.
func (a *attempt) acquireEngines(ctx context.Context) error {
	n := a.Clock.Now()
	g, err := a.acquireGrant(ctx)
	if err != nil {
		return err
	}
	a.Log.Info().Stringer("event", sardineknot.LogEnginesGranted).Str("request", string(a.call.ID)).Str("prefill", string(g.PrefillEngine)).
		Str("decode", string(g.DecodeEngine)).Dur("waited_ms", a.Clock.Now().Sub(n)).Int("prompt", a.job.PromptTokens).
		Int("expected", a.job.ExpectedTokens).Int("longest", a.job.MaxTokens).Send()
	a.prefill, err = a.findServer(g.PrefillEngine)
	if err == nil {
		a.decode, err = a.findServer(g.DecodeEngine)
	}
	if err != nil {
		a.report(sardineknot.JobCancelled, "")
	}
	return err
}

// acquireGrant returns the reserved grant, or waits for a new one.
func (a *attempt) acquireGrant(ctx context.Context) (sardineknot.Grant, error) {
	a.mu.Lock()
	s := a.reservation
	a.reservation = nil
	a.mu.Unlock()
	if s == nil {
		return a.Slots.Acquire(ctx, a.job)
	}
	a.job = s.job
	return s.grant, nil
}

// runPrefill has the prefill engine compute the KV cache of the prompt, unless
// it is also the decode engine or the KV cache of an earlier attempt can be
// reused.
func (a *attempt) runPrefill(ctx context.Context) error {
	if a.reuseCache() {
		a.report(sardineknot.JobPrefillDone, a.prefill.Name)
		return nil
	}
	if a.prefill.Name == a.decode.Name {
		return nil
	}
	if a.attempts > 1 && !a.Budget.AllowRetry(a.call.Service) {
		a.report(sardineknot.JobCancelled, "")
		return errors.WithStack(&sardineknot.NotRunError{Reason: "retry budget is exhausted", RetryAfter: failureRetryAfter})
	}
	ctx, cancel := context.WithTimeout(ctx, prefillTimeout)
	defer cancel()
	k, err := a.Forwarder.Prefill(ctx, a.prefill, a.call, a.call.Deadline)
	if err != nil {
		a.recordPrefillFailure(err)
		a.reportFailure(ctx, err, a.prefill.Name)
		return err
	}
	a.cache = promptCache{KVCacheReference: k, createdAt: a.Clock.Now()}
	a.cachedOn = a.prefill.Name
	a.report(sardineknot.JobPrefillDone, a.prefill.Name)
	return nil
}

// startDecode forwards the call to the decode engine and returns its response.
// If the engine refuses the KV cache, the engine prefills the prompt itself,
// provided that the prompt has at most MaxLocalPrefillTokens tokens and the
// retry budget allows it.
func (a *attempt) startDecode(ctx context.Context) (*sardineknot.Response, error) {
	p, err := a.forward(ctx, a.cache.KVCacheReference)
	var r *sardineknot.RefusedError
	if errors.As(err, &r) && a.cache.Handle != "" {
		a.Log.Info().Stringer("event", sardineknot.LogCacheRefused).Str("request", string(a.call.ID)).Str("prefill", string(a.prefill.Name)).
			Str("decode", string(a.decode.Name)).Err(err).Send()
		a.discardCache()
		if a.job.PromptTokens <= sardineknot.MaxLocalPrefillTokens && a.Budget.AllowRetry(a.call.Service) {
			p, err = a.forward(ctx, sardineknot.KVCacheReference{})
		}
	}
	if err == nil {
		return p, nil
	}
	var u *sardineknot.UnsentError
	if !errors.As(err, &r) && !errors.As(err, &u) {
		a.executions++
	}
	a.retainCache(err)
	a.reportFailure(ctx, err, a.decode.Name)
	return nil, err
}

func (a *attempt) forward(ctx context.Context, k sardineknot.KVCacheReference) (*sardineknot.Response, error) {
	ctx, a.stop = context.WithCancelCause(ctx)
	if a.call.Route.Resumable {
		e := time.AfterFunc(headerTimeout, a.cancelSilent)
		defer e.Stop()
	}
	o := sardineknot.ForwardOptions{Deadline: a.call.Deadline, Cache: k, ResumeAfter: a.lastEventID, FreshConnection: !a.call.Route.Repeatable()}
	p, err := a.Forwarder.Forward(ctx, a.decode, a.call, o)
	if err != nil {
		a.stop(nil)
	}
	return p, err
}

// cancelSilent cancels the exchange with an engine that has not sent a response
// header in time.
func (a *attempt) cancelSilent() { a.stop(errSilent) }

// reportFailure reports that engine n failed the job, or that the job was
// cancelled if the caller has disconnected.
func (a *attempt) reportFailure(ctx context.Context, err error, n sardineknot.BackendServerName) {
	if errors.Is(ctx.Err(), context.Canceled) {
		a.report(sardineknot.JobCancelled, "")
		return
	}
	a.Log.Warn().Stringer("event", sardineknot.LogEngineFailed).Str("request", string(a.call.ID)).Str("server", string(n)).Err(err).Send()
	var u *sardineknot.UnsentError
	a.Slots.Report(a.job, sardineknot.JobEvent{
		Key: a.job.Key, Kind: sardineknot.JobFailed, Server: n, Tokens: a.tokens(), Unreachable: errors.As(err, &u),
	})
}

func (a *attempt) report(k sardineknot.JobEventKind, n sardineknot.BackendServerName) {
	a.Slots.Report(a.job, sardineknot.JobEvent{Key: a.job.Key, Kind: k, Server: n, Tokens: a.tokens()})
}

// tokens returns the number of tokens that this attempt has generated.
func (a *attempt) tokens() int { return a.eventCount * a.eventTokens() }

// relayStream relays the stream p to the caller and reports the end of the job.
func (a *attempt) relayStream(ctx context.Context, p *sardineknot.Response) error {
	defer a.stop(nil)
	defer p.Body.Close()
	a.executions++
	if p.Status != http.StatusOK {
		return a.relayFailure(ctx, p)
	}
	if !a.headerSent {
		a.headerSent = true
		a.writer.SendHeader(p.Status, p.Header)
	}
	err := a.copyEvents(p)
	if err != nil {
		a.reportFailure(ctx, err, a.decode.Name)
		return err
	}
	a.report(sardineknot.JobFinished, a.decode.Name)
	a.Log.Info().Stringer("event", sardineknot.LogStreamEnded).Str("request", string(a.call.ID)).Str("server", string(a.decode.Name)).
		Int("tries", a.attempts).Dur("first_ms", a.timeToFirst).Dur("pause_ms", a.longestPause).Int("tokens", a.tokens()).Int("expected", a.job.ExpectedTokens).Int("longest", a.job.MaxTokens).Send()
	return nil
}

// relayFailure relays a response whose status is not 200. It fails instead if
// the call may be retried or the response header was already sent.
func (a *attempt) relayFailure(ctx context.Context, p *sardineknot.Response) error {
	b, err := readAll(p)
	e := errors.WithStack(&sardineknot.RequestFailedError{Reason: string(a.decode.Name) + " answered " + strconv.Itoa(p.Status)})
	a.reportFailure(ctx, e, a.decode.Name)
	if err != nil || a.headerSent {
		return e
	}
	if p.Status >= http.StatusInternalServerError && a.executions < a.call.Route.Attempts && a.call.Route.Repeatable() {
		return e
	}
	h := p.Header.Clone()
	h.Set("Content-Length", strconv.Itoa(len(b)))
	a.writer.SendHeader(p.Status, h)
	return a.writer.Write(b)
}
