// Package http1 makes HTTP/1.1 exchanges with backend servers over persistent
// connections.
//
// Unlike net/http, it never retries a request implicitly, and its errors report
// whether any byte of the request was sent. A response is accepted only if it
// echoes the identifier of the request, since a faulty server may send the
// response to an earlier request late, and only if its head follows the grammar of
// HTTP/1.1. A connection is reused only after an exchange in which both sides sent
// exactly one complete message, and not for a request that asks for a new one: a server may
// close a kept connection at any time, and whether it runs a request on its way is then unknown.
package http1
