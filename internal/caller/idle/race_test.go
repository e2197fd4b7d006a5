package idle_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync/atomic"
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

// limit is the idle timeout of the tests in this file.
const limit = 4 * time.Second

// serve serves connection with s until the returned function is called.
func serve(s *http.Server, connection net.Conn) (stop func()) {
	l := &pipeListener{conns: make(chan net.Conn, 1)}
	l.conns <- connection
	go func() { _ = s.Serve(l) }()
	return func() { close(l.conns); s.Close() }
}

// newConnections returns connections that are checked until the test ends.
func newConnections(t *testing.T) *idle.Connections {
	c := &idle.Connections{IdleTimeout: func() time.Duration { return limit }, Clock: clock.System{}}
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go func() { _ = c.Run(ctx) }()
	return c
}

// serveAtExpiry serves a caller that sends a second request just before its idle
// connection expires. The connection expires after the server has read the
// request and before the server reports the connection as active. It returns the
// status of the answer to the second request.
func serveAtExpiry(t *testing.T) (status int, err error) {
	c := newConnections(t)
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
	caller, n := net.Pipe()
	defer caller.Close()
	defer serve(s, n)()
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

// TestServerClosesExpired checks that a server closes an idle connection, and
// one that never carried a request, soon after the limit and not before.
func TestServerClosesExpired(t *testing.T) {
	for _, requests := range []int{0, 1} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			c := newConnections(t)
			s := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), ConnState: c.Track, ReadHeaderTimeout: time.Minute}
			caller, n := net.Pipe()
			defer caller.Close()
			defer serve(s, n)()
			r := bufio.NewReader(caller)
			for range requests {
				_, err := get(caller, r)
				is.NoErr(err)
			}
			b := time.Now()
			_, err := r.ReadByte()
			is.True(err != nil)
			is.True(time.Since(b) > limit)
			is.True(time.Since(b) < limit+3*time.Second)
		})
	}
}

// closedAfter reports whether a connection that became idle under the first of
// limits is closed at the end. Each limit is in force for the duration beside it.
func closedAfter(t *testing.T, limits, durations []time.Duration) (closed bool) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		var l atomic.Int64
		l.Store(int64(limits[0]))
		c := &idle.Connections{IdleTimeout: func() time.Duration { return time.Duration(l.Load()) }, Clock: clock.System{}}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = c.Run(ctx) }()
		n := &conn{}
		c.Track(n, http.StateIdle)
		for i, x := range limits {
			l.Store(int64(x))
			time.Sleep(durations[i])
		}
		synctest.Wait()
		closed = n.closed.Load()
	})
	return closed
}

// TestChangedLimit guards against closing a connection that its caller may still
// use by an idle timeout that has been in force since it became idle.
func TestChangedLimit(t *testing.T) {
	const longer = 5 * limit
	early := limit - time.Second
	t.Run("longer limit", func(t *testing.T) {
		is.New(t).True(!closedAfter(t, []time.Duration{limit, longer}, []time.Duration{early, longer - limit}))
		is.New(t).True(closedAfter(t, []time.Duration{limit, longer}, []time.Duration{early, longer + limit}))
	})
	t.Run("longer and shorter again", func(t *testing.T) {
		l := []time.Duration{limit, longer, limit}
		is.New(t).True(!closedAfter(t, l, []time.Duration{early, early, longer - 2*limit}))
		is.New(t).True(closedAfter(t, l, []time.Duration{early, early, longer}))
	})
	t.Run("no limit any more", func(t *testing.T) {
		is.New(t).True(!closedAfter(t, []time.Duration{limit, 0}, []time.Duration{early, time.Hour}))
	})
}
