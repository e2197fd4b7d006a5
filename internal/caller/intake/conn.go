package intake

import (
	"bytes"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// conn is a connection of a server that a Guard bounds. But for those of net.Conn, its
// fields are guarded by Guard.mu.
type conn struct {
	net.Conn
	guard *Guard
	// calls is the number of calls that run, and bodies that of calls whose bodies are
	// still read. The connections of HTTP/2 may have several.
	calls, bodies int
	// served is set once a call has begun.
	served bool
	// refused is set if there was no room for the connection. It does not change.
	refused bool
	// since is the time of the last begin or end of a call or a body.
	since time.Time
	// answering is set from the end of a call whose body was read until its answer was
	// written, and endedAt is the time of the last such end.
	answering bool
	endedAt   time.Time
	// closed is set once the connection was closed for another one.
	closed bool
	// head is about the memory of the head that is read, in bytes, and held the part of
	// the budget that it holds.
	head, held int64
}

// Read implements net.Conn. It fails if there is no memory for the head that is read.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.count(p[:n]) {
		_ = c.Conn.Close()
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: errors.WithStack(net.ErrClosed)}
	}
	return n, err
}

// count counts data, which was read, if it belongs to a head. It returns false if there is
// no memory for the head.
func (c *conn) count(data []byte) bool {
	if c.guard.HeadBytes == 0 {
		return true
	}
	n := int64(byteFactor*len(data) + lineBytes*bytes.Count(data, []byte{'\n'}))
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	if c.calls > 0 {
		return true
	}
	if c.head == 0 {
		c.since = c.guard.Clock.Now()
	}
	c.head += n
	return c.guard.holdLocked(c)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.guard.remove(c)
	return c.Conn.Close()
}

// NetConn returns the connection below.
func (c *conn) NetConn() net.Conn { return c.Conn }

// SetLinger is the method of net.TCPConn. It fails for a connection that has none.
func (c *conn) SetLinger(seconds int) error {
	l, ok := c.Conn.(interface{ SetLinger(seconds int) error })
	if !ok {
		return errors.WithStack(http.ErrNotSupported)
	}
	return l.SetLinger(seconds)
}

// begin records that the head of q is complete. It returns false if c was closed for another
// connection: q must not run, since its answer would be lost.
func (c *conn) begin(q *request) bool {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	if c.closed {
		return false
	}
	c.calls++
	c.served = true
	c.since = c.guard.Clock.Now()
	if q.body {
		c.bodies++
	}
	return true
}

// endBody records that the body of q was read.
func (c *conn) endBody(q *request) {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.endBodyLocked(q)
}

func (c *conn) endBodyLocked(q *request) {
	if !q.body {
		return
	}
	q.body = false
	c.bodies--
	c.since = c.guard.Clock.Now()
}

// end records that the call of q has ended. The memory of its head is free then.
func (c *conn) end(q *request) {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	n := c.guard.Clock.Now()
	if !q.body {
		c.answering, c.endedAt = true, n
	}
	c.endBodyLocked(q)
	c.calls--
	c.since = n
	if c.calls == 0 {
		c.guard.used -= c.held
		c.head, c.held = 0, 0
	}
}

// endAnswers records that all answers were written.
func (c *conn) endAnswers() {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.answering = false
}

// isIncomplete reports whether a request is not complete, or none has been sent.
func (c *conn) isIncomplete() bool {
	return c.bodies > 0 || c.calls == 0 && (!c.served || c.head > 0)
}

// isClosable reports whether c may be closed for another connection: it runs no call
// whose body was read, and the server has written the answers.
func (c *conn) isClosable() bool {
	return c.calls == c.bodies && (!c.answering || c.guard.Clock.Now().Sub(c.endedAt) >= answerTime)
}

// isClosableWithHead reports whether c may be closed for the memory that it holds for a
// request that is not complete.
func (c *conn) isClosableWithHead() bool { return c.held > 0 && c.isIncomplete() && c.isClosable() }

// mayBeSending reports whether the rest of a request, or the next one, may be on its way at the
// time now. A usual request is whole soon after its first byte.
func (c *conn) mayBeSending(now time.Time) bool {
	d := headTime
	if c.served && !c.isIncomplete() {
		d = pauseTime
	}
	return now.Sub(c.since) < d
}

// comesBefore reports whether c is closed before other.
func (c *conn) comesBefore(other *conn) bool {
	if c.isIncomplete() != other.isIncomplete() {
		return c.isIncomplete()
	}
	return c.since.Before(other.since)
}

// listener accepts connections that a Guard bounds.
type listener struct {
	net.Listener
	guard *Guard
}

// Accept implements net.Listener. It closes connections for which there is no room.
func (l *listener) Accept() (net.Conn, error) {
	for {
		n, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: n, guard: l.guard}
		if l.guard.add(c) {
			return c, nil
		}
		n.Close()
	}
}

// SetDeadline is the method of net.TCPListener.
func (l *listener) SetDeadline(deadline time.Time) error {
	d, ok := l.Listener.(interface{ SetDeadline(time.Time) error })
	if !ok {
		return errors.WithStack(http.ErrNotSupported)
	}
	return d.SetDeadline(deadline)
}

// SyscallConn implements syscall.Conn.
func (l *listener) SyscallConn() (syscall.RawConn, error) {
	s, ok := l.Listener.(syscall.Conn)
	if !ok {
		return nil, errors.WithStack(http.ErrNotSupported)
	}
	return s.SyscallConn()
}
