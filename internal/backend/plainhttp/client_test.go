package plainhttp_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/backend/plainhttp"
)

// whole is the body of the whole answer of an endingServer.
const whole = "first half, second half"

// The heads of answers whose end is marked in different ways.
const (
	headOfConnection = "HTTP/1.1 200 OK\r\n\r\n"
	headOfOldServer  = "HTTP/1.0 200 OK\r\n\r\n"
	headOfLength     = "HTTP/1.1 200 OK\r\nContent-Length: 23\r\n\r\n"
	headOfChunks     = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n17\r\n"
	headOfGzip       = "HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\n\r\n"
)

// endingServer is a plain service that answers one call with text and then closes the
// connection in an orderly way, as the kernel also does for a killed process.
type endingServer struct {
	listener net.Listener
	text     string
	// killed makes the service accept no connections after the answer.
	killed bool
	// closing makes the service close each connection after the answer at once.
	closing bool
	// open holds the connections after the answer, which stay open.
	open []net.Conn
}

// start starts s and returns its address.
func (s *endingServer) start(t *testing.T) sardineknot.BackendServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { l.Close() })
	s.listener = l
	go s.serve()
	return sardineknot.BackendServer{Name: "s", Service: "echo", Address: netip.MustParseAddrPort(l.Addr().String())}
}

func (s *endingServer) serve() {
	c, err := s.listener.Accept()
	if err != nil {
		return
	}
	q, err := http.ReadRequest(bufio.NewReader(c))
	if err == nil {
		_, _ = io.Copy(io.Discard, q.Body)
	}
	_, _ = io.WriteString(c, s.text)
	if s.killed {
		s.listener.Close()
	}
	c.Close()
	for err == nil {
		c, err = s.listener.Accept()
		if err == nil && s.closing {
			c.Close()
		}
		s.open = append(s.open, c)
	}
}

// call starts s and makes a call.
func (s *endingServer) call(t *testing.T, unrepeatable bool) (sardineknot.ServiceAnswer, error) {
	t.Helper()
	c := sardineknot.ServiceCall{Work: sardineknot.Work{Unrepeatable: unrepeatable}, Body: []byte("b")}
	return plainhttp.NewClient().Call(t.Context(), s.start(t), c)
}

// assertUnknown checks that err reports a call whose outcome is unknown.
func assertUnknown(t *testing.T, err error) {
	t.Helper()
	var u *sardineknot.UnavailableError
	is.New(t).True(errors.As(err, &u))
}

// TestKilledServiceLooksComplete guards against answers that count as complete although the
// process of the service was killed in their middle.
func TestKilledServiceLooksComplete(t *testing.T) {
	for _, unrepeatable := range []bool{false, true} {
		for _, head := range []string{headOfConnection, headOfOldServer, headOfLength, headOfChunks, headOfGzip} {
			for _, part := range []string{"", whole[:10]} {
				t.Run(fmt.Sprintf("%q, unrepeatable: %t", head+part, unrepeatable), func(t *testing.T) {
					s := &endingServer{text: head + part, killed: true}
					_, err := s.call(t, unrepeatable)
					assertUnknown(t, err)
				})
			}
		}
	}
	t.Run("connections to it are reset", func(t *testing.T) {
		s := &endingServer{text: headOfConnection + whole[:10], closing: true}
		_, err := s.call(t, true)
		assertUnknown(t, err)
	})
}

// TestSoundServiceEnds guards against whole answers that count as of unknown outcome although
// their service goes on, or although their end needs no confirmation.
func TestSoundServiceEnds(t *testing.T) {
	for _, unrepeatable := range []bool{false, true} {
		for _, head := range []string{headOfConnection, headOfOldServer} {
			s := &endingServer{text: head + whole}
			a, err := s.call(t, unrepeatable)
			is.New(t).NoErr(err)
			is.New(t).Equal(string(a.Body), whole)
		}
		for _, text := range []string{headOfLength + whole, headOfChunks + whole + "\r\n0\r\n\r\n"} {
			s := &endingServer{text: text, killed: true}
			a, err := s.call(t, unrepeatable)
			is.New(t).NoErr(err)
			is.New(t).Equal(string(a.Body), whole)
		}
	}
}
