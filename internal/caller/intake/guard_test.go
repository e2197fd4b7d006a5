package intake

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"sardineknot.example/sardineknot/internal/host/clock"
)

// waitTime bounds the wait for what happens within milliseconds.
const waitTime = 20 * time.Second

// server is a server whose connections a Guard bounds.
type server struct {
	*Guard
	address string
	// blocked is closed to end the calls of /block.
	blocked chan struct{}
}

// start starts a server with the given limits. It reads bodies, and answers.
func start(t *testing.T, connections int, headBytes int64) *server {
	s := &server{
		Guard:   &Guard{Connections: connections, HeadBytes: headBytes, Clock: clock.System{}, Closed: metrics.NewCounter()},
		blocked: make(chan struct{}),
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	s.address = l.Addr().String()
	h := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, r.Body)
		if err != nil {
			return
		}
		if r.URL.Path == "/block" {
			fmt.Fprint(w, "begun")
			_ = http.NewResponseController(w).Flush()
			<-s.blocked
		}
	})}
	g := s.Serve(h, l)
	go func() { _ = h.Serve(g) }()
	t.Cleanup(func() { h.Close() })
	return s
}

// client is a connection to a server.
type client struct {
	t *testing.T
	net.Conn
	reader *bufio.Reader
}

func (s *server) dial(t *testing.T) *client {
	t.Helper()
	c, err := net.Dial("tcp", s.address)
	is.New(t).NoErr(err)
	t.Cleanup(func() { c.Close() })
	is.New(t).NoErr(c.SetDeadline(time.Now().Add(waitTime)))
	return &client{t: t, Conn: c, reader: bufio.NewReader(c)}
}

// waitUsed waits until heads hold the given number of bytes.
func (s *server) waitUsed(t *testing.T, bytes int64) {
	t.Helper()
	for b := time.Now(); time.Since(b) < waitTime; time.Sleep(time.Millisecond) {
		s.mu.Lock()
		n := s.used
		s.mu.Unlock()
		if n >= bytes {
			return
		}
	}
	t.Errorf("heads do not hold %d bytes", bytes)
}

// waitWritten waits until the server knows that all answers were written, which is after
// their callers have read them.
func (s *server) waitWritten(t *testing.T) {
	t.Helper()
	for b := time.Now(); time.Since(b) < waitTime; time.Sleep(time.Millisecond) {
		s.mu.Lock()
		n := 0
		for c := range s.open {
			if c.answering {
				n++
			}
		}
		s.mu.Unlock()
		if n == 0 {
			return
		}
	}
	t.Error("answers were not written")
}

// send sends text.
func (c *client) send(text string) *client {
	_, _ = io.WriteString(c, text)
	return c
}

// status returns the status of the next answer, whose body is not read, or 0 if the connection
// ends instead.
func (c *client) status() int {
	p, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0
	}
	return p.StatusCode
}

// assertEnds checks that the server closes the connection without an answer.
func (c *client) assertEnds() {
	c.t.Helper()
	_, err := http.ReadResponse(c.reader, nil)
	is.New(c.t).True(err != nil)
	is.New(c.t).True(!errors.Is(err, os.ErrDeadlineExceeded))
}

// assertServed checks that the server answers.
func (c *client) assertServed() {
	c.t.Helper()
	is.New(c.t).Equal(c.status(), http.StatusOK)
}

const (
	call  = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	block = "GET /block HTTP/1.1\r\nHost: h\r\n\r\n"
	part  = "GET / HTTP/1.1\r\nHost: h\r\n"
)

// longHead returns a part of a head with count lines.
func longHead(count int) string { return part + strings.Repeat("a: b\r\n", count) }

// TestConnections guards against callers that cannot connect because others hold all
// connections, and against calls that are broken off for new connections.
func TestConnections(t *testing.T) {
	for name, text := range map[string]string{"a connection with a part of a head is closed": part, "a connection without a request is closed": ""} {
		t.Run(name, func(t *testing.T) {
			s := start(t, 2, 1<<20)
			idle := s.dial(t).send(call)
			idle.assertServed()
			incomplete := s.dial(t).send(text)
			s.dial(t).send(call).assertServed()
			incomplete.assertEnds()
			idle.send(call).assertServed()
			is.New(t).Equal(s.Closed.Count(), int64(1))
		})
	}
	t.Run("the connection that was idle for the longest time is closed", func(t *testing.T) {
		s := start(t, 2, 1<<20)
		a, b := s.dial(t).send(call), s.dial(t).send(call)
		a.assertServed()
		b.assertServed()
		b.send(call).assertServed()
		s.waitWritten(t)
		s.dial(t).send(call).assertServed()
		a.assertEnds()
		b.send(call).assertServed()
	})
	t.Run("no call is broken off", func(t *testing.T) {
		s := start(t, 2, 1<<20)
		a, b := s.dial(t).send(block), s.dial(t).send(block)
		a.assertServed()
		b.assertServed()
		s.dial(t).send(call).assertEnds()
		close(s.blocked)
		a.send(call)
		_, err := io.CopyN(io.Discard, a.reader, 1)
		is.New(t).NoErr(err)
	})
	t.Run("a body that stops", func(t *testing.T) {
		s := start(t, 1, 1<<20)
		a := s.dial(t).send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n1")
		s.dial(t).send(call).assertServed()
		a.assertEnds()
	})
}

// TestHeads guards against heads of many lines that take the memory of the host, and against
// usual requests that are refused because of them.
func TestHeads(t *testing.T) {
	const lines = 1000
	t.Run("heads that stop are closed for others", func(t *testing.T) {
		s := start(t, 0, 600<<10)
		a := s.dial(t).send(longHead(lines))
		s.waitUsed(t, 250<<10)
		b := s.dial(t).send(longHead(lines))
		s.waitUsed(t, 500<<10)
		s.dial(t).send(longHead(lines) + "\r\n").assertServed()
		a.assertEnds()
		b.send("\r\n").assertServed()
	})
	t.Run("a head beyond all memory", func(t *testing.T) {
		s := start(t, 0, 100<<10)
		s.dial(t).send(longHead(lines)).assertEnds()
		s.dial(t).send(call).assertServed()
	})
	t.Run("usual heads beside calls that hold all memory", func(t *testing.T) {
		s := start(t, 0, 300<<10)
		a := s.dial(t).send(strings.Replace(longHead(lines), "/ ", "/block ", 1) + "\r\n")
		a.assertServed()
		s.dial(t).send(longHead(lines)).assertEnds()
		s.dial(t).send(call).assertServed()
		close(s.blocked)
	})
	t.Run("memory is released with the call", func(t *testing.T) {
		s := start(t, 0, 300<<10)
		for range 3 {
			s.dial(t).send(longHead(lines) + "\r\n").assertServed()
		}
		c := s.dial(t)
		for range 3 {
			c.send(longHead(lines) + "\r\n").assertServed()
		}
	})
}

// TestLimits guards against limits that leave a host without connections, or with more than
// it has descriptors.
func TestLimits(t *testing.T) {
	check := func(megabytes int64, descriptors, connections int) {
		t.Helper()
		is.New(t).Equal(CallerConnections(megabytes, descriptors), connections)
	}
	check(80, 3075, 640)
	check(120, 3075, 958)
	check(536, 8192, 2664)
	check(0, 4100, 1300)
	check(80, 100, 64)
	is := is.New(t)
	is.True(CallerConnections(0, 0) > 0)
	is.Equal(HeadBytes(80), int64(5<<20))
	is.True(HeadBytes(0) > 0)
}

// TestWithoutGuard covers requests on connections that the guard does not know.
func TestWithoutGuard(t *testing.T) {
	g := &Guard{Clock: clock.System{}}
	c, _ := net.Pipe()
	defer c.Close()
	is.New(t).Equal(g.ConnContext(context.Background(), c), context.Background())
}
