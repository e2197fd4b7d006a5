package gateway_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/caller/gateway"
	"sardineknot.example/sardineknot/internal/caller/stopping"
	"sardineknot.example/sardineknot/internal/host/clock"
)

const (
	// streamTimeout is the timeout of the route of streams, and callTimeout that of the
	// other one.
	streamTimeout = 14 * time.Second
	callTimeout   = 1500 * time.Millisecond
	// stopTime is the time from the signal to stop to the end of all connections.
	stopTime = 7500 * time.Millisecond
)

// routes is a fake configuration source with a route of streams and one of short calls.
type routes struct{ source }

func (routes) Current() *sardineknot.Configuration {
	l := []sardineknot.RouteShare{{Service: "s"}}
	return &sardineknot.Configuration{Revision: 1, Routes: []sardineknot.Route{
		{Name: "stream", Host: "h", Prefix: "/stream/", Timeout: streamTimeout, Shares: l},
		{Name: "call", Host: "h", Prefix: "/call/", Timeout: callTimeout, Shares: l},
	}}
}

// timedRunner is a fake sardineknot.CallRunner whose calls take the given time. Their answers begin
// at once if early is set.
type timedRunner struct {
	duration time.Duration
	early    bool
	runs     int
}

func (r *timedRunner) Run(ctx context.Context, _ *sardineknot.Call, w sardineknot.AnswerWriter) error {
	r.runs++
	if r.early {
		w.SendHeader(http.StatusOK, http.Header{})
	}
	select {
	case <-time.After(r.duration):
		if !r.early {
			w.SendHeader(http.StatusOK, http.Header{})
		}
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// stoppable is a handler and the runner of its calls.
type stoppable struct {
	*gateway.Handler
	runner *timedRunner
}

// runStop runs test in virtual time with a handler whose calls take the given time.
func runStop(t *testing.T, name string, duration time.Duration, test func(t *testing.T, h *stoppable)) {
	metrics.NewMeter().Stop() // starts the goroutine of all meters, which must be in no bubble
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			q := &timedRunner{duration: duration}
			h := &stoppable{&gateway.Handler{Source: routes{}, Decoder: decoder{}, Plain: q, Stream: q, Stop: &stopping.Schedule{}, Clock: clock.System{}, Log: zerolog.Nop(), Metrics: metrics.NewRegistry()}, q}
			test(t, h)
		})
	})
}

// call makes a call and returns its answer.
func (h *stoppable) call(path string, body io.Reader) *http.Response {
	r := httptest.NewRequest(http.MethodPost, path, body)
	r.Host = "h"
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w.Result()
}

// leave makes the handler leave, and lets a time pass.
func (h *stoppable) leave(elapsed time.Duration) {
	n := time.Now()
	h.Stop.Begin(n, n.Add(stopTime))
	time.Sleep(elapsed)
}

// serves checks that a call to path is run.
func (h *stoppable) serves(t *testing.T, path string) {
	t.Helper()
	n := h.runner.runs
	p := h.call(path, strings.NewReader(""))
	is := is.New(t)
	is.Equal(p.StatusCode, http.StatusOK)
	is.Equal(h.runner.runs, n+1)
	is.Equal(p.Header.Get("Connection"), "close")
}

// refuses checks that a call to path with body is refused at once, has not run, and may
// be sent to another host at once.
func (h *stoppable) refuses(t *testing.T, path string, body io.Reader) {
	t.Helper()
	n := h.runner.runs
	p := h.call(path, body)
	is := is.New(t)
	is.Equal(p.StatusCode, http.StatusServiceUnavailable)
	is.Equal(h.runner.runs, n)
	is.Equal(p.Header.Get("Retry-After"), "0.000")
	is.Equal(p.Header.Get("Connection"), "close")
}

// TestStop guards against a call that is taken while the host stops and cannot end before
// its connections are closed, and against one that is refused although it can.
func TestStop(t *testing.T) {
	runStop(t, "a call whose deadline comes later may not end", 6*time.Second, func(t *testing.T, h *stoppable) {
		h.leave(3 * time.Second)
		h.refuses(t, "/stream/a", strings.NewReader(""))
	})
	runStop(t, "a call whose deadline comes before is served", 6*time.Second, func(t *testing.T, h *stoppable) {
		h.leave(5 * time.Second)
		h.runner.duration = time.Second
		h.serves(t, "/call/a")
		h.refuses(t, "/call/a", strings.NewReader(""))
	})
	runStop(t, "a host that has just started", 0, func(t *testing.T, h *stoppable) {
		h.leave(0)
		h.refuses(t, "/stream/a", strings.NewReader(""))
		h.runner.duration = time.Second
		h.serves(t, "/call/a")
	})
	runStop(t, "nothing is refused before", 6*time.Second, func(t *testing.T, h *stoppable) {
		is.New(t).Equal(h.call("/stream/a", strings.NewReader("")).StatusCode, http.StatusOK)
	})
}

// TestStatusInStop guards against a call without any answer when its host closes its connections,
// and against one that is cut before, although its answer has begun.
func TestStatusInStop(t *testing.T) {
	runStop(t, "no answer has begun", 12*time.Second, func(t *testing.T, h *stoppable) {
		b := time.Now()
		time.AfterFunc(time.Second, func() { h.leave(0) })
		p := h.call("/stream/a", strings.NewReader(""))
		is := is.New(t)
		is.Equal(p.StatusCode, http.StatusBadGateway)
		is.Equal(time.Since(b), time.Second+stopTime-100*time.Millisecond)
		is.Equal(p.Header.Get("Connection"), "close")
	})
	runStop(t, "an answer has begun", 12*time.Second, func(t *testing.T, h *stoppable) {
		h.runner.early = true
		time.AfterFunc(time.Second, func() { h.leave(0) })
		is.New(t).Equal(h.call("/stream/a", strings.NewReader("")).StatusCode, http.StatusOK)
	})
	runStop(t, "a deadline that comes before", 12*time.Second, func(t *testing.T, h *stoppable) {
		h.leave(0)
		is.New(t).Equal(h.call("/call/a", strings.NewReader("")).StatusCode, http.StatusGatewayTimeout)
	})
}

// TestStopDuringBody guards against a call that could have ended in time when its header
// arrived, and cannot when its body has, because the host has begun to stop meanwhile.
func TestStopDuringBody(t *testing.T) {
	runStop(t, "the check comes after the body", time.Second, func(t *testing.T, h *stoppable) {
		time.AfterFunc(500*time.Millisecond, func() {
			n := time.Now()
			h.Stop.Begin(n, n.Add(callTimeout-500*time.Millisecond))
		})
		h.refuses(t, "/call/a", &lateBody{after: time.Second})
	})
}

// lateBody is a request body of one byte that arrives after a time.
type lateBody struct {
	after time.Duration
	sent  bool
}

func (b *lateBody) Read(p []byte) (int, error) {
	if b.sent {
		return 0, io.EOF
	}
	time.Sleep(b.after)
	b.sent = true
	p[0] = 'x'
	return 1, nil
}
