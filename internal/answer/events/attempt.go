package events

import (
	"bufio"
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/quarantine/fingerprint"
)

// attempt is one attempt of a call: its job, the engines granted to it and the
// KV cache that it holds.
type attempt struct {
	*session
	job     sardineknot.Job
	prefill sardineknot.BackendServer
	decode  sardineknot.BackendServer
	cache   promptCache
	// number is the number of earlier attempts of the call.
	number int
	// resumeAfter is the identifier of the last event that the caller has, as far
	// as the attempt knows.
	resumeAfter int
	// replacing is the takeover that the attempt belongs to, or nil.
	replacing *takeover
	// ctx is the context of all exchanges of the attempt. stop cancels it and
	// records its argument as the cause.
	ctx  context.Context
	stop context.CancelCauseFunc
	// response is the response of the decode engine, whose events reader reads.
	// It is nil until the engine has sent its header.
	response *sardineknot.Response
	reader   *bufio.Reader
	// first is an event that was read before the attempt was accepted as the
	// one that continues the stream, or nil.
	first *event
	// continued is set once an event was read that is part of the answer and new to the
	// caller. repeated is the highest number of an event that was skipped, or zero.
	continued bool
	repeated  int
	// stage is what the attempt waits for.
	stage stage
	// prefilled is set once the prefill engine has computed the KV cache.
	prefilled bool
	// sentAt is the time at which the last request was sent to an engine.
	sentAt time.Time
	// eventCount is the number of events relayed by this attempt. firstID is the
	// identifier of the first of them, and begunAt its time. sound is set once the engine is known not to end
	// because of the request.
	eventCount int
	firstID    int
	begunAt    time.Time
	sound      bool
	// readAt is the time at which the last event was read, and written the time for which the
	// caller took events. pace is that of the decode engine. unfollow ends what recordFirst has
	// begun. It is nil before the first event.
	readAt   time.Time
	written  time.Duration
	pace     pace
	unfollow func()

	// The fields below are guarded by the mutex of the session.

	// silence starts a takeover when the engine has been silent, if watched is
	// set. watched is set while an event or the header is awaited.
	silence *time.Timer
	watched bool
	// takeoverDelay is the delay before the next takeover.
	takeoverDelay time.Duration
	// executed is set once the attempt counts as one that may have run, and
	// ended when it has ended.
	executed bool
	ended    bool
}

// newAttempt returns an attempt that continues the call from its current state.
func (s *session) newAttempt() *attempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.newAttemptLocked()
}

func (s *session) newAttemptLocked() *attempt {
	a := &attempt{session: s, number: s.attempts, resumeAfter: s.lastEventID, job: s.nextJob(), stage: stageGrant}
	a.ctx, a.stop = context.WithCancelCause(s.ctx)
	s.attempts++
	return a
}

// run makes the attempt: it opens the stream, unless that is done, and relays it
// to its end. It fails with a NotRunError if no engine is granted.
func (a *attempt) run() error {
	defer a.end()
	if a.response == nil {
		err := a.open()
		if err != nil {
			return err
		}
	}
	return a.relayStream()
}

// end releases what the attempt holds. No takeover begins after that.
func (a *attempt) end() {
	a.mu.Lock()
	a.ended = true
	if a.silence != nil {
		a.silence.Stop()
	}
	a.mu.Unlock()
	if a.unfollow != nil {
		a.unfollow()
	}
	a.stop(nil)
}

// open acquires engines and starts the stream.
func (a *attempt) open() error {
	err := a.acquireEngines()
	if err != nil {
		return err
	}
	err = a.runPrefill()
	if err != nil {
		return err
	}
	return a.startDecode()
}

// acquireEngines waits for a grant and looks up its prefill and decode engines.
func (a *attempt) acquireEngines() error {
	n := a.Clock.Now()
	err := a.Guard.Check(a.call)
	if err != nil {
		return err
	}
	err = a.checkPool(n)
	if err == nil {
		err = a.checkStop("")
	}
	if err != nil {
		return err
	}
	g, err := a.awaitGrant()
	if err != nil {
		return err
	}
	err = a.checkGrant(g)
	a.logGrant(g, a.Clock.Now().Sub(n))
	if err != nil {
		a.returnGrant(err)
		return err
	}
	a.announceVersion()
	return nil
}

// logGrant logs the grant g, for which the attempt waited for w.
func (a *attempt) logGrant(g sardineknot.Grant, w time.Duration) {
	a.Log.Info().Stringer("event", sardineknot.LogEnginesGranted).Str("request", string(a.call.ID)).Str("prefill", string(g.PrefillEngine)).
		Str("decode", string(g.DecodeEngine)).Str("version", string(a.decode.SoftwareVersion)).Str("origin", string(a.call.Generation.Origin)).
		Stringer("parts", a.call.Generation.Parts).Int("after", a.resumeAfter).Dur("waited_ms", w).Int("prompt", a.job.PromptTokens).
		Int("expected", a.job.ExpectedTokens).Int("longest", a.job.MaxTokens).Send()
}

// checkGrant looks up the engines of g. It fails if the attempt was cancelled
// meanwhile, or the deadline of the call has passed. A takeover also needs retry budget and an engine other than the
// silent one.
func (a *attempt) checkGrant(g sardineknot.Grant) (err error) {
	if a.ctx.Err() != nil {
		return errors.WithStack(context.Cause(a.ctx))
	}
	// The process may have been paused, so that the context is not done yet.
	if a.call.Overdue(a.Clock.Now()) {
		return errors.WithStack(context.DeadlineExceeded)
	}
	a.prefill, err = a.findServer(g.PrefillEngine)
	if err != nil {
		return err
	}
	a.decode, err = a.findServer(g.DecodeEngine)
	if err != nil {
		return err
	}
	err = a.checkVersion()
	if err == nil {
		err = a.checkKey()
	}
	if err == nil {
		err = a.checkStop(a.decode.Name)
	}
	if err != nil || a.replacing == nil {
		return err
	}
	if a.decode.Name == a.replacing.from.decode.Name {
		return errors.WithStack(&sardineknot.NotRunError{Reason: "only the silent engine has room", RetryAfter: failureRetryAfter})
	}
	return a.spendRetry()
}

// checkKey fails with an UnauthorizedError if the key of the call was withdrawn while
// it waited for engines. A stream that has begun goes on.
func (a *attempt) checkKey() error {
	a.mu.Lock()
	k := a.executions > 0
	a.mu.Unlock()
	if k || a.Source.Current().Admits(a.call) {
		return nil
	}
	return errors.WithStack(&sardineknot.UnauthorizedError{})
}

// spendRetry charges a retry to the budget. It fails with a NotRunError if the
// budget is exhausted.
func (a *attempt) spendRetry() error {
	if a.Budget.AllowRetry(a.call.Service) {
		return nil
	}
	return errors.WithStack(&sardineknot.NotRunError{Reason: "retry budget is exhausted", RetryAfter: failureRetryAfter})
}

// startDecode forwards the call to the decode engine and waits for the header of
// its response. If the engine refuses the KV cache, the engine prefills the
// prompt itself, if it may and the retry budget allows it. The refusal of an
// engine that accepts no work at all says nothing about the cache, which goes to
// the next engine.
func (a *attempt) startDecode() error {
	err := a.checkDecode()
	if err != nil {
		a.retainCache(err)
		a.returnGrant(err)
		return err
	}
	if a.replacing != nil {
		a.replacing.limitOverlap()
	} else {
		a.watchSilence(headerTimeout)
	}
	a.stage = stageHeader
	p, err := a.forward(a.cache.KVCacheReference)
	var r *sardineknot.RefusedError
	if errors.As(err, &r) && a.cache.Handle != "" && a.checkAccepting(a.decode) == nil {
		a.Log.Info().Stringer("event", sardineknot.LogCacheRefused).Str("request", string(a.call.ID)).Str("prefill", string(a.prefill.Name)).
			Str("decode", string(a.decode.Name)).Err(err).Send()
		a.discardCache()
		if a.mayPrefillLocally() && a.Budget.AllowRetry(a.call.Service) {
			p, err = a.forward(sardineknot.KVCacheReference{})
		}
	}
	if isNotSent(err) {
		a.retainCache(err)
		a.returnGrant(err)
		return err
	}
	var u *sardineknot.UnsentError
	if !errors.As(err, &r) && !errors.As(err, &u) {
		a.recordExecution()
	}
	if err != nil {
		a.retainCache(err)
		a.reportFailure(err, a.decode.Name)
		return err
	}
	a.response, a.stage = p, stageEvents
	a.reader = bufio.NewReaderSize(p.Body, readBytes)
	return nil
}

// checkDecode fails if the decode engine accepts no work by now, or the stream may not end on it
// before the host has stopped.
func (a *attempt) checkDecode() error {
	err := a.checkAccepting(a.decode)
	if err != nil {
		return err
	}
	return a.checkStop(a.decode.Name)
}

// mayPrefillLocally reports whether the decode engine may prefill the prompt
// itself. That takes too long for a takeover.
func (a *attempt) mayPrefillLocally() bool {
	return a.replacing == nil && a.job.PromptTokens <= sardineknot.MaxLocalPrefillTokens
}

// recordExecution records that an engine may have run the call.
func (a *attempt) recordExecution() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.executed = true
	a.executions++
}

func (a *attempt) forward(k sardineknot.KVCacheReference) (*sardineknot.Response, error) {
	o := sardineknot.ForwardOptions{Deadline: a.call.Deadline, Cache: k, ResumeAfter: a.resumeAfter, FreshConnection: !a.call.Route.Repeatable()}
	a.sentAt = a.Clock.Now()
	return a.Forwarder.Forward(a.ctx, a.decode, a.call, o)
}

// openStream opens the stream and reads its first event. A response that is not
// a stream is a failure.
func (a *attempt) openStream() error {
	err := a.open()
	if err != nil {
		return err
	}
	a.first, err = a.readFirst()
	if err != nil {
		a.response.Body.Close()
		a.reportFailure(err, a.decode.Name)
	}
	return err
}

// readFirst returns the first event of the stream that the caller does not have.
// It fails if there is none.
func (a *attempt) readFirst() (*event, error) {
	if a.response.Status != http.StatusOK {
		return nil, a.statusError()
	}
	e, err := a.readEvent()
	if err == nil && e.end {
		err = errors.WithStack(errTruncated)
	}
	return e, err
}

// statusError returns the error for a response that is not a stream.
func (a *attempt) statusError() error {
	return errors.WithStack(&sardineknot.RequestFailedError{Reason: string(a.decode.Name) + " answered " + strconv.Itoa(a.response.Status)})
}

// reportFailure reports that engine n failed the job, or that the job was
// cancelled if the caller has disconnected or takes no more of its answer, or the stream
// goes on elsewhere.
func (a *attempt) reportFailure(err error, n sardineknot.BackendServerName) {
	var w *writeError
	if errors.As(err, &w) {
		a.report(sardineknot.JobCancelled, "")
		return
	}
	if a.superseded() {
		a.report(sardineknot.JobCancelled, a.awaited(n))
		return
	}
	a.reportCrash(err, n)
	a.Log.Warn().Stringer("event", sardineknot.LogEngineFailed).Str("request", string(a.call.ID)).Str("server", string(n)).
		Stringer("parts", a.call.Generation.Parts).Stringer("traits", fingerprint.Of(a.call).All()).Int("relayed", a.eventCount).
		Str("framing", a.framing()).Int("first", a.firstID).Int("last", a.resumeAfter).Err(err).Send()
	a.Slots.Report(a.job, sardineknot.JobEvent{
		Key: a.job.Key, Kind: sardineknot.JobFailed, Server: n, Tokens: a.tokens(), Unreachable: isUnreachable(err),
	})
}

// awaited returns n, the engine whose answer a was reading, if a has ended because its
// caller disconnected, and an empty name otherwise.
func (a *attempt) awaited(n sardineknot.BackendServerName) sardineknot.BackendServerName {
	var s *sardineknot.StoppingError
	if c := context.Cause(a.ctx); errors.Is(c, errSuperseded) || errors.Is(c, errSilent) || errors.As(c, &s) {
		return ""
	}
	return n
}

// isUnreachable reports whether err shows that an engine does not accept connections.
func isUnreachable(err error) bool {
	var u *sardineknot.UnsentError
	var e *sardineknot.UnconfirmedEndError
	return errors.As(err, &u) || errors.As(err, &e) && e.ServerGone()
}

func (a *attempt) report(k sardineknot.JobEventKind, n sardineknot.BackendServerName) {
	a.Slots.Report(a.job, sardineknot.JobEvent{Key: a.job.Key, Kind: k, Server: n, Tokens: a.tokens()})
}

// framing returns the framing of the engine's response, or an empty string if there is
// none.
func (a *attempt) framing() string {
	if a.response == nil {
		return ""
	}
	return string(a.response.Framing)
}

// tokens returns the number of tokens that this attempt has generated.
func (a *attempt) tokens() int { return a.eventCount * a.eventTokens() }
