package http1

import (
	"net"

	"github.com/pkg/errors"
)

// maxHeadBytes bounds the head of a response, from its status line to the empty
// line after its header.
const maxHeadBytes = 64 << 10

// errHeadTooLong reports a response whose head is longer than maxHeadBytes.
var errHeadTooLong = errors.New("the head of the response is too long")

// headReader reads from a connection. It fails once the head of a response has
// taken more than maxHeadBytes.
type headReader struct {
	net.Conn
	// left is the number of bytes that the head may still take. It is negative
	// while no head is read.
	left int
}

// begin begins the head of a response.
func (h *headReader) begin() { h.left = maxHeadBytes }

// end ends the head of a response. Reads are not bounded after that.
func (h *headReader) end() { h.left = -1 }

// Read implements io.Reader.
func (h *headReader) Read(buffer []byte) (int, error) {
	if h.left == 0 {
		return 0, errors.WithStack(errHeadTooLong)
	}
	if h.left > 0 {
		buffer = buffer[:min(len(buffer), h.left)]
	}
	n, err := h.Conn.Read(buffer)
	if h.left > 0 {
		h.left -= n
	}
	return n, err
}
