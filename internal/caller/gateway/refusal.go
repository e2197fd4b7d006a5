package gateway

import (
	"context"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

// headerTooLargeError reports a request header that exceeds the configured
// limit.
type headerTooLargeError struct {
	bytes int
}

// Error implements error.
func (e *headerTooLargeError) Error() string {
	return "the request header has " + strconv.Itoa(e.bytes) + " bytes"
}

// refuse answers and logs a request that was not admitted.
func (h *Handler) refuse(writer *answerWriter, r *http.Request, err error) {
	s := h.sendError(writer, err)
	h.Log.Warn().Stringer("event", sardineknot.LogCallRefused).Str("called_host", r.Host).Str("path", r.URL.Path).Int("status", s).
		Int64("revision", int64(h.Source.Current().Revision)).Dur("view_ms", h.viewAge()).Func(h.logStop(h.Clock.Now())).Err(err).Send()
}

// sendError sends the status code that corresponds to err, with an empty body,
// and returns that code.
func (h *Handler) sendError(writer *answerWriter, err error) int {
	s := statusCode(err)
	t := make(http.Header)
	if d, ok := retryAfter(err); ok {
		t.Set("Retry-After", strconv.FormatFloat(d.Seconds(), 'f', 3, 64))
	}
	t.Set("Content-Length", "0")
	writer.SendHeader(s, t)
	return s
}

// retryAfter returns the time after which the caller may retry a request that failed
// with err. ok is false if err states none.
func retryAfter(err error) (wait time.Duration, ok bool) {
	var n *sardineknot.NotRunError
	var l *sardineknot.LimitedError
	switch {
	case errors.As(err, &n):
		return n.RetryAfter, true
	case errors.As(err, &l):
		return l.RetryAfter, true
	default:
		return 0, false
	}
}

// statusCode returns the HTTP status code that corresponds to err.
func statusCode(err error) int {
	var n *sardineknot.NotRunError
	var u *sardineknot.UnknownError
	var i *sardineknot.InvalidError
	var m *http.MaxBytesError
	var l *headerTooLargeError
	var k *sardineknot.UnauthorizedError
	var a *sardineknot.LimitedError
	switch {
	case errors.As(err, &l):
		return http.StatusRequestHeaderFieldsTooLarge
	case errors.As(err, &k):
		return http.StatusUnauthorized
	case errors.As(err, &a):
		return http.StatusTooManyRequests
	case errors.As(err, &n):
		return http.StatusServiceUnavailable
	case errors.As(err, &u):
		return http.StatusNotFound
	case errors.As(err, &i):
		return http.StatusBadRequest
	case errors.As(err, &m):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		return http.StatusRequestTimeout
	case errors.Is(err, context.DeadlineExceeded):
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}
