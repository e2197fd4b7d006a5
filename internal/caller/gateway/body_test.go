package gateway_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/backend/memory"
	"sardineknot.example/sardineknot/internal/caller/gateway"
	"sardineknot.example/sardineknot/internal/host/clock"
)

const (
	// testBodyBytes is the length of a body, of which the memory of the handler holds two.
	testBodyBytes = 1 << 20
	testMemory    = 2 * testBodyBytes
)

// blockingRunner is a fake sardineknot.CallRunner whose calls run until they are released. It
// sends their bodies back.
type blockingRunner struct {
	begun   chan struct{}
	release chan struct{}
}

func (r *blockingRunner) Run(_ context.Context, call *sardineknot.Call, w sardineknot.AnswerWriter) error {
	r.begun <- struct{}{}
	<-r.release
	w.SendHeader(http.StatusOK, http.Header{})
	return w.Write(call.Body)
}

// unknownLength hides the length of a body.
type unknownLength struct{ io.Reader }

// newBodyHandler returns a handler with room for two bodies, and the runner of its calls.
func newBodyHandler() (*gateway.Handler, *blockingRunner) {
	q := &blockingRunner{begun: make(chan struct{}, 8), release: make(chan struct{})}
	return &gateway.Handler{
		Source: routes{}, Decoder: decoder{}, Plain: q, Stream: q, Memory: &memory.Budget{Bytes: testMemory},
		Clock: clock.System{}, Log: zerolog.Nop(), Metrics: metrics.NewRegistry(),
	}, q
}

// post makes a call with body.
func post(h *gateway.Handler, body io.Reader) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, "/call/a", body)
	r.Host = "h"
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

// TestBodyMemory guards against the bodies of many calls that take the process over its memory
// limit: it is killed with all other calls.
func TestBodyMemory(t *testing.T) {
	b := bytes.Repeat([]byte("x"), testBodyBytes)
	t.Run("calls whose bodies have no room are refused as not run, until others have ended", func(t *testing.T) {
		is := is.New(t)
		h, q := newBodyHandler()
		done := make(chan *httptest.ResponseRecorder, 2)
		for range 2 {
			go func() { done <- post(h, bytes.NewReader(b)) }()
			<-q.begun
		}
		for _, r := range []io.Reader{bytes.NewReader(b), unknownLength{bytes.NewReader(b)}} {
			w := post(h, r)
			is.Equal(w.Code, http.StatusServiceUnavailable)
			is.True(w.Header().Get("Retry-After") != "")
		}
		close(q.release)
		for range 2 {
			is.Equal((<-done).Code, http.StatusOK)
		}
		is.Equal(post(h, bytes.NewReader(b)).Body.Bytes(), b)
		is.Equal(len(q.begun), 1) // the refused ones did not run
	})
	t.Run("a body of unknown length arrives whole", func(t *testing.T) {
		is := is.New(t)
		h, q := newBodyHandler()
		close(q.release)
		w := post(h, unknownLength{bytes.NewReader(b[:testBodyBytes/2])})
		is.Equal(w.Code, http.StatusOK)
		is.Equal(w.Body.Len(), testBodyBytes/2)
	})
	t.Run("short bodies need no room", func(t *testing.T) {
		is := is.New(t)
		h, q := newBodyHandler()
		close(q.release)
		h.Memory.Bytes = 1
		is.Equal(post(h, bytes.NewReader(b[:32<<10])).Code, http.StatusOK)
	})
	t.Run("a body that is too long is refused before it arrives", func(t *testing.T) {
		h, _ := newBodyHandler()
		is.New(t).Equal(post(h, bytes.NewReader(make([]byte, 5<<20))).Code, http.StatusRequestEntityTooLarge)
	})
}
