package responsehead

import (
	"net/http"
	"strings"
)

// framing is what the fields of a head say about the end of the body.
type framing struct {
	// length is the value of Content-Length, or empty if there is none.
	length string
	// chunked is set if there is a Transfer-Encoding.
	chunked bool
}

// add adds the field with the given name and value.
func (f *framing) add(name, value string) {
	switch {
	case strings.EqualFold(name, "Content-Length"):
		f.length = value
	case strings.EqualFold(name, "Transfer-Encoding"):
		f.chunked = true
	}
}

// check checks f at the end of a head with the given status.
func (f *framing) check(s status) error {
	if s.code < http.StatusOK && (f.chunked || f.length != "") {
		return malformed("an interim response has a body")
	}
	return nil
}
