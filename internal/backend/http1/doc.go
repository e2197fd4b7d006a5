// Package http1 makes HTTP/1.1 exchanges with backend servers over persistent
// connections.
//
// It serves requests that must not be retried implicitly, as net/http does: it
// never sends a request twice, and its errors tell whether a byte was sent. A
// response is accepted only if it echoes the identifier of the request, since
// a faulty server may send the response to an earlier request late. A
// connection is reused only after an exchange in which both sides sent exactly
// one complete message.
package http1
