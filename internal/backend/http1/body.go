package http1

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

// body is the body of an answer. It gives the connection back at its end.
type body struct {
	conn     *conn
	response *http.Response
	stop     func() bool
	context  context.Context
	// ended tells that the connection was given back or closed.
	ended bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if b.ended {
		return 0, io.EOF
	}
	n, err := b.response.Body.Read(p)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF):
		b.finish()
		return n, io.EOF
	default:
		b.abort()
		return n, errors.WithStack(&sardineknot.UnavailableError{Peer: b.conn.server.String(), Cause: cause(b.context, err)})
	}
}

// Close implements io.Closer. It ends the exchange if the answer was not read
// to its end.
func (b *body) Close() error {
	if !b.ended {
		b.abort()
	}
	return nil
}

// finish gives the connection back if both messages are whole and nothing
// follows.
func (b *body) finish() {
	b.ended = true
	s := b.stop()
	if !s || b.response.Close || b.conn.reader.Buffered() > 0 || !b.sent() {
		b.conn.Close()
		return
	}
	b.conn.keep = keepTime(b.response)
	b.conn.client.put(b.conn)
}

// sentWait is the time that the writer of a request has to tell that it is done
// after the whole answer was read. One that takes longer still writes.
const sentWait = 2 * time.Millisecond

// sent reports whether the whole request was written.
func (b *body) sent() bool {
	select {
	case err := <-b.conn.written:
		return err == nil
	case <-time.After(sentWait):
		return false
	}
}

func (b *body) abort() {
	b.ended = true
	b.stop()
	b.conn.Close()
}

// eof returns nil for io.EOF.
func eof(err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return errors.WithStack(err)
}
