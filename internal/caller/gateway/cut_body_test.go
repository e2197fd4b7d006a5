package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/caller/gateway"
	"sardineknot.example/sardineknot/internal/host/clock"
)

// countingRunner is a fake sardineknot.CallRunner that counts calls and sends their bodies
// back.
type countingRunner struct{ runs atomic.Int64 }

func (r *countingRunner) Run(_ context.Context, call *sardineknot.Call, w sardineknot.AnswerWriter) error {
	r.runs.Add(1)
	w.SendHeader(http.StatusOK, http.Header{})
	return w.Write(call.Body)
}

// TestCutBody guards against a call that runs with a part of its body because the caller is
// killed in the middle of it: the kernel ends the connection as after an orderly end.
func TestCutBody(t *testing.T) {
	for _, c := range []struct{ version, field, body string }{
		{"HTTP/1.1", "Content-Length: 8", "12345678"},
		{"HTTP/1.0", "Content-Length: 8", "12345678"},
		{"HTTP/1.1", "Transfer-Encoding: chunked", "4\r\n1234\r\n4\r\n5678\r\n0\r\n\r\n"},
	} {
		t.Run(c.version+" "+c.field, func(t *testing.T) {
			for n := range len(c.body) + 1 {
				q := &countingRunner{}
				v := httptest.NewServer(&gateway.Handler{Source: source{}, Decoder: decoder{}, Plain: q, Clock: clock.System{}, Log: zerolog.Nop(), Metrics: metrics.NewRegistry()})
				k, err := net.Dial("tcp", v.Listener.Addr().String())
				is := is.New(t)
				is.NoErr(err)
				_ = k.SetDeadline(time.Now().Add(10 * time.Second))
				_, err = fmt.Fprintf(k, "POST / %s\r\nHost: h\r\nConnection: close\r\n%s\r\n\r\n%s", c.version, c.field, c.body[:n])
				is.NoErr(err)
				is.NoErr(k.(*net.TCPConn).CloseWrite())
				b, err := io.ReadAll(k)
				is.NoErr(err)
				k.Close()
				v.Close() // waits for the call
				is.Equal(q.runs.Load() == 1, n == len(c.body))
				is.Equal(strings.Contains(string(b), " 200 OK"), n == len(c.body))
			}
		})
	}
}
