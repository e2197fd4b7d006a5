package events

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/backend/backoff"
	"sardineknot.example/sardineknot/internal/backend/memory"
	"sardineknot.example/sardineknot/internal/caller/stopping"
	"sardineknot.example/sardineknot/internal/policy/streampace"
)

const (
	// maxAttempts bounds the attempts of one call, and maxTakeovers those that
	// are to replace a silent engine.
	maxAttempts  = 5
	maxTakeovers = 3
	// resumeTarget is the time within which an interrupted stream should
	// produce its next event.
	resumeTarget = 2500 * time.Millisecond
	// prefillTimeout bounds a prefill. It is independent of the latency target
	// of the first event.
	prefillTimeout = 1500 * time.Millisecond
	// releaseTimeout bounds the request that releases a KV cache.
	releaseTimeout = 500 * time.Millisecond
	// failureRetryAfter is the Retry-After time of a call that no engine
	// accepted.
	failureRetryAfter = time.Second
)

// Runner runs generations on engines. It implements sardineknot.CallRunner. All
// fields must be set before use.
type Runner struct {
	// Source provides the engines and the services.
	Source sardineknot.ConfigurationSource
	// Forwarder sends calls to engines.
	Forwarder sardineknot.Forwarder
	// Slots grants engines to attempts.
	Slots sardineknot.SlotPool
	// Backoffs records which engines want no requests from this host.
	Backoffs *backoff.Set
	// Guard keeps requests from engines that would crash them.
	Guard sardineknot.CrashGuard
	// Budget limits the retries of each service.
	Budget sardineknot.RetryBudget
	// Memory bounds the memory of all incomplete events together.
	Memory *memory.Budget
	// Versions keeps the software versions that began streams.
	Versions sardineknot.StreamVersions
	// Stop is the schedule of the planned stop of this host. Nil means that it never stops.
	Stop *stopping.Schedule
	// Paces records how fast engines generate. Nil means that this is never known.
	Paces *streampace.Paces
	// Self is this entry host.
	Self sardineknot.EntryHost
	// Clock returns the current time.
	Clock sardineknot.Clock
	// Log receives an event for each decision and outcome of an attempt.
	Log zerolog.Logger
}

var _ sardineknot.CallRunner = (*Runner)(nil)

// session is the state of one call over all its attempts.
type session struct {
	*Runner
	// ctx is the context of the call.
	ctx    context.Context
	call   *sardineknot.Call
	writer sardineknot.AnswerWriter
	// late is set if the call was admitted after the begin of the host's stop.
	late bool
	// timeToFirst is the time from the arrival of the call to its first event,
	// longestPause the longest time between two events, and lastEventAt the
	// time of the last event.
	timeToFirst  time.Duration
	longestPause time.Duration
	lastEventAt  time.Time

	// mu guards the fields below. Only the goroutine that runs the call changes
	// headerSent, lastEventID and relayedEvents.
	mu sync.Mutex
	// headerSent reports whether the response header was sent to the caller.
	headerSent bool
	// lastEventID is the identifier of the last event that the caller has. Zero
	// means none.
	lastEventID int
	// relayedEvents is the number of events sent to the caller.
	relayedEvents int
	// numbered is set once an event with a number was relayed, and stepped once one
	// whose number does not follow that of the event before, which is zero at the start
	// of the stream. unnumbered is set while the last event has no number, so that no
	// other engine can go on after it.
	numbered, stepped, unnumbered bool
	// version is the software version of the engine that began the stream. It is
	// empty until the stream has begun, and if engines have no versions.
	version sardineknot.SoftwareVersion
	// announced is the software version of the engine that was granted first. It is
	// empty before, for resumed streams, and if engines have no versions.
	announced sardineknot.SoftwareVersion
	// takeover is the takeover in progress, or nil.
	takeover *takeover
	// cachedOn is the prefill engine that probably still caches the prompt, or
	// empty. Decode engines discard their KV cache when a stream breaks off.
	cachedOn sardineknot.BackendServerName
	// retainedCache is the KV cache of an earlier attempt that was probably not
	// imported. The zero value means that there is none.
	retainedCache promptCache
	// attempts counts all attempts, takeovers those of them that were to replace
	// a silent engine, and executions those that may have run on an engine.
	attempts   int
	takeovers  int
	executions int
	// prefills counts the attempts that have sent a prefill to an engine.
	prefills int
}

// Run implements sardineknot.CallRunner.
func (r *Runner) Run(ctx context.Context, c *sardineknot.Call, w sardineknot.AnswerWriter) error {
	s := &session{Runner: r, ctx: ctx, call: c, writer: w, lastEventID: c.Generation.ResumeAfter}
	defer s.releaseRetainedCache()
	defer s.dropTakeover()
	_, s.late = r.Stop.EndsAt()
	err := s.findVersion()
	r.Budget.RecordCall(c.Service)
	if err != nil {
		return err
	}
	a := s.newAttempt()
	for {
		err := a.run()
		if err == nil {
			return nil
		}
		n := s.finishTakeover()
		if n == nil && !s.mayRetry(err) {
			a.logCut()
			return s.finalError(err)
		}
		if n == nil {
			n = s.newAttempt()
		}
		s.Log.Info().Stringer("event", sardineknot.LogStreamRetried).Str("request", string(c.ID)).Int("try", n.number).
			Int("after", n.resumeAfter).Err(err).Send()
		a = n
	}
}

// mayRetry reports whether another attempt may follow one that failed with err,
// and consumes retry budget for it. An attempt that sent nothing to its engine
// costs none.
func (s *session) mayRetry(err error) bool {
	var n *sardineknot.NotRunError
	var k *sardineknot.UnauthorizedError
	var w *writeError
	if s.ctx.Err() != nil || errors.As(err, &n) || errors.As(err, &k) || errors.As(err, &w) {
		return false
	}
	if isNotSent(err) {
		return s.mayAttempt()
	}
	return s.mayAttempt() && s.Budget.AllowRetry(s.call.Service)
}

// mayAttempt reports whether the call has attempts left.
func (s *session) mayAttempt() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.attempts-s.takeovers >= maxAttempts || s.executions >= s.call.Route.Attempts {
		return false
	}
	return s.executions == 0 || s.call.Route.Repeatable() && !s.unnumbered
}

// mayRunAgain reports whether another engine may run a call that has run.
func (s *session) mayRunAgain() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.takeover != nil || s.executions < s.call.Route.Attempts && s.call.Route.Repeatable()
}

// sendHeader sends the response header to the caller, unless the header of an
// earlier attempt was sent.
func (s *session) sendHeader(status int, header http.Header) {
	s.mu.Lock()
	k := s.headerSent
	s.headerSent = true
	s.mu.Unlock()
	if !k {
		s.writer.SendHeader(status, header)
	}
}

// finalError converts err, with which the last attempt failed, to the error of
// the call.
func (s *session) finalError(err error) error {
	s.mu.Lock()
	k := s.executions > 0
	s.mu.Unlock()
	var n *sardineknot.NotRunError
	var u *sardineknot.UnknownError
	var a *sardineknot.UnauthorizedError
	if k && (errors.As(err, &n) || errors.As(err, &u) || isNotSent(err)) {
		// The error concerns only the last attempt; an earlier one may have run.
		return errors.WithStack(&sardineknot.RequestFailedError{Reason: err.Error()})
	}
	if k || errors.As(err, &n) || errors.As(err, &a) {
		return err
	}
	var t *sardineknot.StoppingError
	if errors.As(context.Cause(s.ctx), &t) {
		// Another host can run the call at once.
		return errors.WithStack(&sardineknot.NotRunError{Reason: t.Error()})
	}
	return errors.WithStack(&sardineknot.NotRunError{Reason: err.Error(), RetryAfter: failureRetryAfter})
}

// nextJob returns the job of the next attempt. If the response header was already
// sent to the caller, the job is due within resumeTarget and has priority zero.
// The caller must hold mu.
func (s *session) nextJob() sardineknot.Job {
	c, p := s.call, s.call.Generation
	g := s.relayedEvents * s.eventTokens()
	j := sardineknot.Job{
		Key:                sardineknot.RequestKey{Account: sardineknot.ClientAccountName(s.Self.ID), ID: c.ID + sardineknot.RequestID("/"+strconv.Itoa(s.attempts))},
		Pool:               s.pool(),
		Work:               sardineknot.WorkName(c.Route.Name),
		Zone:               s.Self.Zone,
		PrefixHashes:       p.PrefixHashes,
		PromptTokens:       p.PromptLength + g + p.ResumeAfter*s.eventTokens(),
		MaxTokens:          max(1, p.MaxTokens-g-p.ResumeAfter*s.eventTokens()),
		Resumed:            p.ResumeAfter > 0,
		Account:            c.AccountName(),
		Priority:           c.Priority(),
		RoutePriority:      c.Route.Priority,
		FirstTokenDeadline: c.ArrivedAt.Add(c.Route.Target),
		CallerDeadline:     c.Deadline,
		PerToken:           c.Route.PauseTarget,
		CachedOn:           s.cachedOn,
		SoftwareVersion:    s.version,
		Backoffs:           append(s.poolBackoffs(), s.withheldEngines()...),
		Owner:              s.Self.ID,
	}
	if p.ExpectedTokens > 0 {
		j.ExpectedTokens = max(1, p.ExpectedTokens-g-p.ResumeAfter*s.eventTokens())
	}
	if s.headerSent {
		j.FirstTokenDeadline = s.Clock.Now().Add(resumeTarget)
		j.Priority = 0
	}
	return j
}

// pool returns the pool of engines that serve the call.
func (s *session) pool() sardineknot.PoolName {
	return sardineknot.ServicePoolName(s.call.Service, s.call.Generation.Model)
}

// eventTokens returns the number of tokens per event of the service, at least
// one.
func (s *session) eventTokens() int {
	for _, b := range s.Source.Current().Services {
		if b.Name == s.call.Service && b.Engine != nil {
			return max(1, b.Engine.EventTokens)
		}
	}
	return 1
}

// releaseCache asks the engine in the background to free a KV cache that will
// not be imported. It has no effect if k is empty, or if the engine wants no
// requests: it frees the cache itself after some time.
func (s *session) releaseCache(k sardineknot.KVCacheReference) {
	if k.Handle == "" || s.backedOffAt(k.Address) {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		err := s.Forwarder.ReleaseCache(ctx, k)
		if err != nil {
			s.Log.Debug().Stringer("event", sardineknot.LogReleaseFailed).Str("request", string(s.call.ID)).Err(err).Send()
		}
	}()
}
