package idle_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot/internal/caller/idle"
	"sardineknot.example/sardineknot/internal/host/clock"
)

// pipeListener is a net.Listener that accepts one connection.
type pipeListener struct{ conns chan net.Conn }

func (l *pipeListener) Accept() (net.Conn, error) {
	n, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return n, nil
}

func (l *pipeListener) Close() error   { return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// serveAtExpiry serves a caller that sends a second request just before its idle
// connection expires. The connection expires after the server has read the
// request and before the server reports the connection as active. It returns the
// status of the answer to the second request.
func serveAtExpiry(t *testing.T) (status int, err error) {
	const limit = 4 * time.Second
	c := &idle.Connections{IdleTimeout: func() time.Duration { return limit }, Clock: clock.System{}}
	requests := 0
	s := &http.Server{
		Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}),
		ConnState: func(n net.Conn, x http.ConnState) {
			if x == http.StateActive {
				requests++
				time.Sleep(time.Duration(requests-1) * limit)
			}
			c.Track(n, x)
		},
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = c.Run(ctx) }()
	caller, n := net.Pipe()
	defer caller.Close()
	l := &pipeListener{conns: make(chan net.Conn, 1)}
	l.conns <- n
	go func() { _ = s.Serve(l) }()
	defer func() { close(l.conns); s.Close() }()
	r := bufio.NewReader(caller)
	for i := range 2 {
		time.Sleep(time.Duration(i) * limit)
		status, err = get(caller, r)
	}
	// The server has to leave its hook before the test ends.
	time.Sleep(limit)
	return status, err
}

// get sends a request on connection, whose data r reads, and returns the status
// of the answer.
func get(connection net.Conn, r *bufio.Reader) (int, error) {
	_, err := connection.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
	if err != nil {
		return 0, err
	}
	p, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0, err
	}
	return p.StatusCode, p.Body.Close()
}

// TestRequestAtExpiry guards against closing an idle connection after a request
// was read from it, which would run the request and lose its answer.
func TestRequestAtExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n, err := serveAtExpiry(t)
		is.NoErr(err)
		is.Equal(n, http.StatusOK)
	})
}

// TestLongerLimit guards against closing a connection that became idle before
// the idle timeout was raised: its caller goes by the longer timeout.
func TestLongerLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := 4 * time.Second
		c := &idle.Connections{IdleTimeout: func() time.Duration { return l }, Clock: clock.System{}}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = c.Run(ctx) }()
		n := &conn{}
		c.Track(n, http.StateIdle)
		time.Sleep(3500 * time.Millisecond)
		l = 20 * time.Second
		time.Sleep(12500 * time.Millisecond)
		is.True(!n.closed) // four fifths of the longer timeout have passed
		time.Sleep(10 * time.Second)
		is.True(n.closed)
	})
}
