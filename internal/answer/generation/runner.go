// Package generation produces the answer to a generation request: it acquires
// engines, runs the prefill, transfers the KV cache, decodes, and recovers from
// failures. It serves the entry host in package process; package events is the
// counterpart for the entry host in package gateway.
//
// An interrupted stream is first resumed on the same engine over a new
// connection. If that fails, a new attempt continues from the tokens generated
// so far, within the deadline and the retry budget. A silent engine may go on, so
// such an attempt is made beside it, and the one that has the next token first goes
// on. The requests that a failed attempt left on engines are cancelled. If the
// entry host that produced an answer fails, another host takes over the stream
// from the engine.
//
// Attempts of a request are numbered across all its runs on all entry hosts, so
// that a request that an engine still holds for one attempt is never mistaken
// for a request of another attempt.
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
	"sardineknot.example/sardineknot/internal/answer/pause"
	"sardineknot.example/sardineknot/internal/backend/budget"
	"sardineknot.example/sardineknot/internal/host/clock"
)

const (
	// maxAttempts bounds the attempts of one run. The first attempt of a later
	// run has the number of the last recorded attempt plus maxAttempts, so that
	// no number is used twice.
	maxAttempts = 4
	// maxResumes is the number of resumptions without a new token after which an
	// attempt gives up its engine.
	maxResumes = 2
	// retryAfter is the Retry-After time of failed requests.
	retryAfter = time.Second
	// firstBackoff is the mean backoff before the second attempt. It doubles
	// with each further attempt.
	firstBackoff = 20 * time.Millisecond
	// maxTransferTime bounds the time from the start of a decode to its first
	// token.
	maxTransferTime = 5 * time.Second
	// registerTimeout bounds the wait for the directory before tokens are
	// relayed.
	registerTimeout = 250 * time.Millisecond
)

// errDeadline is the cancellation cause of an attempt that produced no token by
// the deadline.
var errDeadline = errors.New("no token by the deadline")

// Runner produces answers. It is safe for concurrent use. All exported fields
// must be set before use.
type Runner struct {
	// Self returns this entry host with its current incarnation.
	Self func() sardineknot.EntryHost
	// Engine calls engines.
	Engine sardineknot.EngineClient
	// Slots grants engines to attempts.
	Slots sardineknot.SlotPool
	// Directory records which host produces each answer.
	Directory sardineknot.AnswerDirectory
	// Configuration provides the addresses of engines.
	Configuration sardineknot.ConfigurationSource
	// Cancellations queues the cancellation of the requests that failed
	// attempts leave on engines.
	Cancellations *cancel.Queue
	// Retries limits the attempts after the first.
	Retries *budget.Budget
	// PauseDetector counts the pauses of this process.
	PauseDetector *pause.Detector
	// Clock returns the current time.
	Clock sardineknot.Clock
	// Random adds jitter to the backoff.
	Random *rand.Rand
	// Log receives an event for each failed attempt and each recovery.
	Log zerolog.Logger

	// mu guards Random.
	mu sync.Mutex
}

// run is the state of one run of a request on this host.
type run struct {
	*Runner
	request sardineknot.Request
	buffer  *buffer.Buffer
	// offset is the number of tokens that the caller already had when it sent
	// the request.
	offset int
	// record is the directory record of this run.
	record sardineknot.AnswerRecord
	// engineCalled is set once the run has called an engine, so that the
	// request may have run.
	engineCalled bool
	// reservation decides whether an attempt may follow the current one.
	reservation reservation
	// index is the number of attempts before the last one.
	index int
	// outer holds the attempts of the run if they are made beside one of another
	// run. It is nil otherwise.
	outer *beside
	// joined is set once all attempts that may follow the current one were made
	// beside it.
	joined bool
}

// Run produces the answer to q in b and then ends b. offset is the number of
// tokens that the caller already has. If another host produces the answer, b
// ends with a ProducedElsewhereError. If ctx is done, Run returns early, after
// queuing the cancellation of whatever engines hold for the request.
func (r *Runner) Run(ctx context.Context, q sardineknot.Request, b *buffer.Buffer, offset int) {
	n := &run{Runner: r, request: q, buffer: b, offset: offset}
	s := r.Self()
	n.record = sardineknot.AnswerRecord{
		Key:         q.Key,
		Host:        s.ID,
		Incarnation: s.Incarnation,
		PeerAddress: s.PeerAddress,
	}
	b.End(n.finalError(ctx, n.produce(ctx)))
}

// produce takes over the answer of a dead host or runs the request. It returns
// nil after the last token.
func (n *run) produce(ctx context.Context) error {
	p, err := n.registerInitial(ctx)
	if err != nil {
		return err
	}
	if p != nil {
		n.record.Attempt = p.Attempt + maxAttempts
	}
	if p != nil && n.canTakeOver(*p) {
		err = n.takeOver(ctx, *p)
		if err == nil || ctx.Err() != nil {
			return err
		}
	}
	if !n.canRestart() {
		return errors.WithStack(&sardineknot.AnswerLostError{Key: n.request.Key, Offset: n.offset})
	}
	n.Retries.RecordCall()
	return n.runAttempts(ctx, p != nil)
}

// runAttempts makes attempts until one succeeds or no further one is allowed.
// unregistered reports whether the number of the first attempt still has to be
// registered with the directory.
func (n *run) runAttempts(ctx context.Context, unregistered bool) error {
	var err error
	for f := n.index; n.index < maxAttempts; n.index++ {
		i := n.index
		n.reservation.start(i)
		if i > f {
			n.record.Attempt++
			n.record.DecodeEngine = ""
		}
		if i > f || unregistered {
			err = n.updateRecord(ctx)
		}
		if err == nil {
			err = n.runAttempt(ctx)
		}
		if err == nil || ctx.Err() != nil || !isRetryable(err) {
			return err
		}
		n.Log.Warn().Stringer("event", sardineknot.LogAttemptFailed).Str("request", n.request.Key.String()).Int("attempt", n.record.Attempt).Err(err).Send()
		if n.joined || !n.mayRetry(ctx, n.index) {
			return err
		}
	}
	return err
}

// mayRetry waits for the backoff after attempt i and reports whether another
// attempt may follow. It reports false if maxAttempts is reached, the backoff
// passes the deadline, the retry budget is exhausted or ctx is done.
func (n *run) mayRetry(ctx context.Context, i int) bool {
	p := n.backoff(i)
	if n.Clock.Now().Add(p).After(n.deadline()) || !n.reserveRetry() {
		return false
	}
	return clock.System{}.Sleep(ctx, p) == nil
}

// backoff returns the backoff after attempt i, uniformly distributed between
// half and three halves of its mean.
func (r *Runner) backoff(i int) time.Duration {
	m := firstBackoff << i
	r.mu.Lock()
	defer r.mu.Unlock()
	return m/2 + time.Duration(r.Random.Int64N(int64(m)))
}

// deadline returns the time by which the next token is due. As long as the
// answer has no tokens, this is the deadline of the request, after which the
// first token is of no use to the caller. Once the answer has tokens, the caller
// may have received some of them and can still use the rest, so the next token
// is due within the latency target of a first token, counted from now.
func (n *run) deadline() time.Time {
	if n.buffer.Len() > 0 {
		return n.Clock.Now().Add(n.request.Work.FirstToken)
	}
	return n.request.Deadline
}

// finalError returns the error with which to end the answer, given the error of
// its production. It is io.EOF for a complete answer.
func (n *run) finalError(ctx context.Context, err error) error {
	o := n.buffer.Len()
	var f *sardineknot.NotRunError
	var l *sardineknot.AnswerLostError
	var e *sardineknot.ProducedElsewhereError
	var d *sardineknot.DeliveryTakenOverError
	switch {
	case err == nil:
		return io.EOF
	case errors.As(err, &l), errors.As(err, &e), errors.As(err, &d):
		return err
	case ctx.Err() != nil:
		return &sardineknot.InterruptedError{Offset: o, Reason: "abandoned by the caller"}
	case o > 0:
		return &sardineknot.InterruptedError{Offset: o, Reason: err.Error()}
	case n.engineCalled:
		return &sardineknot.RequestFailedError{Reason: err.Error(), RetryAfter: retryAfter}
	case errors.As(err, &f):
		return f
	default:
		return &sardineknot.NotRunError{Reason: err.Error(), RetryAfter: retryAfter}
	}
}

// server returns the backend server n of the current configuration, or an
// UnknownError.
func (r *Runner) server(n sardineknot.BackendServerName) (sardineknot.BackendServer, error) {
	for _, s := range r.Configuration.Current().BackendServers {
		if s.Name == n {
			return s, nil
		}
	}
	return sardineknot.BackendServer{}, errors.WithStack(&sardineknot.UnknownError{What: "BackendServer", Name: string(n)})
}

// isRetryable reports whether another attempt can succeed after one that failed
// with err.
func isRetryable(err error) bool {
	var n *sardineknot.NotRunError
	var e *sardineknot.ProducedElsewhereError
	var d *sardineknot.DeliveryTakenOverError
	return !errors.As(err, &n) && !errors.As(err, &e) && !errors.As(err, &d) && !errors.Is(err, errDeadline)
}
