package h2c_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/peer/h2c"
)

const (
	// maxTaken bounds the bytes that are taken of an endless body, with all buffers.
	maxTaken = 20 << 20
	// streamed is more than any message may have.
	streamed = 24 << 20
)

// endless is a reader of bytes without end, which counts them.
type endless struct{ taken atomic.Int64 }

// Read implements io.Reader.
func (e *endless) Read(p []byte) (int, error) {
	e.taken.Add(int64(len(p)))
	return len(p), nil
}

// startPeer serves the paths /endless, which answers without end, /read, which reads its
// request to the end, and /stream, whose requests are streams. It returns the base URL.
func startPeer(t *testing.T, e *endless) string {
	m := http.NewServeMux()
	m.HandleFunc("/endless", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.Copy(w, e) })
	m.HandleFunc("/header", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("A", strings.Repeat("x", 1<<20)) })
	read := func(w http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, r.Body)
		if err != nil {
			w.WriteHeader(http.StatusRequestEntityTooLarge)
		}
	}
	m.HandleFunc("/read", read)
	m.HandleFunc("/stream", read)
	s := h2c.NewServer(m, "/stream")
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { s.Close() })
	return "http://" + l.Addr().String()
}

// TestEndlessMessages guards against a host that sends bytes without end to another one,
// which keeps them all and runs out of memory.
func TestEndlessMessages(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	send := func(c *http.Client, u string, body io.Reader) (*http.Response, error) {
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, u, body)
		is.New(t).NoErr(err)
		return c.Do(r)
	}
	t.Run("a response", func(t *testing.T) {
		is := is.New(t)
		e := &endless{}
		p, err := send(h2c.NewTransport(metrics.NewRegistry()).Client(), startPeer(t, e)+"/endless", nil)
		is.NoErr(err)
		defer p.Body.Close()
		_, err = io.Copy(io.Discard, p.Body)
		var u *sardineknot.UnavailableError
		is.True(errors.As(err, &u))
		is.True(e.taken.Load() < maxTaken)
	})
	t.Run("the header of a response", func(t *testing.T) {
		_, err := send(h2c.NewTransport(metrics.NewRegistry()).Client(), startPeer(t, &endless{})+"/header", nil)
		is.New(t).True(err != nil)
	})
	t.Run("a request", func(t *testing.T) {
		e := &endless{}
		p, err := send(h2c.NewTransport(metrics.NewRegistry()).Client(), startPeer(t, &endless{})+"/read", e)
		if err == nil {
			p.Body.Close()
		}
		is.New(t).True(err != nil || p.StatusCode == http.StatusRequestEntityTooLarge)
		is.New(t).True(e.taken.Load() < maxTaken)
	})
	t.Run("a stream has no limit", func(t *testing.T) {
		is := is.New(t)
		u := startPeer(t, &endless{})
		c := h2c.NewTransport(metrics.NewRegistry()).StreamClient()
		p, err := send(c, u+"/stream", io.LimitReader(&endless{}, streamed))
		is.NoErr(err)
		p.Body.Close()
		is.Equal(p.StatusCode, http.StatusOK)
		p, err = send(c, u+"/endless", nil)
		is.NoErr(err)
		defer p.Body.Close()
		n, err := io.CopyN(io.Discard, p.Body, streamed)
		is.NoErr(err)
		is.Equal(n, int64(streamed))
	})
}
