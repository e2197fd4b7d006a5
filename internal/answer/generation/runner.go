// Package generation produces the answer to a generation: it acquires engines,
// prefills, has the KV cache transferred, decodes, and goes on after failures.
//
// A stream that breaks off is resumed on the same engine over a new
// connection. If that fails, a new attempt starts with the tokens that exist.
// Whatever an attempt left on an engine is cancelled.
package generation

import (
	"context"
	"hash/fnv"
	"io"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/answer/buffer"
)

const (
	// maxAttempts bounds the attempts of one request.
	maxAttempts = 4
	// maxResumes bounds the resumptions of one attempt without a new token.
	maxResumes = 2
	// bytesPerToken estimates the length of a prompt in tokens.
	bytesPerToken = 4
	// prefixBytes is the length of the pieces that prefixes are hashed in. It
	// is about one piece of engine memory.
	prefixBytes = 2000 * bytesPerToken
	// retryAfter is the time that callers wait after a failure.
	retryAfter = time.Second
	// cancelTries and cancelPause bound the cancellation on one engine.
	cancelTries = 50
	cancelPause = 200 * time.Millisecond
)

// Runner produces answers. It is safe for concurrent use. All fields are set
// before use.
type Runner struct {
	// Self is this entry host.
	Self sardineknot.EntryHost
	// Engine calls engines.
	Engine sardineknot.Engine
	// Slots grants engines.
	Slots sardineknot.SlotPool
	// Configuration gives the addresses of engines.
	Configuration sardineknot.ConfigurationSource
	// Clock gives the time.
	Clock sardineknot.Clock
	// Log takes one event for each attempt and failure.
	Log zerolog.Logger
}

// Run produces the answer to q in b and ends b. It returns early when ctx is
// done, after it has cancelled what engines hold.
func (r *Runner) Run(ctx context.Context, q sardineknot.Request, b *buffer.Buffer) {
	var err error
	var u bool
	for i := range maxAttempts {
		var d bool
		d, err = r.attempt(ctx, q, b, i)
		u = u || d
		if err == nil || ctx.Err() != nil || !repeatable(err) {
			break
		}
		r.Log.Warn().Str("event", "attempt_failed").Str("request", q.Key.String()).Int("attempt", i).Err(err).Send()
	}
	b.End(final(ctx, len(b.Tokens()), u, err))
}

// final returns the end of an answer of n tokens whose last attempt returned
// err. used tells whether any engine was called.
func final(ctx context.Context, n int, used bool, err error) error {
	var f *sardineknot.NotRunError
	switch {
	case err == nil:
		return io.EOF
	case ctx.Err() != nil:
		return &sardineknot.InterruptedError{Offset: n, Reason: "abandoned by the caller"}
	case n > 0:
		return &sardineknot.InterruptedError{Offset: n, Reason: err.Error()}
	case used:
		return &sardineknot.FailedError{Reason: err.Error(), RetryAfter: retryAfter}
	case errors.As(err, &f):
		return f
	default:
		return &sardineknot.NotRunError{Reason: err.Error(), RetryAfter: retryAfter}
	}
}

// attempt runs q once, from the tokens that b has. used tells whether an
// engine was called.
func (r *Runner) attempt(ctx context.Context, q sardineknot.Request, b *buffer.Buffer, i int) (used bool, err error) {
	e := r.engineRequest(q, b, i)
	j := r.job(q, e)
	g, err := r.Slots.Acquire(ctx, j)
	if err != nil {
		return false, err
	}
	t := &trial{runner: r, job: j, request: e, server: g.Prefill}
	err = t.run(ctx, g, b)
	t.finish(err, len(b.Tokens()))
	return len(t.touched) > 0, err
}

func (r *Runner) engineRequest(q sardineknot.Request, b *buffer.Buffer, i int) sardineknot.EngineRequest {
	return sardineknot.EngineRequest{
		Key:              q.Key,
		Attempt:          i,
		Owner:            r.Self.ID,
		OwnerIncarnation: r.Self.Incarnation,
		Prompt:           q.Prompt,
		Prior:            b.Tokens(),
		MaxTokens:        q.MaxTokens,
		Priority:         q.Work.Priority,
	}
}

func (r *Runner) job(q sardineknot.Request, e sardineknot.EngineRequest) sardineknot.Job {
	return sardineknot.Job{
		Key:              e.JobKey(),
		Pool:             sardineknot.EnginePool(q.Work.Model, q.Work.Version),
		Work:             q.Work.Name,
		Zone:             r.Self.Zone,
		PromptTokens:     1 + len(q.Prompt)/bytesPerToken + len(e.Prior),
		Prefixes:         prefixes(q.Prompt),
		MaxTokens:        q.MaxTokens,
		Priority:         q.Work.Priority,
		Deadline:         q.Deadline,
		PerToken:         q.Work.PerToken,
		Owner:            e.Owner,
		OwnerIncarnation: e.OwnerIncarnation,
	}
}

// server returns the backend server n of the configuration in force.
func (r *Runner) server(n sardineknot.BackendServerName) (sardineknot.BackendServer, error) {
	for _, s := range r.Configuration.Current().BackendServers {
		if s.Name == n {
			return s, nil
		}
	}
	return sardineknot.BackendServer{}, errors.WithStack(&sardineknot.UnknownError{What: "BackendServer", Name: string(n)})
}

// cancel frees what s holds under k. It tries again until s confirms.
func (r *Runner) cancel(s sardineknot.BackendServer, k string) {
	for range cancelTries {
		err := r.Engine.Cancel(context.Background(), s, k)
		if err == nil {
			return
		}
		time.Sleep(cancelPause)
	}
	r.Log.Error().Str("event", "cancel_failed").Str("server", string(s.Name)).Str("request", k).Send()
}

// repeatable reports whether a new attempt may help after err.
func repeatable(err error) bool {
	var n *sardineknot.NotRunError
	return !errors.As(err, &n)
}

// prefixes returns a hash of every leading piece of p, shortest first.
func prefixes(p string) []uint64 {
	h := fnv.New64a()
	var l []uint64
	for len(p) >= prefixBytes {
		_, _ = io.WriteString(h, p[:prefixBytes])
		l = append(l, h.Sum64())
		p = p[prefixBytes:]
	}
	return l
}
