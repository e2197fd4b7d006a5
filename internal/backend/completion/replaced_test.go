package completion_test

import (
	"context"
	"io"
	"net"
	"net/netip"
	"syscall"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/backend/completion"
	"sardineknot.example/sardineknot/internal/backend/memory"
)

// endingDialer is a ServerDialer to a server whose process is ending: the kernel accepts one
// more connection and resets it, and refuses all others.
type endingDialer struct {
	dials int
}

func (d *endingDialer) Dial(context.Context, netip.AddrPort) (net.Conn, error) {
	d.dials++
	if d.dials > 1 {
		return nil, errors.WithStack(syscall.ECONNREFUSED)
	}
	c, s := net.Pipe()
	return c, errors.WithStack(s.Close())
}

func (*endingDialer) Usable(net.Conn) bool { return true }
func (*endingDialer) ReportSilence()       {}

// TestEndingServer guards against an end that is confirmed by a connection that the kernel of
// a killed process accepted just before it closed the listener: it resets that connection.
func TestEndingServer(t *testing.T) {
	s, d := &server{framing: sardineknot.FramingConnection}, &endingDialer{}
	f := &completion.Forwarder{Forwarder: s, Prober: s, Dialer: d, Source: s, Metrics: metrics.NewRegistry(), Memory: &memory.Budget{}}
	f.MayQuery = func(sardineknot.BackendServer) bool { return false }
	p, err := f.Forward(t.Context(), sardineknot.BackendServer{Name: "s"}, safeCall(), sardineknot.ForwardOptions{})
	is.New(t).NoErr(err)
	_, err = io.ReadAll(p.Body)
	assertUnconfirmed(t, err)
	is.New(t).Equal(d.dials, 2)
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
		f := &completion.Forwarder{Forwarder: s, Prober: s, Dialer: s, Source: restarted{s}, Metrics: metrics.NewRegistry(), Memory: &memory.Budget{}}
		f.MayQuery = func(sardineknot.BackendServer) bool { return !limited }
		p, err := f.Forward(t.Context(), sardineknot.BackendServer{Name: "s", Born: 1}, safeCall(), sardineknot.ForwardOptions{})
		is.New(t).NoErr(err)
		_, err = io.ReadAll(p.Body)
		assertUnconfirmed(t, err)
	}
}

// lateSource is a ConfigurationSource in which the process of engine e is the first one until
// the configuration is refreshed, and a later one from then on.
type lateSource struct {
	*server
	refreshes int
	// err is the result of refresh, which changes nothing if it is not nil.
	err error
}

func (l *lateSource) refresh(context.Context) error {
	l.refreshes++
	return l.err
}

func (l *lateSource) Current() *sardineknot.Configuration {
	b := int64(1)
	if l.refreshes > 0 && l.err == nil {
		b = 2
	}
	return &sardineknot.Configuration{
		Services:       []sardineknot.Service{{Name: "llm", Engine: &sardineknot.EngineLimits{}}},
		BackendServers: []sardineknot.BackendServer{{Name: "e", Born: b}},
	}
}

// TestEngineStartedAgain guards against an end that is confirmed by the process of an engine
// that started within milliseconds after the one that was killed, while this host has not read
// its entry, and against reads of the store for engines whose answers identify the process.
func TestEngineStartedAgain(t *testing.T) {
	end := func(t *testing.T, s *server, l *lateSource) error {
		f := s.forwarder()
		f.Source, f.Refresh = l, l.refresh
		p, err := f.Forward(t.Context(), sardineknot.BackendServer{Name: "e", Service: "llm", Born: 1}, safeCall(), sardineknot.ForwardOptions{})
		is.New(t).NoErr(err)
		_, err = io.ReadAll(p.Body)
		return err
	}
	t.Run("broken off if the answer identifies no process and a later one has started", func(t *testing.T) {
		s := &server{framing: sardineknot.FramingConnection, unidentified: true}
		l := &lateSource{server: s}
		assertUnconfirmed(t, end(t, s, l))
		is.New(t).Equal(l.refreshes, 1)
	})
	t.Run("broken off if the server accepts no query and a later one has started", func(t *testing.T) {
		s := &server{framing: sardineknot.FramingConnection, limited: true}
		assertUnconfirmed(t, end(t, s, &lateSource{server: s}))
	})
	t.Run("confirmed without a read of the store if the answer identifies the process", func(t *testing.T) {
		s := &server{framing: sardineknot.FramingConnection}
		l := &lateSource{server: s}
		is.New(t).NoErr(end(t, s, l))
		is.New(t).Equal(l.refreshes, 0)
	})
	t.Run("confirmed by the present configuration if the store does not answer", func(t *testing.T) {
		s := &server{framing: sardineknot.FramingConnection, unidentified: true}
		is.New(t).NoErr(end(t, s, &lateSource{server: s, err: io.ErrUnexpectedEOF}))
	})
}
