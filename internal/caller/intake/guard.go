// Package intake bounds what the connections of a server take before their calls run:
// their number, and the memory of the heads of their requests.
//
// A client may send heads of very many short lines, whose parsed form takes many times
// their bytes, or requests that stop short of their end, on as many connections as it can
// open. A head beyond the usual size takes its memory from a budget that all connections
// share. If that is used up, or if there are too many connections, those whose requests
// are not complete are closed, the oldest first. Usual requests are complete within
// milliseconds, so that their connections stay open. No connection is closed while a call
// runs whose body was read. If all connections run calls, some more are accepted, whose calls
// are refused with status 503.
package intake

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"sardineknot.example/sardineknot"
)

const (
	// connectionsPerMegabyte is the number of connections of callers for each megabyte of the
	// memory limit. An open connection takes some 24 KB.
	connectionsPerMegabyte = 8
	// reservedDescriptors are for files. 1/callerDescriptorParts of all others are for
	// connections of callers: calls need connections to servers and to other hosts as well.
	reservedDescriptors   = 200
	callerDescriptorParts = 3
	// minConnections is the least limit of connections of callers.
	minConnections = 64
	// usualDescriptors replaces a limit of descriptors that is not known, and
	// unlimitedDescriptors one that is greater.
	usualDescriptors     = 1024
	unlimitedDescriptors = 1 << 20
	// 1/headMemoryParts of the memory limit is for the heads at each address. It is
	// defaultHeadBytes without a memory limit.
	headMemoryParts  = 16
	defaultHeadBytes = 16 << 20
	// lineBytes is about the memory of a line of a head in its parsed form, and byteFactor
	// that of each of its bytes.
	lineBytes  = 256
	byteFactor = 2
	// freeHeadBytes is the memory of a head that is not counted. Nearly all need less.
	freeHeadBytes = 8 << 10
	// answerTime is the time for which a connection is kept after the end of a call, while
	// the server writes the rest of the answer. A caller that takes none of it for longer
	// loses its connection if there are too many.
	answerTime = 10 * time.Second
	// headTime is the time from the start of a connection in which the head of its first
	// request usually arrives. Connections that are closed before it are closed without an
	// answer, although their callers have just sent a request.
	headTime = 20 * time.Millisecond
	// pauseTime is the time between two calls on a connection that is in use. If it is closed
	// within that time, the next request may be on its way.
	pauseTime = 100 * time.Millisecond
	// refusedRetryAfter is the Retry-After time of calls that are refused, in seconds.
	refusedRetryAfter = "0.500"
)

// Guard bounds the connections of one server. It is safe for concurrent use. The exported
// fields must be set before use.
type Guard struct {
	// Connections is the maximum number of open connections. Zero means that they are not
	// bounded.
	Connections int
	// Refusals is the maximum number of open connections beyond Connections, whose calls are
	// refused. They must not be those of HTTP/2, which carry many calls. Zero means that
	// connections without room are closed.
	Refusals int
	// HeadBytes is the memory of all heads together, beyond the usual size of each, in
	// bytes. Zero means that heads are not counted.
	HeadBytes int64
	// Clock returns the current time.
	Clock sardineknot.Clock
	// Closed counts the connections that were closed for others. Nil counts none.
	Closed metrics.Counter
	// Refused counts the calls that were refused. Nil counts none.
	Refused metrics.Counter

	mu sync.Mutex
	// open holds the open connections.
	open map[*conn]struct{}
	// used is the part of HeadBytes that open connections hold.
	used int64
}

// HeadBytes returns the memory for heads of a process with the given memory limit. Zero means
// that there is no limit.
func HeadBytes(memoryMegabytes int64) int64 {
	if memoryMegabytes <= 0 {
		return defaultHeadBytes
	}
	return memoryMegabytes << 20 / headMemoryParts
}

// CallerConnections returns the number of connections of callers that a process may have with
// the given limits of its memory and its descriptors. Zero means no limit of the memory, and
// the limit of the operating system for the descriptors.
func CallerConnections(memoryMegabytes int64, maxDescriptors int) int {
	if maxDescriptors <= 0 {
		maxDescriptors = systemDescriptors()
	}
	n := (maxDescriptors - reservedDescriptors) / callerDescriptorParts
	if memoryMegabytes > 0 {
		n = min(n, int(memoryMegabytes)*connectionsPerMegabyte)
	}
	return max(n, minConnections)
}

// systemDescriptors returns the operating system's limit of descriptors.
func systemDescriptors() int {
	var l syscall.Rlimit
	err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l)
	if err != nil {
		return usualDescriptors
	}
	return int(min(l.Cur, unlimitedDescriptors))
}

// Serve makes g the guard of server, whose handler is set, and returns the listener that
// server is to serve. inner is that of a TCP address.
func (g *Guard) Serve(server *http.Server, inner net.Listener) net.Listener {
	server.Handler = g.Handler(server.Handler)
	if server.ConnContext == nil {
		server.ConnContext = g.ConnContext
	}
	f := server.ConnState
	server.ConnState = func(connection net.Conn, state http.ConnState) {
		if c := guarded(connection); c != nil && state == http.StateIdle {
			c.endAnswers()
		}
		if f != nil {
			f(connection, state)
		}
	}
	return g.Listener(inner)
}

// Listener returns a listener whose connections g bounds. inner is that of a TCP address.
func (g *Guard) Listener(inner net.Listener) net.Listener {
	return &listener{Listener: inner, guard: g}
}

// Handler returns a handler that calls next and knows from then on that the head of a
// request is complete. It is the handler of the server.
func (g *Guard) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r.Context())
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		q := &request{conn: c, body: r.Body != nil && r.Body != http.NoBody}
		if !c.begin(q) {
			panic(http.ErrAbortHandler)
		}
		defer c.end(q)
		if c.refused {
			g.refuse(w)
			return
		}
		if q.body {
			r = r.WithContext(r.Context()) // the server keeps its own
			r.Body = &body{ReadCloser: r.Body, request: q}
		}
		next.ServeHTTP(w, r)
	})
}

// refuse answers a call that is not run, and ends its connection.
func (g *Guard) refuse(w http.ResponseWriter) {
	if g.Refused != nil {
		g.Refused.Inc(1)
	}
	w.Header().Set("Retry-After", refusedRetryAfter)
	w.Header().Set("Connection", "close")
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// request is a request whose head is complete.
type request struct {
	conn *conn
	// body is set until the body was read.
	body bool
}

// body is the body of a request. Its end is recorded.
type body struct {
	io.ReadCloser
	request *request
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.request.conn.endBody(b.request)
	}
	return n, err
}

// connKey is the key of the connection in a context.
type connKey struct{}

// ConnContext returns ctx with connection. It is the ConnContext of the server.
func (g *Guard) ConnContext(ctx context.Context, connection net.Conn) context.Context {
	c := guarded(connection)
	if c == nil {
		return ctx
	}
	return context.WithValue(ctx, connKey{}, c)
}

// guarded returns the connection of a Guard that is connection or below it, or nil.
func guarded(connection net.Conn) *conn {
	for connection != nil {
		c, ok := connection.(*conn)
		if ok {
			return c
		}
		u, ok := connection.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		connection = u.NetConn()
	}
	return nil
}

func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

// add adds c to the open connections. If there are too many, it closes another one, refuses
// the calls of c, or returns false if there is no room for that either.
func (g *Guard) add(c *conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.open == nil {
		g.open = make(map[*conn]struct{})
	}
	c.since = g.Clock.Now()
	if g.Connections > 0 && len(g.open) >= g.Connections && !g.makeRoomLocked(c) {
		return false
	}
	g.open[c] = struct{}{}
	return true
}

// makeRoomLocked makes room for c, or returns false if there is none.
func (g *Guard) makeRoomLocked(c *conn) bool {
	if g.Refusals == 0 {
		return g.closeOldestLocked(nil, (*conn).isClosable)
	}
	if g.closeOldestLocked(nil, func(o *conn) bool { return o.isClosable() && !o.refused && !o.mayBeSending(c.since) }) {
		return true
	}
	if len(g.open) < g.Connections+g.Refusals || g.closeOldestLocked(nil, func(o *conn) bool { return o.isClosable() && o.refused }) {
		c.refused = true
		return true
	}
	return g.closeOldestLocked(nil, (*conn).isClosable)
}

// closeOldestLocked closes one of the connections for which in returns true, but not except:
// the one whose request has been incomplete for the longest time or, if there is none, the
// one that has been idle for the longest time. It returns false if there is neither.
func (g *Guard) closeOldestLocked(except *conn, in func(*conn) bool) bool {
	var v *conn
	for c := range g.open {
		if c != except && in(c) && (v == nil || c.comesBefore(v)) {
			v = c
		}
	}
	if v == nil {
		return false
	}
	g.removeLocked(v)
	if g.Closed != nil {
		g.Closed.Inc(1)
	}
	v.closed = true
	// The server ends the connection when its next read fails.
	_ = v.Conn.Close()
	return true
}

// remove removes c from the open connections.
func (g *Guard) remove(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.removeLocked(c)
}

func (g *Guard) removeLocked(c *conn) {
	delete(g.open, c)
	g.used -= c.held
	c.held = 0
}

// holdLocked makes c hold the memory of its head. It closes other connections if there is
// too little, and returns false if that is not enough.
func (g *Guard) holdLocked(c *conn) bool {
	n := c.head - freeHeadBytes - c.held
	if n <= 0 {
		return true
	}
	for g.used+n > g.HeadBytes {
		if !g.closeOldestLocked(c, (*conn).isClosableWithHead) {
			return false
		}
	}
	g.used += n
	c.held += n
	return true
}
