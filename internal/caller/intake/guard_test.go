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
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"sardineknot.example/sardineknot/internal/host/clock"
)

// waitTime bounds the wait for what happens within milliseconds.
const waitTime = 20 * time.Second

// testClock is a clock that a test advances. Each call of Now returns a later time.
type testClock struct{ nanoseconds atomic.Int64 }

func (c *testClock) Now() time.Time { return time.Unix(1000, c.nanoseconds.Add(1)) }

// pass lets the time pass in which the next request of a connection may be on its way.
func (c *testClock) pass() { c.nanoseconds.Add(int64(pauseTime)) }

// server is a server whose connections a Guard bounds.
type server struct {
	*Guard
	clock   *testClock
	address string
	// blocked is closed to end the calls of /block.
	blocked chan struct{}
}

// start starts a server with the given limits. It reads bodies, and answers.
func start(t *testing.T, connections int, headBytes int64) *server {
	k := &testClock{}
	s := &server{
		Guard: &Guard{
			Connections: connections, Refusals: 2, HeadBytes: headBytes, Clock: k, Closed: metrics.NewCounter(), Refused: metrics.NewCounter(),
		},
		clock:   k,
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
	s.wait(t, func() bool { return s.used >= bytes })
}

// waitOpen waits until the given number of connections is open.
func (s *server) waitOpen(t *testing.T, count int) {
	t.Helper()
	s.wait(t, func() bool { return len(s.open) == count })
}

// waitBody waits until the body of a request is being read.
func (s *server) waitBody(t *testing.T) {
	t.Helper()
	s.wait(t, func() bool {
		for c := range s.open {
			if c.bodies > 0 {
				return true
			}
		}
		return false
	})
}

// wait waits until condition is true, which is called with mu held.
func (s *server) wait(t *testing.T, condition func() bool) {
	t.Helper()
	for b := time.Now(); time.Since(b) < waitTime; time.Sleep(time.Millisecond) {
		s.mu.Lock()
		k := condition()
		s.mu.Unlock()
		if k {
			return
		}
	}
	t.Error("the connections are not in the expected state")
}

// waitWritten waits until the server has recorded that all answers were written, which is after
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
			s.wait(t, func() bool {
				n := int64(0)
				for c := range s.open {
					n += c.head
				}
				return len(s.open) == 2 && (n > 0 || text == "")
			})
			s.clock.pass()
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
		s.clock.pass()
		b.send(call).assertServed()
		s.waitWritten(t)
		s.dial(t).send(call).assertServed()
		a.assertEnds()
		b.send(call).assertServed()
	})
	t.Run("a body that stops", func(t *testing.T) {
		s := start(t, 1, 1<<20)
		a := s.dial(t).send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n1")
		s.waitBody(t)
		s.clock.pass()
		s.dial(t).send(call).assertServed()
		a.assertEnds()
	})
}

// TestFullOfCalls guards against callers without an answer because all connections run calls.
func TestFullOfCalls(t *testing.T) {
	t.Run("no call is broken off", func(t *testing.T) {
		s := start(t, 2, 1<<20)
		a, b := s.dial(t).send(block), s.dial(t).send(block)
		a.assertServed()
		b.assertServed()
		c := s.dial(t).send(call)
		is.New(t).Equal(c.status(), http.StatusServiceUnavailable)
		c.assertEnds()
		is.New(t).Equal(s.Refused.Count(), int64(1))
		close(s.blocked)
		a.send(call)
		_, err := io.CopyN(io.Discard, a.reader, 1)
		is.New(t).NoErr(err)
	})
	t.Run("connections beyond those that are refused", func(t *testing.T) {
		s := start(t, 1, 1<<20)
		s.dial(t).send(block).assertServed()
		a, b := s.dial(t), s.dial(t)
		s.waitOpen(t, 3)
		c := s.dial(t)
		a.assertEnds()
		for _, r := range []*client{b, c} {
			is.New(t).Equal(r.send(call).status(), http.StatusServiceUnavailable)
		}
		close(s.blocked)
	})
	t.Run("a server that refuses no calls ends connections", func(t *testing.T) {
		s := start(t, 1, 1<<20)
		s.Refusals = 0
		s.dial(t).send(block).assertServed()
		s.dial(t).send(call).assertEnds()
		close(s.blocked)
	})
}

// TestRequestsOnTheirWay guards against requests that are broken off because their connections
// are closed for others while they arrive.
func TestRequestsOnTheirWay(t *testing.T) {
	t.Run("a request on its way is not broken off for another connection", func(t *testing.T) {
		s := start(t, 2, 1<<20)
		idle := s.dial(t).send(call)
		idle.assertServed()
		s.waitWritten(t)
		s.clock.pass()
		a := s.dial(t)
		s.waitOpen(t, 2)
		s.dial(t).send(call).assertServed()
		idle.assertEnds()
		a.send(call).assertServed()
	})
	t.Run("a head or a body on its way is not broken off for another connection", func(t *testing.T) {
		for _, part := range []string{part, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n"} {
			s := start(t, 1, 1<<20)
			a := s.dial(t).send(call)
			a.assertServed()
			a.send(part)
			s.wait(t, func() bool {
				for c := range s.open {
					return c.head > 0 || c.bodies > 0
				}
				return false
			})
			is.New(t).Equal(s.dial(t).send(call).status(), http.StatusServiceUnavailable)
			a.send("\r\n").assertServed()
		}
	})
	t.Run("a connection in use is not closed for another one", func(t *testing.T) {
		s := start(t, 2, 1<<20)
		s.dial(t).send(block).assertServed()
		a := s.dial(t).send(call)
		a.assertServed()
		s.clock.nanoseconds.Add(int64(pauseTime / 2))
		is.New(t).Equal(s.dial(t).send(call).status(), http.StatusServiceUnavailable)
		a.send(call).assertServed()
		close(s.blocked)
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
