package responsehead

import (
	"net/http"
	"strconv"
	"strings"
)

// lengthBits is the size of the largest length of a body.
const lengthBits = 63

// framing is how the fields of a head delimit the body.
type framing struct {
	// length is the value of Content-Length, or empty if there is none.
	length string
	// chunked is set if Transfer-Encoding is chunked.
	chunked bool
}

// add adds the field with the given name and value. Other transfer encodings than chunks are
// malformed, since no request accepts one.
func (f *framing) add(name, value string) error {
	switch {
	case strings.EqualFold(name, "Content-Length"):
		_, err := strconv.ParseUint(value, 10, lengthBits)
		if err != nil || f.length != "" && f.length != value {
			return malformed("Content-Length is not one number")
		}
		f.length = value
	case strings.EqualFold(name, "Transfer-Encoding"):
		if f.chunked || !strings.EqualFold(value, "chunked") {
			return malformed("Transfer-Encoding is not chunked")
		}
		f.chunked = true
	}
	return nil
}

// check checks f at the end of a head with the given status.
func (f *framing) check(s status) error {
	switch {
	case f.chunked && f.length != "":
		return malformed("it has both Content-Length and Transfer-Encoding")
	case f.chunked && s.minor == 0:
		return malformed("Transfer-Encoding is in a response of HTTP/1.0")
	case s.code < http.StatusOK && (f.chunked || f.length != ""):
		return malformed("an interim response has a body")
	}
	return nil
}
