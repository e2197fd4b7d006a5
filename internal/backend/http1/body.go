package http1

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// body is the body of a response. When a read reaches the end of the body, the
// connection returns to the idle connections of the client. Close may be called during a
// read, which then fails.
type body struct {
	conn     *conn
	response *http.Response
	stop     func() bool
	context  context.Context

	// mu guards the fields below.
	mu sync.Mutex
	// done is set when the connection was returned or closed, and err is what Read
	// returns then.
	done bool
	err  error
}

// Read implements io.Reader.
func (b *body) Read(buffer []byte) (int, error) {
	b.mu.Lock()
	d, err := b.done, b.err
	b.mu.Unlock()
	if d {
		return 0, err
	}
	n, err := b.response.Body.Read(buffer)
	if err == nil {
		return n, nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.done:
	case errors.Is(err, io.EOF):
		b.finish()
	default:
		b.abort(errors.WithStack(b.conn.unavailable(cause(b.context, err))))
	}
	return n, b.err
}

// Close implements io.Closer. It closes the connection if the response was not
// read to its end.
func (b *body) Close() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.done {
		b.abort(errors.WithStack(errClosed))
	}
	return nil
}

// finish returns the connection to the idle connections of the client if the
// request and the response are complete and no further bytes were received.
// Otherwise it closes the connection. The caller must hold mu.
func (b *body) finish() {
	b.done, b.err = true, io.EOF
	s := b.stop()
	if !s || b.response.Close || b.conn.reader.Buffered() > 0 || !b.requestSent() {
		b.conn.Close()
		return
	}
	b.conn.idleTimeout = parseIdleTimeout(b.response)
	b.conn.client.putIdle(b.conn)
}

// writeGrace limits the wait for the end of writing the request, after the
// complete response was read. A request that is still being written after that
// time counts as incomplete.
const writeGrace = 2 * time.Millisecond

// requestSent reports whether the complete request was written without an
// error.
func (b *body) requestSent() bool {
	select {
	case err := <-b.conn.written:
		return err == nil
	case <-time.After(writeGrace):
		return false
	}
}

// errClosed is what Read returns after Close, if the body was not read to its end.
var errClosed = errors.New("the body is closed")

// abort closes the connection. Read returns err from now on. The caller must hold mu.
func (b *body) abort(err error) {
	b.done, b.err = true, err
	b.stop()
	b.conn.Close()
}

// ignoreEOF returns nil if err is io.EOF, and err otherwise.
func ignoreEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return errors.WithStack(err)
}
