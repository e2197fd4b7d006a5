package idle

import (
	"net"
	"net/http"
	"os"
	"syscall"

	"github.com/pkg/errors"
)

// maxDiscarded bounds the bytes that are discarded when a connection is closed.
const maxDiscarded = 64 << 10

// conn is a connection that records when bytes are read.
type conn struct {
	net.Conn
	connections *Connections
}

// NetConn returns the connection below.
func (k *conn) NetConn() net.Conn { return k.Conn }

// SetLinger is the method of net.TCPConn. It fails for a connection that has none.
func (k *conn) SetLinger(seconds int) error {
	l, ok := k.Conn.(interface{ SetLinger(seconds int) error })
	if !ok {
		return errors.WithStack(http.ErrNotSupported)
	}
	return errors.WithStack(l.SetLinger(seconds))
}

// Close implements net.Conn. If a request was served last, it discards what the caller has
// sent after it: the kernel resets a connection that is closed with unread bytes, and the
// caller loses the part of its answer that is still on its way.
func (k *conn) Close() error {
	if k.connections.isActive(k) {
		discard(k.Conn)
	}
	return k.Conn.Close()
}

// discard discards what has arrived on connection, up to maxDiscarded. net.Conn has no such
// read: the read deadline of a connection that is about to be closed has passed.
func discard(connection net.Conn) {
	r := rawConn(connection)
	if r == nil {
		return
	}
	// It fails only for a connection that is closed already.
	_ = r.Control(func(fd uintptr) {
		var b [4 << 10]byte
		for range maxDiscarded / len(b) {
			n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_DONTWAIT)
			if err != nil || n <= 0 {
				return
			}
		}
	})
}

// rawConn returns the socket of connection or of the one below it, or nil if there is none.
func rawConn(connection net.Conn) syscall.RawConn {
	for {
		s, ok := connection.(syscall.Conn)
		if ok {
			r, _ := s.SyscallConn() // nil if it fails
			return r
		}
		u, ok := connection.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		connection = u.NetConn()
	}
}

// Read implements net.Conn.
func (k *conn) Read(b []byte) (int, error) {
	n, err := k.Conn.Read(b)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && k.connections.isExpired(k) {
		k.connections.setReadDeadline(k.Conn, k.connections.Clock.Now().Add(lastReadTime))
		n, err = k.Conn.Read(b)
	}
	if n > 0 {
		k.connections.recordRead(k)
	}
	return n, err
}
