package tunnel_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sys/unix"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/backend/tcp"
	"sardineknot.example/sardineknot/internal/peer/h2c"
	"sardineknot.example/sardineknot/internal/peer/tunnel"
)

const (
	// socketBytes is the size of the buffers of sockets.
	socketBytes = 64 << 10
	// pieceBytes is what a server writes at a time to fill the tunnel.
	pieceBytes = 4 << 10
	// arrivalTime is the time after which bytes or a reset have arrived at the helper.
	arrivalTime = 50 * time.Millisecond
)

// source is a fake configuration source with one backend server.
type source struct{ server netip.AddrPort }

func (s *source) Current() *sardineknot.Configuration {
	return &sardineknot.Configuration{BackendServers: []sardineknot.BackendServer{{Name: "s", Address: s.server}}}
}
func (s *source) Changed() <-chan struct{} { return nil }

// listen returns a listener on the loopback interface and its address.
func listen(t *testing.T) (net.Listener, netip.AddrPort) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { l.Close() })
	return l, netip.MustParseAddrPort(l.Addr().String())
}

// helper is a host that opens tunnels to a server, and the tunnels of a host that
// connects through it.
type helper struct {
	host sardineknot.EntryHost
	// served are the tunnels of the helper, and near those of the other host.
	served, near *tunnel.Tunnels
	server       net.Listener
	address      netip.AddrPort
	// stop ends the helper as a kill does.
	stop func()
	// dialErr is the error of connections of the helper, unless it is nil.
	dialErr error
}

func newHelper(t *testing.T) *helper {
	h := &helper{}
	h.server, h.address = listen(t)
	m := metrics.NewRegistry()
	h.served = &tunnel.Tunnels{Source: &source{h.address}, Metrics: m, Dial: func(ctx context.Context, a netip.AddrPort) (net.Conn, error) {
		if h.dialErr != nil {
			return nil, h.dialErr
		}
		var d net.Dialer
		c, err := d.DialContext(ctx, "tcp", a.String())
		if err == nil {
			_ = c.(*net.TCPConn).SetReadBuffer(socketBytes)
		}
		return c, err
	}}
	x := http.NewServeMux()
	x.Handle(tunnel.Path, h.served)
	l, a := listen(t)
	s := h2c.NewServer(x, tunnel.Path)
	go func() { _ = s.Serve(l) }()
	h.stop = func() { s.Close() }
	t.Cleanup(h.stop)
	h.host = sardineknot.EntryHost{ID: "helper", PeerAddress: a}
	h.near = &tunnel.Tunnels{Client: h2c.NewTransport(m).StreamClient()}
	return h
}

// open opens a tunnel and returns both ends.
func (h *helper) open(t *testing.T) (near, server net.Conn) {
	t.Helper()
	c, err := h.near.Open(t.Context(), h.host, h.address)
	is.New(t).NoErr(err)
	s, err := h.server.Accept()
	is.New(t).NoErr(err)
	t.Cleanup(func() { c.Close(); s.Close() })
	return c, s
}

// assertReads checks that text is read from connection.
func assertReads(t *testing.T, connection net.Conn, text string) {
	t.Helper()
	b := make([]byte, len(text))
	_, err := io.ReadFull(connection, b)
	is.New(t).NoErr(err)
	is.New(t).Equal(string(b), text)
}

// fill writes to connection until its peer receives no more for some time, and returns the
// number of bytes that the peer has received at least.
func fill(t *testing.T, connection *net.TCPConn) int {
	t.Helper()
	r, err := connection.SyscallConn()
	is.New(t).NoErr(err)
	n, left := 0, 0
	for e := time.Now().Add(arrivalTime); time.Now().Before(e); {
		is.New(t).NoErr(r.Control(func(fd uintptr) { left, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) }))
		is.New(t).NoErr(err)
		if left > 0 {
			time.Sleep(time.Millisecond)
			continue
		}
		m, err := connection.Write(make([]byte, pieceBytes))
		is.New(t).NoErr(err)
		n += m
		e = time.Now().Add(arrivalTime)
	}
	return n - left
}

// TestTunnel guards against bytes that are lost or held back on their way through
// another host.
func TestTunnel(t *testing.T) {
	t.Run("bytes pass both ways as they are written", func(t *testing.T) {
		h := newHelper(t)
		c, s := h.open(t)
		for range 3 {
			_, _ = io.WriteString(c, "request")
			assertReads(t, s, "request")
			_, _ = io.WriteString(s, "response")
			assertReads(t, c, "response")
		}
		is.New(t).Equal(c.(sardineknot.TunnelConn).Host(), sardineknot.EntryHostID("helper"))
	})
	t.Run("closing the tunnel closes the connection to the server", func(t *testing.T) {
		c, s := newHelper(t).open(t)
		c.Close()
		_ = s.SetReadDeadline(time.Now().Add(3 * time.Second))
		_, err := s.Read(make([]byte, 1))
		var n net.Error
		is.New(t).True(err != nil && (!errors.As(err, &n) || !n.Timeout()))
	})
	t.Run("a read deadline does not harm the tunnel", func(t *testing.T) {
		c, s := newHelper(t).open(t)
		_ = c.SetReadDeadline(time.Unix(1, 0))
		_, err := c.Read(make([]byte, 1))
		is.New(t).True(err != nil)
		_ = c.SetReadDeadline(time.Time{})
		_, _ = io.WriteString(s, "later")
		assertReads(t, c, "later")
	})
}

// TestTunnelEnds guards against broken connections that seem to have ended, and against
// servers that seem to have broken them when another host did.
func TestTunnelEnds(t *testing.T) {
	t.Run("the end of the server's bytes is the end", func(t *testing.T) {
		c, s := newHelper(t).open(t)
		_, _ = io.WriteString(s, "last")
		s.Close()
		b, err := io.ReadAll(c)
		is.New(t).NoErr(err)
		is.New(t).Equal(string(b), "last")
		is.New(t).True(c.(sardineknot.TunnelConn).ServerEnded())
	})
	t.Run("a reset is no end", func(t *testing.T) {
		c, s := newHelper(t).open(t)
		_ = s.(*net.TCPConn).SetLinger(0)
		s.Close()
		_, err := io.ReadAll(c)
		is.New(t).True(err != nil)
		is.New(t).True(c.(sardineknot.TunnelConn).ServerEnded())
	})
	t.Run("what the server has sent before a reset arrives while the host still writes", func(t *testing.T) {
		h := newHelper(t)
		h.served.Dial = tcp.Dialer{}.Dial
		c, s := h.open(t)
		go func() { _, _ = c.Write(make([]byte, 8<<20)) }()
		_, _ = s.Read(make([]byte, 1))
		n := fill(t, s.(*net.TCPConn))
		_ = s.(*net.TCPConn).SetLinger(0)
		s.Close()
		time.Sleep(arrivalTime)
		b, err := io.ReadAll(c)
		is.New(t).True(errors.Is(err, syscall.ECONNRESET))
		is.New(t).True(len(b) >= n)
		is.New(t).True(c.(sardineknot.TunnelConn).ServerEnded())
	})
	t.Run("the end of the helper is neither an end nor that of the server", func(t *testing.T) {
		h := newHelper(t)
		c, _ := h.open(t)
		h.stop()
		_, err := io.ReadAll(c)
		is.New(t).True(err != nil)
		is.New(t).True(!c.(sardineknot.TunnelConn).ServerEnded())
	})
}

// TestTunnelMemory guards against a server whose bytes fill the memory of a host while
// its caller does not read.
func TestTunnelMemory(t *testing.T) {
	_, s := newHelper(t).open(t)
	_ = s.(*net.TCPConn).SetWriteBuffer(socketBytes)
	_ = s.SetWriteDeadline(time.Now().Add(500 * time.Millisecond))
	n, err := s.Write(make([]byte, 32<<20))
	is.New(t).True(err != nil)
	is.New(t).True(n < 2<<20)
}

// TestRefusedTunnel checks what a host learns from a tunnel that does not open.
func TestRefusedTunnel(t *testing.T) {
	open := func(t *testing.T, h *helper, address netip.AddrPort) error {
		t.Helper()
		_, err := h.near.Open(t.Context(), h.host, address)
		is.New(t).True(err != nil)
		return err
	}
	var n *sardineknot.NotReachedError
	var c *sardineknot.CutError
	t.Run("the other host does not reach the server", func(t *testing.T) {
		h := newHelper(t)
		h.dialErr = errors.New("connection refused")
		is.New(t).True(errors.As(open(t, h, h.address), &n))
	})
	t.Run("the other host reaches no server", func(t *testing.T) {
		h := newHelper(t)
		h.dialErr = &sardineknot.CutError{Host: "helper"}
		is.New(t).True(errors.As(open(t, h, h.address), &c))
	})
	t.Run("the other host is leaving", func(t *testing.T) {
		h := newHelper(t)
		h.served.Leave()
		is.New(t).True(errors.As(open(t, h, h.address), &c))
	})
	t.Run("the address is that of no server", func(t *testing.T) {
		h := newHelper(t)
		is.New(t).True(errors.As(open(t, h, netip.MustParseAddrPort("127.0.0.1:1")), &c))
	})
	t.Run("the other host is gone", func(t *testing.T) {
		h := newHelper(t)
		h.host.PeerAddress = netip.MustParseAddrPort("127.0.0.1:1")
		_ = open(t, h, h.address)
	})
}

// TestWaitForTunnels guards against a host that stops while others still use tunnels
// through it.
func TestWaitForTunnels(t *testing.T) {
	h := newHelper(t)
	c, s := h.open(t)
	h.served.Leave()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	h.served.Wait(ctx)
	is.New(t).True(ctx.Err() != nil)
	_, _ = io.WriteString(s, "still")
	assertReads(t, c, "still")
	c.Close()
	h.served.Wait(t.Context())
}
