package intake

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot/internal/host/clock"
)

// heldListener accepts connections whose writes wait until the channel held is closed.
type heldListener struct {
	net.Listener
	// begun receives an element at the begin of each write.
	begun chan struct{}
	held  chan struct{}
}

// Accept implements net.Listener.
func (l *heldListener) Accept() (net.Conn, error) {
	n, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &heldConn{Conn: n, listener: l}, nil
}

// heldConn is a connection of a heldListener.
type heldConn struct {
	net.Conn
	listener *heldListener
}

// Write implements net.Conn.
func (c *heldConn) Write(p []byte) (int, error) {
	select {
	case c.listener.begun <- struct{}{}:
	default:
	}
	<-c.listener.held
	return c.Conn.Write(p)
}

// startHeld starts server, which may have one connection, at a heldListener.
func startHeld(t *testing.T, h *http.Server) (*server, *heldListener) {
	s := &server{Guard: &Guard{Connections: 1, Clock: clock.System{}}}
	n, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	s.address = n.Addr().String()
	l := &heldListener{Listener: n, begun: make(chan struct{}, 1), held: make(chan struct{})}
	g := s.Serve(h, l)
	go func() { _ = h.Serve(g) }()
	t.Cleanup(func() { h.Close() })
	return s, l
}

// admits reports whether s has room for another connection, which it makes by closing one.
func (s *server) admits() bool {
	c := &conn{guard: s.Guard}
	ok := s.add(c)
	s.remove(c)
	return ok
}

// TestConnectionOfEndedCall guards against a connection that is closed for another one after
// the handler of its call has returned and before the server has written the answer, which the
// caller then does not get.
func TestConnectionOfEndedCall(t *testing.T) {
	is := is.New(t)
	s, l := startHeld(t, &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})})
	c := s.dial(t).send(call)
	<-l.begun
	is.True(!s.admits())
	close(l.held)
	c.assertServed()
	for b := time.Now(); !s.admits() && time.Since(b) < waitTime; {
		time.Sleep(time.Millisecond)
	}
	c.assertEnds() // it was idle
}
