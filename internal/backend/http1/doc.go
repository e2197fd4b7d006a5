// Package http1 makes single HTTP/1.1 exchanges with backend servers on kept
// connections.
//
// It is used where a request must never be sent a second time unasked: the
// caller of the package learns whether a byte was sent. An answer is taken only
// if it echoes the identifier of the request, since a faulty server may send
// another answer late. A connection is kept only after an exchange in which
// both sides sent exactly one whole message.
package http1
