package plain_test

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/answer/plain"
	"sardineknot.example/sardineknot/internal/backend/backoff"
	"sardineknot.example/sardineknot/internal/backend/breaker"
	"sardineknot.example/sardineknot/internal/backend/memory"
	"sardineknot.example/sardineknot/internal/host/clock"
)

// source is a fake configuration source whose configuration never changes.
type source struct{ sardineknot.Configuration }

func (s *source) Current() *sardineknot.Configuration { return &s.Configuration }
func (s *source) Changed() <-chan struct{}            { return nil }

// answer scripts the response of a fake server to one call.
type answer struct {
	status int
	body   string
	err    error
}

// servers is a fake sardineknot.Forwarder that returns scripted answers in
// turn.
type servers struct {
	sardineknot.Forwarder
	answers []answer
	calls   int
}

func (s *servers) Forward(context.Context, sardineknot.BackendServer, *sardineknot.Call, sardineknot.ForwardOptions) (*sardineknot.Response, error) {
	a := s.answers[s.calls]
	s.calls++
	if a.err != nil && a.body == "" {
		return nil, a.err
	}
	return &sardineknot.Response{Status: a.status, Header: http.Header{}, Body: io.NopCloser(&truncatedBody{Reader: strings.NewReader(a.body), err: a.err})}, nil
}

// truncatedBody is the body of a fake response. It ends with err instead of
// io.EOF if err is not nil.
type truncatedBody struct {
	*strings.Reader
	err error
}

func (b *truncatedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err != nil && b.err != nil {
		return n, b.err
	}
	return n, err
}

// writer is a fake sardineknot.AnswerWriter that records the response to the
// caller.
type writer struct {
	status int
	text   string
}

func (w *writer) SendHeader(status int, _ http.Header) { w.status = status }
func (w *writer) Write(b []byte) error                 { w.text += string(b); return nil }

// budget is a fake retry budget. left is the number of retries that it still
// allows.
type budget struct{ left int }

func (b *budget) RecordCall(sardineknot.ServiceName) {}
func (b *budget) AllowRetry(sardineknot.ServiceName) bool {
	b.left--
	return b.left >= 0
}

// openGuard is a fake crash guard that allows all calls.
type openGuard struct{}

func (openGuard) Check(*sardineknot.Call) error                                       { return nil }
func (openGuard) ReportCrash(sardineknot.ServerProcess, *sardineknot.Call, time.Time) {}
func (openGuard) ReportSound(sardineknot.ServerProcess, *sardineknot.Call, time.Time) {}
func (openGuard) ReportReplaced(sardineknot.ServerProcess, time.Time)                 {}

// run runs a call on a route of kind k, with a budget of the given number of
// retries and servers that answer with l in turn. It returns the response to
// the caller, the number of calls sent to servers, and the error.
func run(t *testing.T, k sardineknot.RouteKind, budgeted int, l ...answer) (w *writer, sent int, err error) {
	t.Helper()
	c := sardineknot.Configuration{Revision: 1}
	for _, n := range []sardineknot.BackendServerName{"a", "b", "c"} {
		c.BackendServers = append(c.BackendServers, sardineknot.BackendServer{
			Name: n, Role: sardineknot.RolePlain, Service: "s", Slots: 4, State: sardineknot.BackendJoining,
		})
	}
	f := &servers{answers: l}
	r := &plain.Runner{
		Source: &source{c}, Forwarder: f, Circuits: breaker.NewSet(rand.NewPCG(1, 1)), Backoffs: backoff.NewSet(rand.NewPCG(1, 2)), Guard: openGuard{},
		Budget: &budget{left: budgeted}, Memory: &memory.Budget{}, Clock: clock.System{}, Log: zerolog.Nop(),
	}
	q := &sardineknot.Route{Kind: k, Attempts: 2}
	if k == sardineknot.RouteUnsafe {
		q.Attempts = 1
	}
	w = &writer{}
	err = r.Run(t.Context(), &sardineknot.Call{ID: "c", Service: "s", Route: q, Deadline: time.Now().Add(time.Second)}, w)
	return w, f.calls, err
}

func assertNotRun(t *testing.T, err error, want bool) {
	t.Helper()
	var n *sardineknot.NotRunError
	is.New(t).Equal(errors.As(err, &n), want)
}

var (
	refused = answer{err: errors.WithStack(&sardineknot.RefusedError{Server: "a", Status: 503})}
	unsent  = answer{err: errors.WithStack(&sardineknot.UnsentError{Server: netip.AddrPort{}, Cause: io.ErrClosedPipe})}
	unknown = answer{err: errors.WithStack(&sardineknot.UnavailableError{Peer: "a", Cause: io.ErrUnexpectedEOF})}
	failed  = answer{status: 500, body: "no"}
	good    = answer{status: 200, body: "yes"}
	short   = answer{status: 200, body: "ye", err: io.ErrUnexpectedEOF}
)

func TestUnsafe(t *testing.T) {
	t.Run("is not retried after an unknown outcome", func(t *testing.T) {
		_, n, err := run(t, sardineknot.RouteUnsafe, 9, unknown, good)
		is.New(t).Equal(n, 1)
		assertNotRun(t, err, false)
	})
	t.Run("is not retried after a truncated answer", func(t *testing.T) {
		_, n, err := run(t, sardineknot.RouteUnsafe, 9, short, good)
		is.New(t).Equal(n, 1)
		assertNotRun(t, err, false)
	})
	t.Run("is retried after a server did not run it", func(t *testing.T) {
		w, n, err := run(t, sardineknot.RouteUnsafe, 9, refused, unsent, good)
		is := is.New(t)
		is.NoErr(err)
		is.Equal(n, 3)
		is.Equal(w.text, "yes")
	})
	t.Run("is reported as not run if no server ran it", func(t *testing.T) {
		_, _, err := run(t, sardineknot.RouteUnsafe, 0, refused)
		assertNotRun(t, err, true)
	})
	t.Run("does not relay a truncated long answer", func(t *testing.T) {
		w, _, err := run(t, sardineknot.RouteUnsafe, 9, answer{status: 200, body: strings.Repeat("x", 17<<20)})
		is := is.New(t)
		is.True(err != nil)
		is.Equal(w.status, 0)
	})
	t.Run("relays a server error", func(t *testing.T) {
		w, n, err := run(t, sardineknot.RouteUnsafe, 9, failed, good)
		is := is.New(t)
		is.NoErr(err)
		is.Equal(n, 1)
		is.Equal(w.status, 500)
	})
}

func TestSafe(t *testing.T) {
	t.Run("is retried after a server error, up to the attempts of its route", func(t *testing.T) {
		w, n, err := run(t, sardineknot.RouteSafe, 9, failed, failed, good)
		is := is.New(t)
		is.NoErr(err)
		is.Equal(n, 2)
		is.Equal(w.status, 500)
	})
	t.Run("is retried after an unknown outcome", func(t *testing.T) {
		w, _, err := run(t, sardineknot.RouteSafe, 9, short, good)
		is := is.New(t)
		is.NoErr(err)
		is.Equal(w.text, "yes")
	})
	t.Run("is not retried without retry budget", func(t *testing.T) {
		_, n, err := run(t, sardineknot.RouteSafe, 0, unknown, good)
		is := is.New(t)
		is.True(err != nil)
		is.Equal(n, 1)
	})
	t.Run("an unknown outcome is not reported as not run", func(t *testing.T) {
		_, _, err := run(t, sardineknot.RouteSafe, 9, unknown, refused, refused, refused)
		assertNotRun(t, err, false)
	})
}
