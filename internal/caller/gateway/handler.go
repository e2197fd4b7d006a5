// Package gateway serves the calls of callers that are forwarded to backend
// servers without changes. It matches each call to a route and runs it.
package gateway

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/backend/memory"
	"sardineknot.example/sardineknot/internal/caller/stopping"
)

const (
	// startRetryAfter is the Retry-After time of calls that are refused because
	// the host has no configuration yet.
	startRetryAfter = 300 * time.Millisecond
	// outdatedRetryAfter is the Retry-After time of calls whose route or key a host lacks
	// while its view is outdated. A host that is in touch with the store has it by then.
	outdatedRetryAfter = time.Second
	// maxConfigurationWait is the maximum time for which a call waits for the
	// first configuration.
	maxConfigurationWait = 700 * time.Millisecond
	// maxLimitWait bounds the wait of a call for its account's limit, and so does the
	// part 1/limitWaitParts of the latency target: a call that waits for longer may be
	// late, and its caller is better off with a refusal at once.
	maxLimitWait   = 100 * time.Millisecond
	limitWaitParts = 64
)

// Handler is an http.Handler that serves calls according to the routes of the
// configuration. All exported fields must be set before use.
type Handler struct {
	// Source provides the configuration, which contains the routes.
	Source sardineknot.ConfigurationSource
	// Decoder decodes the callers' HTTP requests.
	Decoder sardineknot.CallDecoder
	// Plain runs the calls of plain services, and Stream runs generations. Stream refuses those
	// that may not end before the host has stopped.
	Plain  sardineknot.CallRunner
	Stream sardineknot.CallRunner
	// Limiter keeps client accounts within their limits. Nil means that there are no
	// limits.
	Limiter sardineknot.AccountLimiter
	// Memory bounds the bodies of all calls together. Nil means that it has no bound.
	Memory *memory.Budget
	// ViewAge returns the time since the configuration and the servers that this host has
	// were last known to be current. Nil means that they always are.
	ViewAge func() time.Duration
	// Outdated reports whether routes and keys may exist that this host should have by now
	// and lacks. Nil means that it always returns false.
	Outdated func() bool
	// Stop is the schedule of the host's planned stop.
	Stop *stopping.Schedule
	// Clock returns the current time.
	Clock sardineknot.Clock
	// Log receives one event for each call.
	Log zerolog.Logger
	// Metrics receives the number of calls, by kind and status, and their
	// durations.
	Metrics metrics.Registry

	// active is the number of calls in progress.
	active atomic.Int64
}

// Active returns the number of calls in progress.
func (h *Handler) Active() int { return int(h.active.Load()) }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.active.Add(1)
	defer h.active.Add(-1)
	a := &answerWriter{writer: w, request: r, controller: http.NewResponseController(w), stop: h.Stop, clock: h.Clock}
	a.prepare()
	var held int64
	if h.Memory != nil {
		defer h.Memory.Release(&held)
	}
	c, err := h.admit(a, r, &held)
	if err != nil {
		h.refuse(a, r, err)
		return
	}
	h.run(a, c)
}

// admit validates r and returns its call. The body must arrive before the deadline of the
// call. It fails with a NotRunError if there
// is no configuration yet or the host stops too soon, with an UnknownError if no route matches, with an
// UnauthorizedError if r lacks the key of a client account (see denial), and with an
// InvalidError, a headerTooLargeError or an http.MaxBytesError if r violates the
// format or the limits.
func (h *Handler) admit(writer *answerWriter, r *http.Request, held *int64) (*sardineknot.Call, error) {
	n := h.Clock.Now()
	f := h.waitForConfiguration(r.Context())
	if f.Revision == 0 {
		return nil, errors.WithStack(&sardineknot.NotRunError{Reason: "no configuration yet", RetryAfter: startRetryAfter})
	}
	if n := headerSize(r); f.CallerLimits.HeaderBytes > 0 && n > f.CallerLimits.HeaderBytes {
		return nil, errors.WithStack(&headerTooLargeError{bytes: n})
	}
	p, _, _ := strings.Cut(r.RequestURI, "?")
	t := f.Route(hostName(r.Host), p)
	if t == nil {
		return nil, h.denial(&sardineknot.UnknownError{What: "Route", Name: p})
	}
	c, err := h.Decoder.DecodeCall(r, n)
	if err != nil {
		return nil, err
	}
	c.Route = t
	c.Revision, c.ViewAge = f.Revision, h.viewAge()
	if !authorize(f, c) {
		return nil, h.denial(&sardineknot.UnauthorizedError{})
	}
	c.Service = t.SelectService(xxhash.Sum64String(string(c.StreamID())))
	c.Deadline = n.Add(t.Timeout)
	if t.Timeout <= 0 || c.CallerDeadline.Before(c.Deadline) {
		c.Deadline = c.CallerDeadline
	}
	writer.limitBody(c.Deadline)
	c.Body, err = h.readBody(r, f.CallerLimits.BodyBytes, held)
	if err != nil {
		// net/http reads what is left of the body, up to the deadline.
		return nil, err
	}
	writer.limitBody(time.Time{})
	return c, h.checkTime(c)
}

// viewAge returns the result of ViewAge and records it in the metrics.
func (h *Handler) viewAge() time.Duration {
	if h.ViewAge == nil {
		return 0
	}
	d := h.ViewAge()
	metrics.GetOrRegisterTimer("store.view_age", h.Metrics).Update(d)
	return d
}

// denial returns err, the reason why a call is not allowed, or a NotRunError if a
// configuration that has not reached this host may allow it.
func (h *Handler) denial(err error) error {
	if h.Outdated != nil && h.Outdated() {
		return errors.WithStack(&sardineknot.NotRunError{Reason: "the configuration may be outdated: " + err.Error(), RetryAfter: outdatedRetryAfter})
	}
	return errors.WithStack(err)
}

// authorize sets the client account of call to the one that its key belongs to. It
// returns false if there is none and call needs one under configuration.
func authorize(configuration *sardineknot.Configuration, call *sardineknot.Call) bool {
	if len(configuration.Accounts) == 0 || call.Route.Public {
		return true
	}
	a, ok := configuration.AccountByKey(call.Key)
	if !ok {
		return false
	}
	call.Account = a
	return true
}

// waitForConfiguration returns the configuration in force. If there is none
// yet, it waits for up to maxConfigurationWait: on a host that has just
// started, a short wait serves the call sooner than a retry by the caller
// would. The returned configuration has revision zero if none has come into
// force by then.
func (h *Handler) waitForConfiguration(ctx context.Context) *sardineknot.Configuration {
	ctx, cancel := context.WithTimeout(ctx, maxConfigurationWait)
	defer cancel()
	for {
		n := h.Source.Changed()
		f := h.Source.Current()
		if f.Revision > 0 {
			return f
		}
		select {
		case <-n:
		case <-ctx.Done():
			return f
		}
	}
}

// headerSize returns the size of the request line and the header fields of r,
// in bytes. It does not count separators and line ends.
func headerSize(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for k, l := range r.Header {
		for _, v := range l {
			n += len(k) + len(v)
		}
	}
	return n
}

// hostName returns the host in address, which may end with a port.
func hostName(address string) string {
	n, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return n
}

// run runs call and writes its answer. If call fails before the header has been
// sent, run sends the error status instead. If call fails later, run panics
// with http.ErrAbortHandler.
func (h *Handler) run(writer *answerWriter, call *sardineknot.Call) {
	ctx, cancel := context.WithDeadline(writer.request.Context(), call.Deadline)
	defer cancel()
	ctx, stop := h.limitUntilHeader(ctx, writer)
	defer stop()
	err := h.runWithinLimit(ctx, writer, call)
	b := writer.started
	if err != nil && !b {
		h.sendError(writer, err)
	}
	h.record(call, writer.status, err)
	if err != nil && b {
		// Aborting the connection prevents the caller from mistaking the partial
		// answer for a complete one.
		writer.abort()
	}
	writer.unfinished.end()
}

// runWithinLimit takes the cost of call from the limit of its client account and
// runs it. The cost is given back if call has not run.
func (h *Handler) runWithinLimit(ctx context.Context, writer *answerWriter, call *sardineknot.Call) error {
	q := h.Plain
	if call.Generation != nil {
		q = h.Stream
	}
	if h.Limiter == nil || call.Account == nil || call.Account.Limit.PerSecond <= 0 {
		return q.Run(ctx, call, writer)
	}
	n := call.Account.Limit.Cost(call.Tokens)
	err := h.Limiter.Admit(ctx, call.Account, n, limitWait(call))
	if err != nil {
		return err
	}
	err = q.Run(ctx, call, writer)
	if notRun(err) {
		h.Limiter.Refund(call.Account, n)
	}
	return err
}

// limitWait returns the time for which call may wait for its account's limit.
func limitWait(call *sardineknot.Call) time.Duration {
	if call.Route.Target <= 0 {
		return maxLimitWait
	}
	return min(maxLimitWait, call.Route.Target/limitWaitParts)
}

// notRun reports whether err guarantees that the call did not run.
func notRun(err error) bool {
	var n *sardineknot.NotRunError
	var u *sardineknot.UnauthorizedError
	return errors.As(err, &n) || errors.As(err, &u)
}

// record logs the end of call and updates the metrics. err is nil if the answer
// was written completely.
func (h *Handler) record(call *sardineknot.Call, status int, err error) {
	n := h.Clock.Now()
	d := n.Sub(call.ArrivedAt)
	metrics.GetOrRegisterCounter("calls{kind="+string(call.Route.Kind)+",status="+strconv.Itoa(status)+"}", h.Metrics).Inc(1)
	metrics.GetOrRegisterTimer("call{kind="+string(call.Route.Kind)+"}", h.Metrics).Update(d)
	e := h.Log.Info()
	if err != nil {
		e = h.Log.Warn().Err(err)
	}
	e.Stringer("event", sardineknot.LogCallEnded).Str("request", string(call.ID)).Str("account", string(call.AccountName())).Str("route", string(call.Route.Name)).Int64("revision", int64(call.Revision)).
		Dur("view_ms", call.ViewAge).Str("service", string(call.Service)).Int("status", status).Dur("took_ms", d).Func(h.logStop(n)).Send()
}
