package http1

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/host/clock"
	"sardineknot.example/sardineknot/internal/standin/brokenanswer"
)

// FuzzResponse guards against bytes of a server that end the process, that are taken
// for the answer to another request, that leave a connection with stray bytes in
// use, or that break the grammar of HTTP and are an answer.
func FuzzResponse(f *testing.F) {
	for _, s := range []string{
		"HTTP/1.1 200 OK\r\nId: c\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 OK\r\nId: c\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: c\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: c\r\n\r\nok",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: c\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: d\r\nContent-Length: 1\r\n\r\nxHTTP/1.1 200 OK\r\nId: c\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: c\r\nContent-Length: 99999999999999999999\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: c\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\n",
		"HTTP/1.1 204 No\r\nId: c\r\nKeep-Alive: timeout=-1\r\n\r\n", "garbage", "",
	} {
		f.Add([]byte(s))
	}
	for _, a := range append(brokenanswer.Broken("Id: c\r\n"), brokenanswer.Sound("Id: c\r\n")...) {
		f.Add([]byte(a.Text))
	}
	f.Fuzz(func(t *testing.T, response []byte) {
		c := NewClient(clock.System{}, metrics.NewRegistry())
		a, b := net.Pipe()
		k := newConn(c, netip.AddrPort{}, a)
		go func() { _, _ = io.Copy(io.Discard, b) }()
		go func() {
			_, _ = b.Write(response)
			b.Close()
		}()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		p, err := k.roundTrip(ctx, sardineknot.ExchangeRequest{Method: http.MethodPost, Target: "/", Header: http.Header{}, EchoHeader: "Id", EchoValue: "c"})
		if err != nil {
			return
		}
		checkHead(t, p)
		n, err := io.Copy(io.Discard, p.Body)
		if n > int64(len(response)) {
			t.Fatal("the body is longer than the response")
		}
		l := c.idle[netip.AddrPort{}]
		if len(l) > 0 && (err != nil || l[0].reader.Buffered() > 0) {
			t.Fatal("a connection that is not clean is kept")
		}
		p.Body.Close()
	})
}

// checkHead checks the status and the fields of an answer to the request c.
func checkHead(t *testing.T, answer *sardineknot.Response) {
	t.Helper()
	if answer.Header.Get("Id") != "c" {
		t.Fatal("the answer to another request is accepted")
	}
	if answer.Status < http.StatusOK || answer.Status > 599 {
		t.Fatalf("an answer has status %d", answer.Status)
	}
	for n := range answer.Header {
		if strings.ContainsAny(n, " \t\r\n\x00:") {
			t.Fatalf("the name %q of a field is passed on", n)
		}
	}
}
