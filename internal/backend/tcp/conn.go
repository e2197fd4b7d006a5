package tcp

import (
	"io"
	"net"
	"sync"
	"syscall"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// conn is a TCP connection whose reads report a broken connection even if a write detected it
// first. The kernel reports the error of a socket only once, to whichever call comes first. A
// read that follows a failed write therefore returns an end of file, as after an orderly close.
type conn struct {
	net.Conn

	mu sync.Mutex
	// ended is signalled when writing has become zero.
	ended sync.Cond
	// writing is the number of writes in progress.
	writing int
	// err is the error of the first write that has failed, or nil.
	err error
}

// newConn returns a conn for connection, which must not be used any more.
func newConn(connection net.Conn) *conn {
	c := &conn{Conn: connection}
	c.ended.L = &c.mu
	return c
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	c.writing++
	c.mu.Unlock()
	n, err := c.Conn.Write(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing--
	if c.err == nil {
		c.err = err
	}
	if c.writing == 0 {
		c.ended.Broadcast()
	}
	return n, err
}

// Read implements net.Conn. It fails with io.EOF only if the peer has closed the connection
// in an orderly way.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.EOF) {
		err = c.endError()
	}
	return n, err
}

// endError returns the error for a read that has reached the end of the connection. If the
// connection is closed in both directions, a write in progress may have received the error of
// the socket without having returned yet. endError waits for that write, which the kernel does
// not block any more.
func (c *conn) endError() error {
	d := c.disconnected()
	c.mu.Lock()
	defer c.mu.Unlock()
	for d && c.writing > 0 {
		c.ended.Wait()
	}
	var n syscall.Errno
	// The kernel returns EPIPE if the peer had closed its direction before the reset. The
	// peer's data are complete then: the reset only rejects data that was written later.
	if errors.As(c.err, &n) && n != syscall.EPIPE {
		return c.err
	}
	return io.EOF
}

// disconnected reports whether the connection is closed in both directions, as after a reset.
// It is not if the peer has only closed its own direction.
func (c *conn) disconnected() bool {
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	r, err := s.SyscallConn()
	if err != nil {
		return false
	}
	d := false
	err = r.Control(func(fd uintptr) {
		i, e := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		d = e == nil && i.State == unix.BPF_TCP_CLOSE
	})
	return err == nil && d
}
