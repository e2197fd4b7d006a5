package idle

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// lastReadTime is the time for which a connection that is about to be closed is read
// once more. A request may have arrived that the server was not yet woken up for.
const lastReadTime = time.Millisecond

// Listener returns a listener for the server whose connections c tracks. Drain closes
// it after its last pending connection was accepted.
func (c *Connections) Listener(inner net.Listener) net.Listener {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listener = &listener{Listener: inner, connections: c, drained: make(chan struct{})}
	return c.listener
}

// Drain accepts the connections that wait to be accepted, closes the listener, and
// waits until all connections are closed or ctx is done, whose error it returns then. It
// closes idle connections, but none from which a byte of a request was read. The caller
// must see to it that answers close their connections.
func (c *Connections) Drain(ctx context.Context) error {
	c.mu.Lock()
	c.draining = true
	l := c.listener
	c.mu.Unlock()
	if l != nil {
		l.drain(ctx)
	}
	t := time.NewTicker(drainInterval)
	defer t.Stop()
	for c.count() > 0 {
		select {
		case <-t.C:
			c.closeExpired()
		case <-ctx.Done():
			return errors.WithStack(ctx.Err())
		}
	}
	return nil
}

// count returns the number of open connections.
func (c *Connections) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.tracked)
}

// listener accepts connections whose reads are recorded.
type listener struct {
	net.Listener
	connections *Connections
	// draining is set once only pending connections are accepted, and drained is
	// closed after the last of them.
	draining atomic.Bool
	drained  chan struct{}
}

// drain accepts all pending connections and closes the listener. It returns when this
// is done or ctx is.
func (l *listener) drain(ctx context.Context) {
	l.draining.Store(true)
	d, ok := l.Listener.(interface{ SetDeadline(time.Time) error })
	if !ok || d.SetDeadline(pastDeadline) != nil {
		l.Close()
		return
	}
	select {
	case <-l.drained:
	case <-ctx.Done():
	}
}

// Accept implements net.Listener. It fails with http.ErrServerClosed after the last
// connection was accepted.
func (l *listener) Accept() (net.Conn, error) {
	n, err := l.Listener.Accept()
	if err != nil && l.draining.Load() {
		n, err = l.acceptPending()
		if err != nil {
			l.Close()
			close(l.drained)
			return nil, http.ErrServerClosed
		}
	}
	if err != nil {
		return nil, err
	}
	return &conn{Conn: n, connections: l.connections}, nil
}

// acceptPending accepts a connection that the kernel has established. It fails at once
// if there is none. net.Listener has no such method, and its deadline would leave time
// for another connection between the last attempt and the close.
func (l *listener) acceptPending() (net.Conn, error) {
	s, ok := l.Listener.(syscall.Conn)
	if !ok {
		return nil, errors.WithStack(net.ErrClosed)
	}
	r, err := s.SyscallConn()
	if err != nil {
		return nil, errors.WithStack(err)
	}
	var d int
	var e error
	err = r.Control(func(fd uintptr) {
		d, _, e = syscall.Accept4(int(fd), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
	})
	if err == nil {
		err = e
	}
	if err != nil {
		return nil, errors.WithStack(err)
	}
	f := os.NewFile(uintptr(d), "")
	defer f.Close()
	n, err := net.FileConn(f)
	return n, errors.WithStack(err)
}
