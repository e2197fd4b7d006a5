package completion_test

import (
	"context"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/backend/completion"
)

// listener is a ServerDialer that connects to a listener, whatever the address.
type listener struct {
	net.Listener
}

func (l *listener) Dial(ctx context.Context, _ netip.AddrPort) (net.Conn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", l.Addr().String())
	return c, errors.WithStack(err)
}

func (l *listener) Usable(net.Conn) bool { return true }
func (l *listener) ReportSilence()       {}

// TestEndingServer guards against an end that is confirmed by a connection that the kernel of
// a killed process accepted just before it closed the listener: it resets that connection.
func TestEndingServer(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	defer l.Close()
	go func() {
		c, err := l.Accept()
		if err == nil {
			time.Sleep(2 * time.Millisecond) // the connection is open before it is reset
			l.Close()
			_ = c.(*net.TCPConn).SetLinger(0)
			c.Close()
		}
	}()
	s := &server{framing: sardineknot.FramingConnection}
	f := &completion.Forwarder{Forwarder: s, Prober: s, Dialer: &listener{l}, Source: s, Metrics: metrics.NewRegistry()}
	f.MayQuery = func(sardineknot.BackendServer) bool { return false }
	p, err := f.Forward(t.Context(), sardineknot.BackendServer{Name: "s"}, safeCall(), sardineknot.ForwardOptions{})
	is.New(t).NoErr(err)
	_, err = io.ReadAll(p.Body)
	assertUnconfirmed(t, err)
}

// restarted is a ConfigurationSource in which the process of server s is a later one.
type restarted struct {
	*server
}

func (restarted) Current() *sardineknot.Configuration {
	return &sardineknot.Configuration{BackendServers: []sardineknot.BackendServer{{Name: "s", Born: 2}}}
}

// TestRestartedServer guards against an end that is confirmed by the process that started
// under the name and the address of the killed one, before this host read the end: the caller
// was slow, or the host paused. Neither a connection nor the health of a plain server shows
// the difference; the configuration does.
func TestRestartedServer(t *testing.T) {
	for _, limited := range []bool{false, true} {
		s := &server{framing: sardineknot.FramingConnection, limited: limited}
		f := &completion.Forwarder{Forwarder: s, Prober: s, Dialer: s, Source: restarted{s}, Metrics: metrics.NewRegistry()}
		f.MayQuery = func(sardineknot.BackendServer) bool { return !limited }
		p, err := f.Forward(t.Context(), sardineknot.BackendServer{Name: "s", Born: 1}, safeCall(), sardineknot.ForwardOptions{})
		is.New(t).NoErr(err)
		_, err = io.ReadAll(p.Body)
		assertUnconfirmed(t, err)
	}
}
