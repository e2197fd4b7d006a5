// Package http1 makes HTTP/1.1 exchanges with backend servers over persistent
// connections.
//
// Unlike net/http, it never retries a request implicitly, and its errors report
// whether any byte of the request was sent. A response is accepted only if it
// echoes the identifier of the request, since a faulty server may send the
// response to an earlier request late, and only if its head follows the grammar of
// HTTP/1.1. A connection is reused only after an exchange in which both sides sent
// exactly one complete message.
package http1
