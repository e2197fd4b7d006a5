package responsehead

import (
	"bytes"
	"net/http"
)

const (
	// minStatus and maxStatus bound the statuses of RFC 9110, section 15.
	minStatus = 100
	maxStatus = 599
	// version is the version of a status line, whose last digit is the minor version, and
	// statusBytes the length of a status line with a status but no reason.
	version     = "HTTP/1.x "
	statusBytes = len(version) + 3
)

// status is what a status line says.
type status struct {
	// code is the status code. It is zero before the line was parsed.
	code int
}

// parse parses the status line l. The change to another protocol is malformed, since no request
// asks for one.
func (s *status) parse(l []byte) error {
	if len(l) < statusBytes || !bytes.HasPrefix(l, []byte("HTTP/1.")) || !isDigit(l[len("HTTP/1.")]) || l[len(version)-1] != ' ' {
		return malformed("the first line is no status line of HTTP/1")
	}
	n := 0
	for _, b := range l[len(version):statusBytes] {
		if !isDigit(b) {
			return malformed("the status is not a number of three digits")
		}
		n = 10*n + int(b-'0')
	}
	if n < minStatus || n > maxStatus || n == http.StatusSwitchingProtocols {
		return malformed("the status is not one of a response")
	}
	r := l[statusBytes:]
	if len(r) > 0 && r[0] != ' ' {
		return malformed("no blank follows the status")
	}
	s.code = n
	return nil
}

// isDigit reports whether b is a decimal digit.
func isDigit(b byte) bool { return '0' <= b && b <= '9' }
