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

// status is the content of a status line.
type status struct {
	// code is the status code. It is zero before the line was parsed.
	code int
	// minor is the minor version.
	minor byte
}

// parse parses the status line l. A switch to another protocol is malformed, since no request
// offers one.
func (s *status) parse(l []byte) error {
	if len(l) < statusBytes || !bytes.HasPrefix(l, []byte("HTTP/1.")) || !isDigit(l[len("HTTP/1.")]) || l[len(version)-1] != ' ' {
		return malformed("the first line is no status line of HTTP/1")
	}
	n, ok := parseCode(l[len(version):statusBytes])
	if !ok {
		return malformed("the status is not one of a response")
	}
	r := l[statusBytes:]
	if len(r) > 0 && r[0] != ' ' {
		return malformed("no blank follows the status")
	}
	if !isText(r) {
		return malformed("a control byte is in the reason")
	}
	s.code, s.minor = n, l[len("HTTP/1.")]-'0'
	return nil
}

// parseCode returns the number that digits states, and reports whether it is the status code of
// a response.
func parseCode(digits []byte) (code int, ok bool) {
	for _, b := range digits {
		if !isDigit(b) {
			return 0, false
		}
		code = 10*code + int(b-'0')
	}
	return code, minStatus <= code && code <= maxStatus && code != http.StatusSwitchingProtocols
}

// isDigit reports whether b is a decimal digit.
func isDigit(b byte) bool { return '0' <= b && b <= '9' }
