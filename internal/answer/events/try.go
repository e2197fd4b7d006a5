package events

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

// try is one job: its engines and what it holds there.
type try struct {
	*session
	job     sardineknot.Job
	prefill sardineknot.BackendServer
	decode  sardineknot.BackendServer
	cache   readCache
	// ctx is that of the call.
	ctx context.Context
	// ended tells that the try has ended.
	ended bool
	// stop breaks off the exchange with the decode engine.
	stop context.CancelCauseFunc
	// events is the number of events that this try has passed on.
	events int
}

// try makes one try. It fails with a NotRunError if no engine is granted.
func (s *session) try(ctx context.Context) error {
	t := &try{session: s, ctx: ctx, job: s.nextJob(s.passed, s.tries, s.started)}
	t.job.Kept = s.kept
	defer t.end()
	s.tries++
	err := t.grant(ctx)
	if err != nil {
		return err
	}
	err = t.read(ctx)
	if err != nil {
		return err
	}
	p, err := t.send(ctx)
	if err != nil {
		return err
	}
	return t.pass(ctx, p)
}

// grant waits for engines.
func (t *try) grant(ctx context.Context) error {
	n := t.Clock.Now()
	g, err := t.acquire(ctx)
	if err != nil {
		return err
	}
	t.Log.Info().Stringer("event", sardineknot.LogEnginesGranted).Str("request", string(t.call.ID)).Str("prefill", string(g.Prefill)).
		Str("decode", string(g.Decode)).Dur("waited_ms", t.Clock.Now().Sub(n)).Int("prompt", t.job.PromptTokens).
		Int("expected", t.job.ExpectedTokens).Int("longest", t.job.MaxTokens).Send()
	t.prefill, err = t.find(g.Prefill)
	if err == nil {
		t.decode, err = t.find(g.Decode)
	}
	if err != nil {
		t.report(sardineknot.JobCancelled, "")
	}
	return err
}

// acquire returns the spare, or waits for engines.
func (t *try) acquire(ctx context.Context) (sardineknot.Grant, error) {
	t.lock.Lock()
	s := t.spare
	t.spare = nil
	t.lock.Unlock()
	if s == nil {
		return t.Slots.Acquire(ctx, t.job)
	}
	t.job = s.job
	return s.grant, nil
}

// read has the prompt read by the prefill engine, if that is not the decode
// engine and no earlier try has left a KV cache.
func (t *try) read(ctx context.Context) error {
	if t.reuse() {
		t.report(sardineknot.JobPrefillDone, t.prefill.Name)
		return nil
	}
	if t.prefill.Name == t.decode.Name {
		return nil
	}
	if t.tries > 1 && !t.Budget.Retry(t.call.Service) {
		t.report(sardineknot.JobCancelled, "")
		return errors.WithStack(&sardineknot.NotRunError{Reason: "no budget for another prefill", RetryAfter: failedRetry})
	}
	ctx, cancel := context.WithTimeout(ctx, prefillTimeout)
	defer cancel()
	k, err := t.Forwarder.Prefill(ctx, t.prefill, t.call, t.call.Deadline)
	if err != nil {
		t.keptBy(err)
		t.lost(ctx, err, t.prefill.Name)
		return err
	}
	t.cache = readCache{CacheReference: k, at: t.Clock.Now()}
	t.kept = t.prefill.Name
	t.report(sardineknot.JobPrefillDone, t.prefill.Name)
	return nil
}

// send passes the call on to the decode engine. If the KV cache is lost, the
// engine reads the prompt itself.
func (t *try) send(ctx context.Context) (*sardineknot.Reply, error) {
	p, err := t.forward(ctx, t.cache.CacheReference)
	var r *sardineknot.RefusedError
	if errors.As(err, &r) && t.cache.Handle != "" {
		t.Log.Info().Stringer("event", sardineknot.LogCacheRefused).Str("request", string(t.call.ID)).Str("prefill", string(t.prefill.Name)).
			Str("decode", string(t.decode.Name)).Err(err).Send()
		t.dropCache()
		if t.job.PromptTokens <= sardineknot.MaxSelfRead && t.Budget.Retry(t.call.Service) {
			p, err = t.forward(ctx, sardineknot.CacheReference{})
		}
	}
	if err == nil {
		return p, nil
	}
	var u *sardineknot.UnsentError
	if !errors.As(err, &r) && !errors.As(err, &u) {
		t.runs++
	}
	t.leaveCache(err)
	t.lost(ctx, err, t.decode.Name)
	return nil, err
}

func (t *try) forward(ctx context.Context, k sardineknot.CacheReference) (*sardineknot.Reply, error) {
	ctx, t.stop = context.WithCancelCause(ctx)
	if t.call.Route.Resumable {
		e := time.AfterFunc(headTimeout, t.silent)
		defer e.Stop()
	}
	o := sardineknot.Send{Deadline: t.call.Deadline, Cache: k, After: t.last, Fresh: !t.call.Route.Repeatable()}
	p, err := t.Forwarder.Forward(ctx, t.decode, t.call, o)
	if err != nil {
		t.stop(nil)
	}
	return p, err
}

// silent breaks off the exchange with an engine that sends nothing.
func (t *try) silent() { t.stop(errSilent) }

// lost reports that the engine n failed the job, unless the caller is gone.
func (t *try) lost(ctx context.Context, err error, n sardineknot.BackendServerName) {
	if errors.Is(ctx.Err(), context.Canceled) {
		t.report(sardineknot.JobCancelled, "")
		return
	}
	t.Log.Warn().Stringer("event", sardineknot.LogEngineFailed).Str("request", string(t.call.ID)).Str("server", string(n)).Err(err).Send()
	var u *sardineknot.UnsentError
	t.Slots.Report(t.job, sardineknot.JobEvent{
		Key: t.job.Key, Kind: sardineknot.JobFailed, Server: n, Tokens: t.tokens(), Unreachable: errors.As(err, &u),
	})
}

func (t *try) report(k sardineknot.JobEventKind, n sardineknot.BackendServerName) {
	t.Slots.Report(t.job, sardineknot.JobEvent{Key: t.job.Key, Kind: k, Server: n, Tokens: t.tokens()})
}

// tokens returns the number of tokens that this try has generated.
func (t *try) tokens() int { return t.events * t.eventTokens() }

// pass passes the stream p on.
func (t *try) pass(ctx context.Context, p *sardineknot.Reply) error {
	defer t.stop(nil)
	defer p.Body.Close()
	t.runs++
	if p.Status != http.StatusOK {
		return t.passFailure(ctx, p)
	}
	if !t.started {
		t.started = true
		t.writer.Start(p.Status, p.Header)
	}
	err := t.copy(p)
	if err != nil {
		t.lost(ctx, err, t.decode.Name)
		return err
	}
	t.report(sardineknot.JobFinished, t.decode.Name)
	t.Log.Info().Stringer("event", sardineknot.LogStreamEnded).Str("request", string(t.call.ID)).Str("server", string(t.decode.Name)).
		Int("tries", t.tries).Dur("first_ms", t.first).Dur("pause_ms", t.pause).Int("tokens", t.tokens()).Int("expected", t.job.ExpectedTokens).Int("longest", t.job.MaxTokens).Send()
	return nil
}

// passFailure passes on an answer that is not a stream. If the call may be
// tried again, it fails instead.
func (t *try) passFailure(ctx context.Context, p *sardineknot.Reply) error {
	b, err := readAll(p)
	e := errors.WithStack(&sardineknot.FailedError{Reason: string(t.decode.Name) + " answered " + strconv.Itoa(p.Status)})
	t.lost(ctx, e, t.decode.Name)
	if err != nil || t.started {
		return e
	}
	if p.Status >= http.StatusInternalServerError && t.runs < t.call.Route.Attempts && t.call.Route.Repeatable() {
		return e
	}
	h := p.Header.Clone()
	h.Set("Content-Length", strconv.Itoa(len(b)))
	t.writer.Start(p.Status, h)
	return t.writer.Write(b)
}
