package responsehead

import (
	"bytes"
	"net/http"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

// maxBytes bounds the head of a response, including those of the interim responses before it.
const maxBytes = 64 << 10

// head is the state of the check of a head.
type head struct {
	// active is set while bytes belong to a head.
	active bool
	// size is the number of bytes of the head so far.
	size int
	// line is the part of the current line that was read.
	line []byte
	// lf is set if the first line ends with LF alone, as all others must then.
	lf bool
	// status is the content of the first line. Its code is zero until that was read.
	status status
	// framing is how the fields read so far delimit the body.
	framing framing
	// err is the error of the head, or nil.
	err error
}

// begin begins a head. The error of the one before stays.
func (h *head) begin() { *h = head{active: true, err: h.err} }

// check checks b, the next bytes of the connection. It returns the number of bytes before the
// line that breaks the grammar, with an error, or the length of b.
func (h *head) check(b []byte) (int, error) {
	n := 0
	for h.err == nil && h.active && n < len(b) {
		i := bytes.IndexByte(b[n:], '\n') + 1
		if i == 0 {
			i = len(b) - n
		}
		h.err = h.add(b[n : n+i])
		if h.err == nil {
			n += i
		}
	}
	if h.err != nil {
		return n, h.err
	}
	return len(b), nil
}

// add adds b, which is a part of one line, and checks the line if b ends it.
func (h *head) add(b []byte) error {
	h.size += len(b)
	if h.size > maxBytes {
		return malformed("it is longer than 64 KiB")
	}
	h.line = append(h.line, b...)
	l, ok := bytes.CutSuffix(h.line, []byte("\n"))
	if !ok {
		return nil
	}
	h.line = h.line[:0]
	l, c := bytes.CutSuffix(l, []byte("\r"))
	if h.status.code == 0 {
		h.lf = !c
	}
	if h.lf == c {
		return malformed("its lines end in different ways")
	}
	return h.endLine(l)
}

// endLine checks the line l, which is given without its end.
func (h *head) endLine(l []byte) error {
	switch {
	case h.status.code == 0:
		return h.status.parse(l)
	case len(l) == 0:
		return h.end()
	default:
		return h.checkField(l)
	}
}

// end ends the head. Another one follows an interim response.
func (h *head) end() error {
	err := h.framing.check(h.status)
	if err != nil {
		return err
	}
	if h.status.code >= http.StatusOK {
		*h = head{}
		return nil
	}
	*h = head{active: true, size: h.size}
	return nil
}

// malformed returns the error of a head that breaks the grammar for the given reason.
func malformed(reason string) error {
	return errors.WithStack(&sardineknot.MalformedHeadError{Reason: reason})
}
