// Package plain relays calls to plain services. It serves the entry host in
// package gateway; package service is the counterpart for the entry host in
// package process.
//
// An answer is read completely before any of it is sent to the caller, so that
// a truncated answer can be replaced. If the outcome of a repeatable call is
// unknown or a server error, the call is sent to another server, as long as the
// route's attempts and the shared retry budget allow it. Any call is sent to
// another server if the first server reported that it did not run the call.
package plain

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/backend/backoff"
	"sardineknot.example/sardineknot/internal/backend/breaker"
	"sardineknot.example/sardineknot/internal/backend/memory"
)

const (
	// maxAttempts bounds the number of times that one call is sent to a server.
	maxAttempts = 4
	// queueTimeout bounds the wait of a call for a server with free capacity.
	queueTimeout = 60 * time.Millisecond
	// queuePollInterval is the interval at which a waiting call tries again to
	// find a server.
	queuePollInterval = 10 * time.Millisecond
	// maxOverdueTime is an upper bound of the time after which a call without an answer
	// is overdue.
	maxOverdueTime = 500 * time.Millisecond
	// noCapacity is the reason of the NotRunError of a call that found no server with
	// free capacity.
	noCapacity = "no backend server has free capacity"
)

// Runner relays calls to plain services. It implements sardineknot.CallRunner.
// All fields but Places must be set before use.
type Runner struct {
	// Source provides the backend servers.
	Source sardineknot.ConfigurationSource
	// Forwarder sends calls to backend servers.
	Forwarder sardineknot.Forwarder
	// Circuits selects backend servers by their circuit breakers.
	Circuits *breaker.Set
	// Backoffs records which backend servers want no calls from this host.
	Backoffs *backoff.Set
	// Guard keeps calls from servers that would crash them.
	Guard sardineknot.CrashGuard
	// Places assigns calls to servers while they are contended. Nil means that this
	// host always decides alone.
	Places sardineknot.PlaceAllocator
	// Budget limits the retries of each service.
	Budget sardineknot.RetryBudget
	// Memory bounds the memory of all answers together.
	Memory *memory.Budget
	// Clock returns the current time.
	Clock sardineknot.Clock
	// Log receives an event for each retry.
	Log zerolog.Logger
}

var _ sardineknot.CallRunner = (*Runner)(nil)

// outcome is the result of sending a call to one server. err is nil if the
// whole answer was read.
type outcome struct {
	reply *sardineknot.Response
	body  answer
	err   error
}

// succeeded reports whether o is a complete answer that is not a server error.
func (o outcome) succeeded() bool {
	return o.err == nil && o.reply.Status < http.StatusInternalServerError
}

// mayHaveRun reports whether the server may have run the call.
func (o outcome) mayHaveRun() bool {
	var r *sardineknot.RefusedError
	return !errors.As(o.err, &r) && o.mayHaveReached()
}

// notAllowed reports whether the call was not sent because the server takes no
// calls from this host for some time.
func (o outcome) notAllowed() bool {
	var b *sardineknot.BackedOffError
	return errors.As(o.err, &b)
}

// mayHaveReached reports whether any part of the call may have reached the
// server.
func (o outcome) mayHaveReached() bool {
	var u *sardineknot.UnsentError
	return !errors.As(o.err, &u) && !o.notAllowed()
}

// Run implements sardineknot.CallRunner.
func (r *Runner) Run(ctx context.Context, c *sardineknot.Call, w sardineknot.AnswerWriter) error {
	r.Budget.RecordCall(c.Service)
	t := make(map[sardineknot.BackendServerName]bool)
	var l []outcome
	defer func() { r.release(l) }()
	var last outcome
	// a counts the servers that may have run the call.
	for n, a := 0, 0; n < maxAttempts; n++ {
		p, err := r.admit(ctx, c, t)
		if err != nil {
			return r.finish(w, last, err)
		}
		s := p.server
		t[s.Name] = true
		o := r.send(ctx, p, c)
		l = append(l, o)
		if o.mayHaveRun() {
			a++
		}
		if o.succeeded() {
			return r.finish(w, o, nil)
		}
		last = preferred(last, o)
		if !r.mayRetry(ctx, c, o, a) {
			break
		}
		r.Log.Info().Stringer("event", sardineknot.LogCallRetried).Str("request", string(c.ID)).Str("server", string(s.Name)).
			Bool("ran", o.mayHaveRun()).Bool("assigned", p.place.Epoch != 0).AnErr("cause", o.err).Send()
	}
	return r.finish(w, last, last.err)
}

// release gives the memory of the answers of outcomes back.
func (r *Runner) release(outcomes []outcome) {
	for _, o := range outcomes {
		r.Memory.Release(&o.body.held)
	}
}

// preferred returns the outcome to report to the caller: an answer rather than
// an error, and an error of a call that may have run rather than one of a call
// that did not.
func preferred(a, b outcome) outcome {
	switch {
	case a.reply == nil && a.err == nil:
		return b
	case b.err == nil:
		return b
	case a.err == nil || a.mayHaveRun() && !b.mayHaveRun():
		return a
	default:
		return b
	}
}

// admit selects a server for c as assign does. It fails at once with a NotRunError if
// no server may get c, with an UnauthorizedError if the key of c was withdrawn
// while c waited, and with context.DeadlineExceeded if its deadline has passed.
func (r *Runner) admit(ctx context.Context, c *sardineknot.Call, tried map[sardineknot.BackendServerName]bool) (assignment, error) {
	err := r.Guard.Check(c)
	if err != nil {
		return assignment{}, err
	}
	a, err := r.assign(ctx, c, tried)
	if err != nil {
		return a, err
	}
	// The process may have been paused, so that ctx is not done yet.
	if c.Overdue(r.Clock.Now()) {
		r.abandon(a)
		return assignment{}, errors.WithStack(context.DeadlineExceeded)
	}
	if !r.Source.Current().Admits(c) {
		r.abandon(a)
		return assignment{}, errors.WithStack(&sardineknot.UnauthorizedError{})
	}
	return a, nil
}

// pick selects a server with free capacity, preferably one that is not in
// tried. It waits for one up to queueTimeout and then fails with a NotRunError. It
// fails at once if every server has asked for no calls.
func (r *Runner) pick(ctx context.Context, c *sardineknot.Call, tried map[sardineknot.BackendServerName]bool) (sardineknot.BackendServer, error) {
	e := r.Clock.Now().Add(queueTimeout)
	for {
		l := r.Source.Current().AcceptingServers(sardineknot.PlainPoolName(c.Service))
		a, d := r.Backoffs.Available(r.Clock.Now(), l)
		if d > 0 {
			return sardineknot.BackendServer{}, errors.WithStack(r.Backoffs.Refusal(d))
		}
		s, w, ok := r.Circuits.Pick(r.Clock.Now(), a, tried)
		if ok {
			return s, nil
		}
		if ctx.Err() != nil || !r.Clock.Now().Before(e) {
			return s, errors.WithStack(&sardineknot.NotRunError{Reason: noCapacity, RetryAfter: w})
		}
		time.Sleep(queuePollInterval)
	}
}

// send sends c to the server of a, reads the whole answer and records the result with
// the circuit breaker of the server.
func (r *Runner) send(ctx context.Context, a assignment, c *sardineknot.Call) outcome {
	n, s := r.Clock.Now(), a.server
	a = r.begin(a)
	p, err := r.Forwarder.Forward(ctx, s, c, sardineknot.ForwardOptions{Deadline: c.Deadline, FreshConnection: !c.Route.Repeatable()})
	var b answer
	if err == nil {
		b, err = r.readAnswer(s, p)
	}
	o := outcome{reply: p, body: b, err: err}
	r.recordOutcome(ctx, s.Name, c, n, o)
	r.end(a, o)
	r.reportCrash(ctx, s, c, o, n)
	return o
}

// recordOutcome records o, the outcome of c, which was sent to server at the time sentAt,
// with the circuit breaker of the server. A call that was not sent, or whose caller has
// disconnected before it was overdue, counts neither as success nor as failure.
func (r *Runner) recordOutcome(ctx context.Context, server sardineknot.BackendServerName, c *sardineknot.Call, sentAt time.Time, o outcome) {
	n := r.Clock.Now()
	switch {
	case o.succeeded():
		r.Circuits.Done(n, server, breaker.Succeeded)
	case o.notAllowed():
		r.Circuits.Done(n, server, breaker.Abandoned)
	case o.err == nil || !errors.Is(ctx.Err(), context.Canceled):
		r.Circuits.Done(n, server, breaker.Failed)
	case o.mayHaveRun() && n.Sub(sentAt) >= overdueTime(c, sentAt):
		r.Circuits.Unanswered(n, sentAt, server)
	default:
		r.Circuits.Done(n, server, breaker.Abandoned)
	}
}

// overdueTime returns the time after which a call without an answer, sent at the time
// sentAt, shows that its server may give none.
func overdueTime(c *sardineknot.Call, sentAt time.Time) time.Duration {
	return min(maxOverdueTime, c.Deadline.Sub(sentAt)/2)
}

// mayRetry reports whether c may be sent to another server after the outcome o.
// ran is the number of servers that may have run c. Only calls that may have
// reached a server consume retry budget.
func (r *Runner) mayRetry(ctx context.Context, c *sardineknot.Call, o outcome, ran int) bool {
	if ctx.Err() != nil {
		return false
	}
	if o.mayHaveRun() && (!c.Route.Repeatable() || ran >= c.Route.Attempts) {
		return false
	}
	return !o.mayHaveReached() || r.Budget.AllowRetry(c.Service)
}

// finish writes the answer of o to w, or returns the error of the call if o has
// no complete answer.
func (r *Runner) finish(w sardineknot.AnswerWriter, o outcome, err error) error {
	if o.reply == nil || o.err != nil {
		return finalError(o, err)
	}
	h := o.reply.Header.Clone()
	h.Set("Content-Length", strconv.Itoa(o.body.length))
	w.SendHeader(o.reply.Status, h)
	return o.body.write(w)
}

// finalError returns the error of o if the call may have run, and err as a
// NotRunError otherwise.
func finalError(o outcome, err error) error {
	if o.err != nil && o.mayHaveRun() {
		return o.err
	}
	var n *sardineknot.NotRunError
	var u *sardineknot.UnauthorizedError
	if errors.As(err, &n) || errors.As(err, &u) {
		return err
	}
	return errors.WithStack(&sardineknot.NotRunError{Reason: err.Error(), RetryAfter: refusedRetryAfter})
}

// refusedRetryAfter is the Retry-After time of calls that the servers refused
// or that could not be sent to them.
const refusedRetryAfter = 200 * time.Millisecond
