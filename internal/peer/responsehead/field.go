package responsehead

import (
	"bytes"
	"strings"
)

// tokenBytes holds the bytes other than letters and digits that may be in the name of a field.
const tokenBytes = "!#$%&'*+-.^_`|~"

// checkField checks the field line l. A line that begins with a blank, which continued the
// value before it in earlier versions of HTTP, is malformed.
func (h *head) checkField(l []byte) error {
	n, v, ok := bytes.Cut(l, []byte(":"))
	if !ok {
		return malformed("a line has no colon")
	}
	if !isToken(n) {
		return malformed("the name of a field is no token")
	}
	if !isText(v) {
		return malformed("a control byte is in the value of a field")
	}
	return h.framing.add(string(n), string(bytes.Trim(v, " \t")))
}

// isToken reports whether b is a token (RFC 9110, section 5.6.2).
func isToken(b []byte) bool {
	for _, c := range b {
		if !isDigit(c) && (c|0x20 < 'a' || c|0x20 > 'z') && strings.IndexByte(tokenBytes, c) < 0 {
			return false
		}
	}
	return len(b) > 0
}

// isText reports whether b consists of blanks, tabs, and bytes that are no control bytes.
func isText(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}
