package tunnel

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

// conn is the near end of a tunnel. Its deadlines are those of a pipe to the
// goroutines that copy its bytes to and from the stream.
type conn struct {
	net.Conn
	host   sardineknot.EntryHostID
	cancel context.CancelFunc
	// failure is the error with which the connection broke off. It is nil if the server
	// has closed it.
	failure atomic.Pointer[error]
	// serverEnded is set if the other host has reported that the server closed or reset
	// the connection.
	serverEnded atomic.Bool
}

var _ sardineknot.TunnelConn = (*conn)(nil)

// newConn returns the near end of a tunnel through host, which reads from response and
// writes to writer. cancel ends the stream.
func newConn(host sardineknot.EntryHostID, response *http.Response, writer *io.PipeWriter, cancel context.CancelFunc) *conn {
	n, f := net.Pipe()
	k := &conn{Conn: n, host: host, cancel: cancel}
	go func() {
		_, err := io.CopyBuffer(writer, f, make([]byte, bufferBytes))
		writer.CloseWithError(err)
	}()
	go func() {
		_, err := io.CopyBuffer(f, response.Body, make([]byte, bufferBytes))
		k.recordEnd(err, serverEnd(response.Trailer.Get(endTrailer)))
		f.Close()
		response.Body.Close()
	}()
	return k
}

// recordEnd records how the connection has ended: with err, or if that is nil as end
// says.
func (k *conn) recordEnd(err error, end serverEnd) {
	switch {
	case err != nil:
	case end == serverClosed:
		k.serverEnded.Store(true)
		return
	case end == serverReset:
		k.serverEnded.Store(true)
		err = syscall.ECONNRESET
	default:
		err = io.ErrUnexpectedEOF
	}
	err = errors.Wrapf(err, "tunnel through %s", k.host)
	k.failure.Store(&err)
}

// Host implements sardineknot.TunnelConn.
func (k *conn) Host() sardineknot.EntryHostID { return k.host }

// ServerEnded implements sardineknot.TunnelConn.
func (k *conn) ServerEnded() bool { return k.serverEnded.Load() }

// Read implements net.Conn.
func (k *conn) Read(b []byte) (int, error) {
	n, err := k.Conn.Read(b)
	if f := k.failure.Load(); f != nil && errors.Is(err, io.EOF) {
		return n, *f
	}
	return n, err
}

// Close implements net.Conn.
func (k *conn) Close() error {
	k.cancel()
	return k.Conn.Close()
}
