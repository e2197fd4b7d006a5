// Package generation produces the answer to a generation: it acquires engines,
// prefills, has the KV cache transferred, decodes, and goes on after failures.
//
// A stream that breaks off is resumed on the same engine over a new
// connection. If that fails, a new attempt starts with the tokens that exist,
// within the deadline and the budget of retries. Whatever an attempt left on an
// engine is cancelled. An answer that a dead entry host has begun is taken over
// with its engine.
//
// Attempts of a request are numbered over all its runs on all entry hosts, so
// that what is left of one attempt is never taken for another.
package generation

import (
	"context"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/answer/buffer"
	"sardineknot.example/sardineknot/internal/answer/cancel"
	"sardineknot.example/sardineknot/internal/answer/pulse"
	"sardineknot.example/sardineknot/internal/backend/budget"
)

const (
	// maxAttempts bounds the attempts of one run. The numbers of a later run
	// start that much higher.
	maxAttempts = 4
	// maxResumes bounds the resumptions of one attempt without a new token.
	maxResumes = 2
	// retryAfter is the time that callers wait after a failure.
	retryAfter = time.Second
	// firstBackoff is the mean pause before the second attempt. It doubles
	// with each attempt.
	firstBackoff = 20 * time.Millisecond
	// maxTransfer bounds the time from the start of a decode to its first
	// token.
	maxTransfer = 5 * time.Second
	// recordWait bounds the wait for the directory before the first token.
	recordWait = 250 * time.Millisecond
)

// errDeadline is the cause of a context that ended because no token was there
// by the deadline.
var errDeadline = errors.New("no token by the deadline")

// Runner produces answers. It is safe for concurrent use. All exported fields
// are set before use.
type Runner struct {
	// Self returns this entry host with its present incarnation.
	Self func() sardineknot.EntryHost
	// Engine calls engines.
	Engine sardineknot.Engine
	// Slots grants engines.
	Slots sardineknot.SlotPool
	// Directory tells where answers are produced.
	Directory sardineknot.AnswerDirectory
	// Configuration gives the addresses of engines.
	Configuration sardineknot.ConfigurationSource
	// Cancels frees what attempts leave on engines.
	Cancels *cancel.Queue
	// Retries bounds the attempts after the first.
	Retries *budget.Budget
	// Pulse counts the pauses of this process.
	Pulse *pulse.Pulse
	// Clock gives the time.
	Clock sardineknot.Clock
	// Random varies the pauses between attempts.
	Random *rand.Rand
	// Log takes one event for each attempt and failure.
	Log zerolog.Logger

	// mu guards Random.
	mu sync.Mutex
}

// run is one run of a request on this host.
type run struct {
	*Runner
	request sardineknot.Request
	buffer  *buffer.Buffer
	// offset is the number of tokens that the caller has.
	offset int
	// record is what the directory holds.
	record sardineknot.AnswerRecord
	// used tells that an engine was called.
	used bool
}

// Run produces the answer to q in b and ends b. offset is the number of tokens
// that the caller has. If another host produces the answer, b ends with an
// ElsewhereError. Run returns early when ctx is done, after it has seen to the
// cancellation of what engines hold.
func (r *Runner) Run(ctx context.Context, q sardineknot.Request, b *buffer.Buffer, offset int) {
	n := &run{Runner: r, request: q, buffer: b, offset: offset}
	s := r.Self()
	n.record = sardineknot.AnswerRecord{
		Key:         q.Key,
		Host:        s.ID,
		Incarnation: s.Incarnation,
		PeerAddress: s.PeerAddress,
	}
	b.End(n.final(ctx, n.produce(ctx)))
}

// produce runs the request, or takes it over from a dead host. It returns nil
// after the last token.
func (n *run) produce(ctx context.Context) error {
	p, err := n.registerFirst(ctx)
	if err != nil {
		return err
	}
	if p != nil {
		n.record.Attempt = p.Attempt + maxAttempts
	}
	if p != nil && n.inherits(*p) {
		err = n.takeOver(ctx, *p)
		if err == nil || ctx.Err() != nil {
			return err
		}
	}
	if n.buffer.Len() < n.offset || !n.buffer.Complete() {
		return errors.WithStack(&sardineknot.LostError{Key: n.request.Key, Offset: n.offset})
	}
	n.Retries.First()
	return n.attempts(ctx, p != nil)
}

// attempts runs the request until it succeeds or must not be retried.
// numbered tells that the directory does not know the attempt's number yet.
func (n *run) attempts(ctx context.Context, numbered bool) error {
	var err error
	for i := range maxAttempts {
		if i > 0 {
			n.record.Attempt++
			n.record.Decode = ""
		}
		if i > 0 || numbered {
			err = n.register(ctx)
		}
		if err == nil {
			err = n.attempt(ctx)
		}
		if err == nil || ctx.Err() != nil || !repeatable(err) {
			return err
		}
		n.Log.Warn().Stringer("event", sardineknot.LogAttemptFailed).Str("request", n.request.Key.String()).Int("attempt", n.record.Attempt).Err(err).Send()
		if i+1 == maxAttempts || !n.mayRetry(ctx, i) {
			return err
		}
	}
	return err
}

// mayRetry reports whether an attempt may follow attempt i, after a pause.
func (n *run) mayRetry(ctx context.Context, i int) bool {
	p := n.backoff(i)
	if n.Clock.Now().Add(p).After(n.deadline()) || !n.Retries.Retry() {
		return false
	}
	t := time.NewTimer(p)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// backoff returns a pause between half and three halves of its mean.
func (r *Runner) backoff(i int) time.Duration {
	m := firstBackoff << i
	r.mu.Lock()
	defer r.mu.Unlock()
	return m/2 + time.Duration(r.Random.Int64N(int64(m)))
}

// deadline returns the time by which the next token is due. Once the caller
// may have tokens, the target of the first token counts from now.
func (n *run) deadline() time.Time {
	if n.buffer.Len() > 0 {
		return n.Clock.Now().Add(n.request.Work.FirstToken)
	}
	return n.request.Deadline
}

// final returns the end of an answer whose production returned err.
func (n *run) final(ctx context.Context, err error) error {
	o := n.buffer.Len()
	var f *sardineknot.NotRunError
	var l *sardineknot.LostError
	var e *sardineknot.ElsewhereError
	var d *sardineknot.DisplacedError
	switch {
	case err == nil:
		return io.EOF
	case errors.As(err, &l), errors.As(err, &e), errors.As(err, &d):
		return err
	case ctx.Err() != nil:
		return &sardineknot.InterruptedError{Offset: o, Reason: "abandoned by the caller"}
	case o > 0:
		return &sardineknot.InterruptedError{Offset: o, Reason: err.Error()}
	case n.used:
		return &sardineknot.FailedError{Reason: err.Error(), RetryAfter: retryAfter}
	case errors.As(err, &f):
		return f
	default:
		return &sardineknot.NotRunError{Reason: err.Error(), RetryAfter: retryAfter}
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

// repeatable reports whether a new attempt may help after err.
func repeatable(err error) bool {
	var n *sardineknot.NotRunError
	var e *sardineknot.ElsewhereError
	var d *sardineknot.DisplacedError
	return !errors.As(err, &n) && !errors.As(err, &e) && !errors.As(err, &d) && !errors.Is(err, errDeadline)
}
