// Package plain passes calls on to plain services.
//
// An answer is read whole before any of it is passed on, so that a broken one
// can be replaced. A call that may be repeated is sent to another server if its
// outcome is unknown or a failure, as long as the route's attempts and the
// shared retry budget allow. Any call is sent to another server after one that
// said that it did not run it.
package plain

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/backend/breaker"
)

const (
	// maxTries bounds the servers that one call is offered to.
	maxTries = 4
	// queueTime is the time for which a call waits for a server with room.
	queueTime = 60 * time.Millisecond
	// queueLook is the time between two looks for one.
	queueLook = 10 * time.Millisecond
	// maxAnswerBytes bounds an answer.
	maxAnswerBytes = 16 << 20
)

// Runner is a sardineknot.CallRunner. All fields are set before use.
type Runner struct {
	// Source gives the backend servers.
	Source sardineknot.ConfigurationSource
	// Forwarder sends calls.
	Forwarder sardineknot.Forwarder
	// Servers picks servers.
	Servers *breaker.Set
	// Budget bounds the retries of a service.
	Budget sardineknot.RetryBudget
	// Clock gives the time.
	Clock sardineknot.Clock
	// Log takes an event for each retry.
	Log zerolog.Logger
}

var _ sardineknot.CallRunner = (*Runner)(nil)

// outcome is the result of sending a call to one server.
type outcome struct {
	reply *sardineknot.Reply
	body  []byte
	err   error
}

// good reports whether o is an answer that is not a failure.
func (o outcome) good() bool {
	return o.err == nil && o.reply.Status < http.StatusInternalServerError
}

// ran reports whether the call may have run.
func (o outcome) ran() bool {
	var r *sardineknot.RefusedError
	var u *sardineknot.UnsentError
	return !errors.As(o.err, &r) && !errors.As(o.err, &u)
}

// sent reports whether the call has reached the server.
func (o outcome) sent() bool {
	var u *sardineknot.UnsentError
	return !errors.As(o.err, &u)
}

// Run implements sardineknot.CallRunner.
func (r *Runner) Run(ctx context.Context, c *sardineknot.Call, w sardineknot.AnswerWriter) error {
	r.Budget.First(c.Service)
	t := make(map[sardineknot.BackendServerName]bool)
	var last outcome
	// a counts the servers on which the call may have run.
	for n, a := 0, 0; n < maxTries; n++ {
		s, err := r.pick(ctx, c, t)
		if err != nil {
			return r.give(w, last, err)
		}
		t[s.Name] = true
		o := r.send(ctx, s, c)
		if o.ran() {
			a++
		}
		if o.good() {
			return r.give(w, o, nil)
		}
		last = better(last, o)
		if !r.again(ctx, c, o, a) {
			break
		}
		r.Log.Info().Stringer("event", sardineknot.LogCallRetried).Str("request", string(c.ID)).Str("server", string(s.Name)).
			Bool("ran", o.ran()).AnErr("cause", o.err).Send()
	}
	return r.give(w, last, last.err)
}

// better returns the outcome to tell the caller of: an answer before an error,
// and one that may have run before one that did not.
func better(a, b outcome) outcome {
	switch {
	case a.reply == nil && a.err == nil:
		return b
	case b.err == nil:
		return b
	case a.err == nil || a.ran() && !b.ran():
		return a
	default:
		return b
	}
}

// pick waits for a server with room.
func (r *Runner) pick(ctx context.Context, c *sardineknot.Call, tried map[sardineknot.BackendServerName]bool) (sardineknot.BackendServer, error) {
	e := r.Clock.Now().Add(queueTime)
	for {
		l := r.Source.Current().Pool(sardineknot.PlainPool(c.Service))
		s, w, ok := r.Servers.Pick(r.Clock.Now(), l, tried)
		if ok {
			return s, nil
		}
		if ctx.Err() != nil || !r.Clock.Now().Before(e) {
			return s, errors.WithStack(&sardineknot.NotRunError{Reason: "no backend server has room", RetryAfter: w})
		}
		time.Sleep(queueLook)
	}
}

// send sends c to s and reads the whole answer.
func (r *Runner) send(ctx context.Context, s sardineknot.BackendServer, c *sardineknot.Call) outcome {
	p, err := r.Forwarder.Forward(ctx, s, c, sardineknot.Send{Deadline: c.Deadline, Fresh: !c.Route.Repeatable()})
	var b []byte
	if err == nil {
		b, err = readAll(s, p)
	}
	o := outcome{reply: p, body: b, err: err}
	r.done(ctx, s.Name, o)
	return o
}

// readAll returns the whole body of p. An answer that is too long is an error,
// since a part of it would look whole.
func readAll(s sardineknot.BackendServer, p *sardineknot.Reply) ([]byte, error) {
	defer p.Body.Close()
	b, err := io.ReadAll(io.LimitReader(p.Body, maxAnswerBytes+1))
	if err == nil && len(b) > maxAnswerBytes {
		err = errors.WithStack(&sardineknot.UnavailableError{Peer: string(s.Name), Cause: errTooLong})
	}
	return b, err
}

// errTooLong is the cause of an answer beyond maxAnswerBytes.
var errTooLong = errors.New("the answer is too long")

// done tells the picker what o says about the server s.
func (r *Runner) done(ctx context.Context, s sardineknot.BackendServerName, o outcome) {
	n := r.Clock.Now()
	switch {
	case o.good():
		r.Servers.Done(n, s, breaker.Succeeded)
	case o.err != nil && errors.Is(ctx.Err(), context.Canceled):
		r.Servers.Done(n, s, breaker.Abandoned)
	default:
		r.Servers.Done(n, s, breaker.Failed)
	}
}

// again reports whether c may be sent to another server after o.
func (r *Runner) again(ctx context.Context, c *sardineknot.Call, o outcome, ran int) bool {
	if ctx.Err() != nil {
		return false
	}
	if o.ran() && (!c.Route.Repeatable() || ran >= c.Route.Attempts) {
		return false
	}
	return !o.sent() || r.Budget.Retry(c.Service)
}

// give writes the answer of o, or fails with err if there is none.
func (r *Runner) give(w sardineknot.AnswerWriter, o outcome, err error) error {
	if o.reply == nil || o.err != nil {
		return notRun(o, err)
	}
	h := o.reply.Header.Clone()
	h.Set("Content-Length", strconv.Itoa(len(o.body)))
	w.Start(o.reply.Status, h)
	return w.Write(o.body)
}

// notRun returns err, as a NotRunError if the call did not run.
func notRun(o outcome, err error) error {
	if o.err != nil && o.ran() {
		return o.err
	}
	var n *sardineknot.NotRunError
	if errors.As(err, &n) {
		return err
	}
	return errors.WithStack(&sardineknot.NotRunError{Reason: err.Error(), RetryAfter: refusedRetry})
}

// refusedRetry is the time after which callers come back that were refused by
// the servers themselves.
const refusedRetry = 200 * time.Millisecond
