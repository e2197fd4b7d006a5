package idle_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"sardineknot.example/sardineknot/internal/caller/idle"
	"sardineknot.example/sardineknot/internal/host/clock"
)

// drained is a server that is drained. After leaving is set, its answers close their
// connections.
type drained struct {
	connections *idle.Connections
	server      *http.Server
	leaving     atomic.Bool

	mu sync.Mutex
	// began holds the paths of the requests that were handled.
	began map[string]bool
}

func newDrained() *drained {
	d := &drained{began: make(map[string]bool)}
	d.connections = &idle.Connections{IdleTimeout: func() time.Duration { return time.Minute }, Clock: clock.System{}}
	d.server = &http.Server{Handler: d, ConnState: d.connections.Track}
	return d
}

// ServeHTTP implements http.Handler.
func (d *drained) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	d.began[r.URL.Path] = true
	d.mu.Unlock()
	if d.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	_, _ = io.WriteString(w, "whole")
}

// drain drains d and returns the error.
func (d *drained) drain(limit time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	d.leaving.Store(true)
	return d.connections.Drain(ctx)
}

// TestDrainBacklog guards against cutting connections that callers have established, and
// on which they have sent requests, before the server accepted them.
func TestDrainBacklog(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	var callers []net.Conn
	for range 20 {
		c, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		defer c.Close()
		_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		is.NoErr(err)
		callers = append(callers, c)
	}
	d := newDrained()
	w := d.connections.Listener(l)
	e := make(chan error)
	go func() { e <- d.drain(10 * time.Second) }()
	is.Equal(d.server.Serve(w), http.ErrServerClosed)
	for _, c := range callers {
		p, err := http.ReadResponse(bufio.NewReader(c), nil)
		is.NoErr(err)
		b, err := io.ReadAll(p.Body)
		is.NoErr(err)
		is.Equal(string(b), "whole")
	}
	is.NoErr(<-e)
	_, err = net.Dial("tcp", l.Addr().String())
	is.True(err != nil)
}

// TestDrainPartOfRequest guards against cutting a connection from which the server has
// read the beginning of a request, and checks that one without a byte is closed.
func TestDrainPartOfRequest(t *testing.T) {
	for _, part := range []string{"GET", "GET / HTTP/1.1\r\nHo", ""} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			d := newDrained()
			caller, n := net.Pipe()
			defer caller.Close()
			l := &pipeListener{conns: make(chan net.Conn, 1)}
			l.conns <- n
			go func() { _ = d.server.Serve(d.connections.Listener(l)) }()
			r := bufio.NewReader(caller)
			_, err := get(caller, r)
			is.NoErr(err)
			_, err = io.WriteString(caller, part)
			is.NoErr(err)
			synctest.Wait()
			e := make(chan error, 1)
			go func() { e <- d.drain(10 * time.Second) }()
			time.Sleep(3 * time.Second)
			if part != "" {
				_, err = io.WriteString(caller, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"[len(part):])
				is.NoErr(err)
				p, err := http.ReadResponse(r, nil)
				is.NoErr(err)
				is.Equal(p.StatusCode, http.StatusOK)
				is.NoErr(p.Body.Close())
			}
			is.NoErr(<-e)
			close(l.conns)
		})
	}
}

// callInSeries makes one call after another on a connection until it ends, with a pause
// that differs from call to call, and returns the number of answers.
func callInSeries(connection net.Conn, name string) (answers int) {
	r := bufio.NewReader(connection)
	for i := 0; ; i++ {
		_, err := fmt.Fprintf(connection, "GET /%s/%d HTTP/1.1\r\nHost: h\r\n\r\n", name, i)
		if err != nil {
			return i
		}
		p, err := http.ReadResponse(r, nil)
		if err != nil {
			return i
		}
		b, err := io.ReadAll(p.Body)
		if err != nil || string(b) != "whole" {
			return i
		}
		if p.Close {
			return i + 1
		}
		time.Sleep(time.Duration(i*7%40) * 5 * time.Millisecond)
	}
}

// TestDrainUnderLoad guards against closing an idle connection at the moment at which a
// request was read from it: the request runs, and its answer is lost.
func TestDrainUnderLoad(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	d := newDrained()
	w := d.connections.Listener(l)
	go func() { _ = d.server.Serve(w) }()
	var g errgroup.Group
	var answers atomic.Int64
	for i := range 200 {
		c, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		defer c.Close()
		g.Go(func() error {
			answers.Add(int64(callInSeries(c, fmt.Sprint(i))))
			return nil
		})
	}
	time.Sleep(300 * time.Millisecond)
	is.NoErr(d.drain(10 * time.Second))
	is.NoErr(g.Wait())
	is.Equal(int(answers.Load()), len(d.began))
}

// TestDrainAtRequest guards against closing a connection between the read of a request
// and the report that the connection is active, which is what http.Server.Shutdown does:
// the request runs, and its answer is lost.
func TestDrainAtRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := newDrained()
		requests := 0
		d.server.ConnState = func(n net.Conn, x http.ConnState) {
			if x == http.StateActive {
				requests++
				time.Sleep(time.Duration(requests-1) * time.Second)
			}
			d.connections.Track(n, x)
		}
		caller, n := net.Pipe()
		defer caller.Close()
		l := &pipeListener{conns: make(chan net.Conn, 1)}
		l.conns <- n
		go func() { _ = d.server.Serve(d.connections.Listener(l)) }()
		defer close(l.conns)
		r := bufio.NewReader(caller)
		_, err := get(caller, r)
		is.NoErr(err)
		e := make(chan error, 1)
		time.AfterFunc(500*time.Millisecond, func() { e <- d.drain(10 * time.Second) })
		s, err := get(caller, r)
		is.NoErr(err)
		is.Equal(s, http.StatusOK)
		is.NoErr(<-e)
	})
}
