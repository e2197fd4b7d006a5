package gateway

import (
	"context"
	"net"
	"net/http"
)

const (
	// lingerReset makes the kernel reset a connection that ends, and lingerDefault makes it
	// send what was written before it ends the connection. Both are in seconds, as for
	// SetLinger of net.TCPConn.
	lingerReset   = 0
	lingerDefault = -1
)

// connectionKey is the key of the connection in the context of a request.
type connectionKey struct{}

// ConnContext returns ctx with connection, on which requests arrive. It is the ConnContext of
// the http.Server of h. Without it, answers that end with their connection look complete to
// their callers when the process is killed.
func (h *Handler) ConnContext(ctx context.Context, connection net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, connection)
}

// lingerer is a connection that may be reset, such as a net.TCPConn.
type lingerer interface {
	SetLinger(seconds int) error
}

// unfinished resets the connection of an answer if the process ends before the answer. The
// kernel ends the connections of a process that is killed in an orderly way, which is the end
// of an answer that has neither a length nor chunks. The zero value does nothing.
type unfinished struct {
	connection lingerer
}

// begin begins an answer with header to request. Only answers to callers of HTTP/1.0 lack
// chunks.
func (u *unfinished) begin(request *http.Request, header http.Header) {
	if request.ProtoAtLeast(1, 1) || header.Get("Content-Length") != "" {
		return
	}
	l, ok := request.Context().Value(connectionKey{}).(lingerer)
	if !ok {
		return
	}
	u.connection = l
	_ = l.SetLinger(lingerReset) // it fails only for connections that are closed already
}

// end ends the answer after all of it was written. What the caller has yet to read is sent
// before the connection ends, also if the process ends first.
func (u *unfinished) end() {
	if u.connection != nil {
		_ = u.connection.SetLinger(lingerDefault) // as in begin
	}
}

// reset closes connection with a reset, if that is possible.
func reset(connection net.Conn) {
	if l, ok := connection.(lingerer); ok {
		_ = l.SetLinger(lingerReset) // as in begin
	}
	connection.Close()
}
