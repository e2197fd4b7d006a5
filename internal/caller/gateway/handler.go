// Package gateway takes calls that are passed on unchanged, finds their routes
// and has them answered.
package gateway

import (
	"context"
	"io"
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
)

const (
	// startRetry is the time after which callers come back to a host that has
	// no configuration yet.
	startRetry = 300 * time.Millisecond
	// startWait is the time for which a call waits for the first configuration.
	startWait = 700 * time.Millisecond
	// defaultBodyBytes bounds bodies while the configuration has no limit.
	defaultBodyBytes = 4 << 20
)

// Handler is an http.Handler. Its exported fields are set before use.
type Handler struct {
	// Source gives the routes.
	Source sardineknot.ConfigurationSource
	// Decoder decodes the requests of callers.
	Decoder sardineknot.CallDecoder
	// Plain and Stream answer the calls of plain services and of engines.
	Plain  sardineknot.CallRunner
	Stream sardineknot.CallRunner
	// Clock gives the time.
	Clock sardineknot.Clock
	// Log takes an event for each call.
	Log zerolog.Logger
	// Metrics takes the counts of calls by outcome.
	Metrics metrics.Registry

	// leaving tells that the host is about to stop.
	leaving atomic.Bool
	active  atomic.Int64
}

// Leave has callers open their next connection elsewhere.
func (h *Handler) Leave() { h.leaving.Store(true) }

// Active returns the number of calls that have not ended.
func (h *Handler) Active() int { return int(h.active.Load()) }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.active.Add(1)
	defer h.active.Add(-1)
	a := &answer{writer: w, controller: http.NewResponseController(w)}
	a.prepare(h.leaving.Load())
	c, err := h.admit(r)
	if err != nil {
		h.refuse(a, r, err)
		return
	}
	h.answer(r.Context(), a, c)
}

// admit returns the call of r.
func (h *Handler) admit(r *http.Request) (*sardineknot.Call, error) {
	n := h.Clock.Now()
	f := h.configuration(r.Context())
	if f.Revision == 0 {
		return nil, errors.WithStack(&sardineknot.NotRunError{Reason: "no configuration yet", RetryAfter: startRetry})
	}
	if n := headerBytes(r); f.CallerLimits.HeaderBytes > 0 && n > f.CallerLimits.HeaderBytes {
		return nil, errors.WithStack(&headerError{bytes: n})
	}
	p, _, _ := strings.Cut(r.RequestURI, "?")
	t := f.Route(hostName(r.Host), p)
	if t == nil {
		return nil, errors.WithStack(&sardineknot.UnknownError{What: "Route", Name: p})
	}
	c, err := h.Decoder.DecodeCall(r, n)
	if err != nil {
		return nil, err
	}
	c.Route = t
	c.Revision = f.Revision
	c.Service = t.SelectService(xxhash.Sum64String(string(c.ID)))
	c.Deadline = n.Add(t.Timeout)
	if t.Timeout <= 0 || c.CallerDeadline.Before(c.Deadline) {
		c.Deadline = c.CallerDeadline
	}
	c.Body, err = readBody(r, f.CallerLimits.BodyBytes)
	return c, err
}

// configuration returns the configuration in force. A host that has just
// started waits for its first one, since that is quicker than another try of
// the caller.
func (h *Handler) configuration(ctx context.Context) *sardineknot.Configuration {
	ctx, cancel := context.WithTimeout(ctx, startWait)
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

// readBody returns the whole body of r. It fails with an http.MaxBytesError if
// the body is longer than limit.
func readBody(r *http.Request, limit int64) ([]byte, error) {
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	b, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, limit))
	return b, errors.WithStack(err)
}

// headerError reports a head that is longer than allowed.
type headerError struct {
	bytes int
}

// Error implements error.
func (e *headerError) Error() string { return "the head has " + strconv.Itoa(e.bytes) + " bytes" }

// headerBytes returns the length of the head of r, in bytes, without what the
// lines need besides names and values.
func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for k, l := range r.Header {
		for _, v := range l {
			n += len(k) + len(v)
		}
	}
	return n
}

func hostName(h string) string {
	n, _, err := net.SplitHostPort(h)
	if err != nil {
		return h
	}
	return n
}

// answer has c answered and tells the caller if that fails.
func (h *Handler) answer(ctx context.Context, a *answer, c *sardineknot.Call) {
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	q := h.Plain
	if c.Generation != nil {
		q = h.Stream
	}
	err := q.Run(ctx, c, a)
	b := a.started
	if err != nil && !b {
		h.fail(a, err)
	}
	h.note(c, a.status, err)
	if err != nil && b {
		// The connection is cut, so that the answer does not look whole.
		panic(http.ErrAbortHandler)
	}
}

// note records how c ended.
func (h *Handler) note(c *sardineknot.Call, status int, err error) {
	d := h.Clock.Now().Sub(c.ArrivedAt)
	metrics.GetOrRegisterCounter("calls{kind="+string(c.Route.Kind)+",status="+strconv.Itoa(status)+"}", h.Metrics).Inc(1)
	metrics.GetOrRegisterTimer("call{kind="+string(c.Route.Kind)+"}", h.Metrics).Update(d)
	e := h.Log.Info()
	if err != nil {
		e = h.Log.Warn().Err(err)
	}
	e.Stringer("event", sardineknot.LogCallEnded).Str("request", string(c.ID)).Str("route", string(c.Route.Name)).Int64("revision", int64(c.Revision)).
		Str("service", string(c.Service)).Int("status", status).Dur("took_ms", d).Send()
}

// refuse answers a request that did not become a call.
func (h *Handler) refuse(a *answer, r *http.Request, err error) {
	s := h.fail(a, err)
	h.Log.Warn().Stringer("event", sardineknot.LogCallRefused).Str("host", r.Host).Str("path", r.URL.Path).Int("status", s).Err(err).Send()
}

// fail tells the caller of err and returns the status.
func (h *Handler) fail(a *answer, err error) int {
	s := statusOf(err)
	var n *sardineknot.NotRunError
	t := make(http.Header)
	if errors.As(err, &n) {
		t.Set("Retry-After", strconv.FormatFloat(n.RetryAfter.Seconds(), 'f', 3, 64))
	}
	t.Set("Content-Length", "0")
	a.SendHeader(s, t)
	return s
}

// statusOf returns the status that tells of err.
func statusOf(err error) int {
	var n *sardineknot.NotRunError
	var u *sardineknot.UnknownError
	var i *sardineknot.InvalidError
	var m *http.MaxBytesError
	var l *headerError
	switch {
	case errors.As(err, &l):
		return http.StatusRequestHeaderFieldsTooLarge
	case errors.As(err, &n):
		return http.StatusServiceUnavailable
	case errors.As(err, &u):
		return http.StatusNotFound
	case errors.As(err, &i):
		return http.StatusBadRequest
	case errors.As(err, &m):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, context.DeadlineExceeded):
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}
