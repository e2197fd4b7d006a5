package http1_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

// ending is what a server does after a part of a response.
type ending struct {
	name string
	end  func(net.Conn)
}

// endings lists how a server may break off. A server that falls silent is left when the
// time of the exchange is over.
func endings() []ending {
	return []ending{
		{"closed", func(c net.Conn) { c.Close() }},
		{"reset", func(c net.Conn) {
			_ = c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}},
		{"silent", func(c net.Conn) {
			_, _ = io.Copy(io.Discard, c)
			c.Close()
		}},
	}
}

// heads lists complete responses with the bodies "12", by their framing.
func heads() map[string]string {
	return map[string]string{
		"length":      "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 2\r\nStamp: s\r\n\r\n12",
		"no length":   "HTTP/1.1 200 OK\r\nId: 2\r\nStamp: s\r\nConnection: close\r\n\r\n12",
		"HTTP/1.0":    "HTTP/1.0 200 OK\r\nId: 2\r\nStamp: s\r\n\r\n12",
		"chunked":     "HTTP/1.1 200 OK\r\nId: 2\r\nTransfer-Encoding: chunked\r\nStamp: s\r\n\r\n2\r\n12\r\n0\r\n\r\n",
		"empty":       "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 0\r\n\r\n",
		"no content":  "HTTP/1.1 204 No Content\r\nId: 2\r\n\r\n",
		"bare LF":     "HTTP/1.1 200 OK\nId: 2\nStamp: s\n\n12",
		"long reason": "HTTP/1.1 503 Service Unavailable now\r\nId: 2\r\nRefused: 1\r\nContent-Length: 0\r\n\r\n",
	}
}

// headLength returns the length of the head of response.
func headLength(response string) int {
	for i := range response {
		if i >= 4 && response[i-4:i] == "\r\n\r\n" || i >= 2 && response[i-2:i] == "\n\n" {
			return i
		}
	}
	return len(response)
}

// brokenServer sends a part of a response to one request on a connection, and ends then.
// It answers a first request wholly if kept is set.
type brokenServer struct {
	address netip.AddrPort
	// sent is closed when the part is sent.
	sent chan struct{}
}

// serveBroken starts a brokenServer for one connection.
func serveBroken(t *testing.T, kept bool, part string, e ending) *brokenServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { l.Close() })
	s := &brokenServer{address: netip.MustParseAddrPort(l.Addr().String()), sent: make(chan struct{})}
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		r := bufio.NewReader(c)
		if kept {
			readRequest(r)
			_, _ = io.WriteString(c, ok("1", "a"))
		}
		readRequest(r)
		_, _ = io.WriteString(c, part)
		close(s.sent)
		e.end(c)
	}()
	return s
}

func readRequest(r *bufio.Reader) {
	q, err := http.ReadRequest(r)
	if err == nil {
		_, _ = io.Copy(io.Discard, q.Body)
	}
}

// checkBroken checks that an exchange whose response breaks off after part is an error of
// unknown outcome, and no response.
func checkBroken(t *testing.T, method, part string, kept bool, e ending) {
	t.Helper()
	s := serveBroken(t, kept, part, e)
	c := newClient()
	if kept {
		_, err := exchange(c, &scriptedServer{address: s.address}, "1")
		is.New(t).NoErr(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if e.name == "silent" {
		go func() {
			<-s.sent
			time.Sleep(time.Millisecond)
			cancel()
		}()
	}
	p, err := c.Exchange(ctx, s.address, sardineknot.ExchangeRequest{
		Method: method, Target: "/", Host: "h", Header: make(http.Header), EchoHeader: "Id", EchoValue: "2", KeptConnection: kept,
	})
	var u *sardineknot.UnavailableError
	if !errors.As(err, &u) {
		t.Errorf("%s, broken off after %q: response %+v, error %v", method, part, p, err)
	}
}

// TestBrokenHead guards against a response whose head is broken off and that counts as an
// answer, such as an empty one with status 200.
func TestBrokenHead(t *testing.T) {
	for n, a := range heads() {
		for _, e := range endings() {
			for _, k := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %s, kept connection: %t", n, e.name, k), func(t *testing.T) {
					t.Parallel()
					for i := range headLength(a) {
						checkBroken(t, http.MethodGet, a[:i], k, e)
					}
				})
			}
		}
	}
}

// TestBrokenHeadAfterInterim is TestBrokenHead for a response that an interim one precedes,
// which may itself be broken off.
func TestBrokenHeadAfterInterim(t *testing.T) {
	a := "HTTP/1.1 100 Continue\r\n\r\n" + heads()["no length"]
	for _, e := range endings() {
		t.Run(e.name, func(t *testing.T) {
			t.Parallel()
			for i := range headLength("HTTP/1.1 100 Continue\r\n\r\n") + headLength(heads()["no length"]) {
				checkBroken(t, http.MethodPost, a[:i], false, e)
			}
		})
	}
}
