//go:build review

package harness2

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// request is a request of a client.
type request struct {
	id, method, path, body string
	deadline               time.Duration
	header                 string
}

// answer is what a client got. whole reports whether the answer was complete by its framing.
type answer struct {
	status int
	header http.Header
	body   string
	whole  bool
	err    error
}

// hostName is the host name of all routes.
const hostName = "ficu95.example"

// send sends q to the address of a host on a new connection.
func send(address string, q request) answer {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(q.deadline))
	fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n%s", q.method, q.path, hostName, q.id, q.deadline.Milliseconds(), q.header)
	if q.method != http.MethodGet {
		fmt.Fprintf(c, "Content-Length: %d\r\n", len(q.body))
	}
	_, err = io.WriteString(c, "\r\n"+q.body)
	if err != nil {
		return answer{err: err}
	}
	p, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: q.method})
	if err != nil {
		return answer{err: err}
	}
	defer p.Body.Close()
	b, err := io.ReadAll(p.Body)
	return answer{status: p.StatusCode, header: p.Header, body: string(b), whole: err == nil, err: err}
}

// plainRoute returns a route of the plain service app.
func plainRoute(name, prefix, kind string, attempts int) any {
	return map[string]any{
		"name": name, "host": hostName, "prefix": prefix, "kind": kind, "timeoutMs": 800, "sloMs": 150, "priority": 2,
		"service": "app", "attempts": attempts,
	}
}

// plainService is the plain service app.
var plainService = map[string]any{"name": "app", "healthPath": "/health", "maxConns": 100, "protocol": "h1", "tls": false}

func short(s string) string {
	return fmt.Sprintf("%d bytes %q..%q", len(s), s[:min(3, len(s))], s[max(0, len(s)-3):])
}
