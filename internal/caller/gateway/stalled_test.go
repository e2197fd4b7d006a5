package gateway_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/caller/gateway"
	"sardineknot.example/sardineknot/internal/host/clock"
)

// timeout is the timeout of the route of the tests.
const timeout = 5 * time.Second

// source is a fake configuration source with one route.
type source struct{}

func (source) Changed() <-chan struct{} { return nil }

func (source) Current() *sardineknot.Configuration {
	return &sardineknot.Configuration{Revision: 1, Routes: []sardineknot.Route{{Host: "h", Prefix: "/", Timeout: timeout, Shares: []sardineknot.RouteShare{{Service: "s"}}}}}
}

// decoder is a fake sardineknot.CallDecoder.
type decoder struct{}

func (decoder) DecodeCall(r *http.Request, now time.Time) (*sardineknot.Call, error) {
	return &sardineknot.Call{ID: "c", Header: r.Header, ArrivedAt: now, CallerDeadline: now.Add(time.Hour)}, nil
}

// runner is a fake sardineknot.CallRunner that writes a number of answers of 1 kB.
type runner int

func (n runner) Run(_ context.Context, _ *sardineknot.Call, w sardineknot.AnswerWriter) error {
	w.SendHeader(http.StatusOK, http.Header{})
	for range n {
		err := w.Write(make([]byte, 1024))
		if err != nil {
			return err
		}
	}
	return nil
}

// listener is a net.Listener that accepts one connection.
type listener chan net.Conn

func (l listener) Accept() (net.Conn, error) {
	n, ok := <-l
	if !ok {
		return nil, net.ErrClosed
	}
	return n, nil
}

func (l listener) Close() error   { return nil }
func (l listener) Addr() net.Addr { return &net.TCPAddr{} }

// serve runs test with a caller of a handler that answers with n kB.
func serve(t *testing.T, n runner, test func(is *is.I, caller net.Conn, h *gateway.Handler)) {
	synctest.Test(t, func(t *testing.T) {
		h := &gateway.Handler{Source: source{}, Decoder: decoder{}, Plain: n, Clock: clock.System{}, Log: zerolog.Nop(), Metrics: metrics.NewRegistry()}
		s := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
		caller, c := net.Pipe()
		l := make(listener, 1)
		l <- c
		go func() { _ = s.Serve(l) }()
		test(is.New(t), caller, h)
		caller.Close()
		close(l)
		s.Close()
		time.Sleep(2 * time.Second) // the goroutines of test end
	})
}

// TestStalledCaller guards against calls that never end because the caller sends or takes
// a byte now and then, and against ending those that are slow but steady.
func TestStalledCaller(t *testing.T) {
	metrics.NewMeter().Stop() // starts the goroutine of all meters, which must be in no bubble
	t.Run("the body stalls", func(t *testing.T) {
		serve(t, 1, func(is *is.I, caller net.Conn, h *gateway.Handler) {
			b := time.Now()
			go func() {
				_, err := io.WriteString(caller, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n")
				for err == nil {
					time.Sleep(900 * time.Millisecond)
					_, err = io.WriteString(caller, "x")
				}
			}()
			p, err := http.ReadResponse(bufio.NewReader(caller), nil)
			is.NoErr(err)
			is.Equal(p.StatusCode, http.StatusRequestTimeout)
			is.True(time.Since(b) < timeout+time.Second)
			synctest.Wait()
			is.Equal(h.Active(), 0)
		})
	})
	t.Run("the answer is not taken", func(t *testing.T) {
		serve(t, 100, func(is *is.I, caller net.Conn, h *gateway.Handler) {
			_, err := io.WriteString(caller, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			is.NoErr(err)
			for range 60 {
				time.Sleep(time.Second)
				_, _ = caller.Read(make([]byte, 1))
			}
			is.Equal(h.Active(), 0)
		})
	})
	t.Run("slow but steady, and a refusal later on the connection", func(t *testing.T) {
		serve(t, 20, func(is *is.I, caller net.Conn, _ *gateway.Handler) {
			r := bufio.NewReaderSize(caller, 16)
			sendSlowly(is, caller)
			is.Equal(takeSlowly(is, r), 20*1024)
			time.Sleep(time.Minute)
			_, err := io.WriteString(caller, "GET / HTTP/1.1\r\nHost: unknown\r\n\r\n")
			is.NoErr(err)
			p, err := http.ReadResponse(r, nil)
			is.NoErr(err)
			is.Equal(p.StatusCode, http.StatusNotFound)
		})
	})
}

// sendSlowly sends a request with a byte of its body each 0.9 s.
func sendSlowly(is *is.I, caller net.Conn) {
	_, err := io.WriteString(caller, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n")
	is.NoErr(err)
	for range 4 {
		time.Sleep(900 * time.Millisecond)
		_, err = io.WriteString(caller, "x")
		is.NoErr(err)
	}
}

// takeSlowly takes an answer in pieces of at most 512 bytes, two a second, and returns its
// length.
func takeSlowly(is *is.I, r *bufio.Reader) (length int) {
	p, err := http.ReadResponse(r, nil)
	is.NoErr(err)
	for err == nil {
		time.Sleep(500 * time.Millisecond)
		var m int
		m, err = p.Body.Read(make([]byte, 512))
		length += m
	}
	is.Equal(err, io.EOF)
	return length
}
