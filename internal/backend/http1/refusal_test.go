package http1_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

// refusal returns a complete response that refuses the request with the given identifier.
func refusal(id string) string {
	return "HTTP/1.1 503 Service Unavailable\r\nId: " + id + "\r\nRefused: 1\r\nContent-Length: 0\r\n\r\n"
}

const (
	// unidentified is a refusal without an identifier, and cut one whose body is not
	// complete.
	unidentified = "HTTP/1.1 503 Service Unavailable\r\nRefused: 1\r\nContent-Length: 0\r\n\r\n"
	cut          = "HTTP/1.1 503 Service Unavailable\r\nId: 1\r\nRefused: 1\r\nContent-Length: 9\r\n\r\nx"
)

// answers makes an exchange, which the server refuses, and then another, and checks that
// the second one gets its own answer.
func answers(t *testing.T, server *scriptedServer) {
	t.Helper()
	is := is.New(t)
	c := newClient()
	_, err := exchange(c, server, "1")
	is.NoErr(err)
	time.Sleep(10 * time.Millisecond) // for what arrives between the two
	b, err := exchange(c, server, "2")
	is.NoErr(err)
	is.Equal(b, "b")
}

// TestRepeatedRefusal guards against a refusal that a server writes once more on a kept
// connection, and that the next request is taken to be refused by: its caller would
// get status 503 although it runs, or it would be sent to another server.
func TestRepeatedRefusal(t *testing.T) {
	t.Run("before the next request was sent", func(t *testing.T) {
		answers(t, serve(t, []string{refusal("1") + refusal("1")}, []string{ok("2", "b")}))
	})
	t.Run("before the next request, without an identifier", func(t *testing.T) {
		answers(t, serve(t, []string{refusal("1") + unidentified}, []string{ok("2", "b")}))
	})
	t.Run("after the next request", func(t *testing.T) {
		answers(t, serve(t, []string{refusal("1"), refusal("1") + ok("2", "b")}))
	})
	t.Run("after the next request, without an identifier", func(t *testing.T) {
		answers(t, serve(t, []string{refusal("1"), unidentified + ok("2", "b")}))
	})
	t.Run("after the next request, with an empty identifier", func(t *testing.T) {
		answers(t, serve(t, []string{refusal("1"), refusal("") + ok("2", "b")}))
	})
	t.Run("twice", func(t *testing.T) {
		answers(t, serve(t, []string{refusal("1"), refusal("1") + refusal("1") + ok("2", "b")}))
	})
	t.Run("without an end, or in place of the answer", func(t *testing.T) {
		for _, a := range []string{cut, refusal("1"), unidentified, cut + ok("2", "b")} {
			s := serve(t, []string{refusal("1"), a, ""}, []string{ok("2", "b")})
			c := newClient()
			_, err := exchange(c, s, "1")
			is.New(t).NoErr(err)
			_, err = exchange(c, s, "2")
			assertUnknown(t, err)
			is.New(t).Equal(len(s.requests), 2) // it was not sent again
		}
	})
}

// TestRefusalDuringRequest is TestRepeatedRefusal for a refusal that arrives while the
// next request is still being sent.
func TestRefusalDuringRequest(t *testing.T) {
	for _, a := range []string{refusal("1"), unidentified} {
		is := is.New(t)
		s := serveEarly(t, a)
		c := newClient()
		_, err := exchange(c, s, "1")
		is.NoErr(err)
		b, err := exchangeBody(c, s, "2", make([]byte, 8<<20))
		is.NoErr(err)
		is.Equal(b, "b")
	}
}

// serveEarly starts a server that refuses the first request, and writes early as soon as
// the second one has begun.
func serveEarly(t *testing.T, early string) *scriptedServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { l.Close() })
	s := &scriptedServer{address: netip.MustParseAddrPort(l.Addr().String()), requests: make(chan *http.Request, 16)}
	go func() {
		k, err := l.Accept()
		if err != nil {
			return
		}
		defer k.Close()
		r := bufio.NewReader(k)
		s.read(r)
		_, _ = io.WriteString(k, refusal("1"))
		_, _ = r.Peek(1)
		_, _ = io.WriteString(k, early)
		time.Sleep(20 * time.Millisecond)
		s.read(r)
		_, _ = io.WriteString(k, ok("2", "b"))
		_, _ = io.Copy(io.Discard, r)
	}()
	return s
}

// read reads a request.
func (s *scriptedServer) read(reader *bufio.Reader) {
	q, err := http.ReadRequest(reader)
	if err == nil {
		_, _ = io.Copy(io.Discard, q.Body)
	}
}
