package events

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"sardineknot.example/sardineknot"
)

const (
	// maxTries bounds the tries of one call.
	maxTries = 5
	// resumeTime is the time in which a stream that broke off should go on.
	resumeTime = 2500 * time.Millisecond
	// prefillTimeout bounds a prefill beyond the target of the first event.
	prefillTimeout = 1500 * time.Millisecond
	// headTimeout bounds the wait for the head of a stream that may go on at
	// another engine.
	headTimeout = 1200 * time.Millisecond
	// releaseTimeout bounds the freeing of a KV cache.
	releaseTimeout = 500 * time.Millisecond
	// failedRetry is the time after which callers come back whose call no
	// engine took.
	failedRetry = time.Second
)

// Runner is a sardineknot.CallRunner. All fields are set before use.
type Runner struct {
	// Source gives the engines.
	Source sardineknot.ConfigurationSource
	// Forwarder calls engines.
	Forwarder sardineknot.Forwarder
	// Slots grants engines.
	Slots sardineknot.SlotPool
	// Budget bounds the further tries of a service.
	Budget sardineknot.RetryBudget
	// Self is this host.
	Self sardineknot.EntryHost
	// Clock gives the time.
	Clock sardineknot.Clock
	// Log takes an event for each step that decides something.
	Log zerolog.Logger
}

var _ sardineknot.CallRunner = (*Runner)(nil)

// session is one call that is being answered.
type session struct {
	*Runner
	call   *sardineknot.Call
	writer sardineknot.AnswerWriter
	// started tells that the head of the answer was passed on.
	started bool
	// last is the identifier of the last event that the caller has.
	last int
	// passed is the number of events that were passed on.
	passed int
	// first is the time from arrival to the first event, and pause the longest
	// time between two events. lastAt is the time of the last event.
	first  time.Duration
	pause  time.Duration
	lastAt time.Time
	// spare is the engine for the next try, if it was granted ahead.
	spare *spare
	// lock guards spare, and ended of the present try.
	lock sync.Mutex
	// progress is passed, for other goroutines.
	progress atomic.Int64
	// kept is the prefill engine that probably still has the prompt, or empty.
	// Decode engines drop it with a stream that breaks off.
	kept sardineknot.BackendServerName
	// unread is the KV cache that an earlier try has left, probably unread. It is
	// zero if there is none.
	unread readCache
	// tries counts tries, and runs those that may have run on an engine.
	tries int
	runs  int
}

// Run implements sardineknot.CallRunner.
func (r *Runner) Run(ctx context.Context, c *sardineknot.Call, w sardineknot.AnswerWriter) error {
	r.Budget.First(c.Service)
	s := &session{Runner: r, call: c, writer: w, last: c.Prompt.After}
	defer s.returnSpare()
	defer func() { s.release(s.unread.CacheReference) }()
	for {
		err := s.try(ctx)
		if err == nil {
			return nil
		}
		if !s.again(ctx, err) {
			return s.final(err)
		}
		s.Log.Info().Stringer("event", sardineknot.LogStreamRetried).Str("request", string(c.ID)).Int("try", s.tries).
			Int("after", s.last).Err(err).Send()
	}
}

// again reports whether another try may be made after err.
func (s *session) again(ctx context.Context, err error) bool {
	var n *sardineknot.NotRunError
	var w *writeError
	if ctx.Err() != nil || errors.As(err, &n) || errors.As(err, &w) || s.tries >= maxTries {
		return false
	}
	if s.runs > 0 && !s.call.Route.Repeatable() {
		return false
	}
	if s.runs >= s.call.Route.Attempts {
		return false
	}
	// A spare was paid for when it was asked for.
	return s.spare != nil || s.Budget.Retry(s.call.Service)
}

// final returns the error to tell the caller of.
func (s *session) final(err error) error {
	var n *sardineknot.NotRunError
	if s.runs > 0 && errors.As(err, &n) {
		// A refusal of a later try does not say that the first did not run.
		return errors.WithStack(&sardineknot.FailedError{Reason: n.Reason})
	}
	if s.runs > 0 || errors.As(err, &n) {
		return err
	}
	return errors.WithStack(&sardineknot.NotRunError{Reason: err.Error(), RetryAfter: failedRetry})
}

// nextJob returns the job of the try with that number, after passed events.
// resumed tells that the head of the answer was passed on.
func (s *session) nextJob(passed, number int, resumed bool) sardineknot.Job {
	c, p := s.call, s.call.Prompt
	g := passed * s.eventTokens()
	j := sardineknot.Job{
		Key:          sardineknot.RequestKey{Account: sardineknot.ClientAccountName(s.Self.ID), ID: c.ID + sardineknot.RequestID("/"+strconv.Itoa(number))},
		Pool:         sardineknot.ServicePool(c.Service, p.Model),
		Work:         sardineknot.WorkName(c.Route.Name),
		Zone:         s.Self.Zone,
		Prefixes:     p.Prefixes,
		PromptTokens: p.Tokens + g + p.After*s.eventTokens(),
		MaxTokens:    max(1, p.MaxTokens-g-p.After*s.eventTokens()),
		Resumed:      p.After > 0,
		Priority:     c.Route.Priority,
		Deadline:     c.Arrived.Add(c.Route.Target),
		Patience:     c.Deadline,
		PerToken:     c.Route.PauseTarget,
		Owner:        s.Self.ID,
	}
	if p.ExpectedTokens > 0 {
		j.ExpectedTokens = max(1, p.ExpectedTokens-g-p.After*s.eventTokens())
	}
	if resumed {
		j.Deadline = s.Clock.Now().Add(resumeTime)
		j.Priority = 0
	}
	return j
}

// eventTokens returns the number of tokens in an event.
func (s *session) eventTokens() int {
	for _, b := range s.Source.Current().Services {
		if b.Name == s.call.Service && b.Engine != nil {
			return max(1, b.Engine.EventTokens)
		}
	}
	return 1
}

// find returns the engine n.
func (s *session) find(n sardineknot.BackendServerName) (sardineknot.BackendServer, error) {
	for _, b := range s.Source.Current().BackendServers {
		if b.Name == n && b.State == sardineknot.BackendJoining {
			return b, nil
		}
	}
	return sardineknot.BackendServer{}, errors.WithStack(&sardineknot.UnknownError{What: "BackendServer", Name: string(n)})
}

// release frees a KV cache that will not be imported.
func (s *session) release(k sardineknot.CacheReference) {
	if k.Handle == "" {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		err := s.Forwarder.Release(ctx, k)
		if err != nil {
			s.Log.Debug().Stringer("event", sardineknot.LogReleaseFailed).Str("request", string(s.call.ID)).Err(err).Send()
		}
	}()
}
