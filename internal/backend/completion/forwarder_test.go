package completion_test

import (
	"cmp"
	"context"
	"io"
	"net"
	"net/netip"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/backend/completion"
	"sardineknot.example/sardineknot/internal/backend/memory"
)

// server is a fake backend server: a forwarder that gets its answers, and a prober of it.
type server struct {
	sardineknot.Forwarder
	framing sardineknot.Framing
	// probeErr is the result of Probe and Dial. probes and dials count their calls.
	probeErr error
	probes   int
	dials    int
	// queryErr is the result of Probe alone.
	queryErr error
	// unidentified is set if answers to queries do not identify the process.
	unidentified bool
	// limited is set if the server must not be queried.
	limited bool
	// healthPath is that of the service.
	healthPath string
}

func (s *server) Forward(context.Context, sardineknot.BackendServer, *sardineknot.Call, sardineknot.ForwardOptions) (*sardineknot.Response, error) {
	return &sardineknot.Response{Status: 200, Framing: s.framing, Body: io.NopCloser(strings.NewReader("text"))}, nil
}

func (s *server) Probe(context.Context, sardineknot.BackendServer, sardineknot.Service) (identified bool, err error) {
	s.probes++
	return !s.unidentified, cmp.Or(s.queryErr, s.probeErr)
}

func (s *server) Dial(context.Context, netip.AddrPort) (net.Conn, error) {
	s.dials++
	c, _ := net.Pipe()
	return c, s.probeErr
}

func (s *server) Usable(net.Conn) bool { return true }
func (s *server) ReportSilence()       {}

func (s *server) Current() *sardineknot.Configuration {
	return &sardineknot.Configuration{Services: []sardineknot.Service{{Name: "plain", HealthPath: s.healthPath}}}
}
func (s *server) Changed() <-chan struct{} { return nil }

// forwarder returns a forwarder before s.
func (s *server) forwarder() *completion.Forwarder {
	f := &completion.Forwarder{Forwarder: s, Prober: s, Dialer: s, Source: s, Metrics: metrics.NewRegistry(), Memory: &memory.Budget{}}
	f.MayQuery = func(sardineknot.BackendServer) bool { return !s.limited }
	return f
}

// safeCall returns a call that may run again.
func safeCall() *sardineknot.Call {
	return &sardineknot.Call{ID: "c", Route: &sardineknot.Route{Kind: sardineknot.RouteSafe}}
}

// read reads an answer of s to its end, and once more.
func (s *server) read(t *testing.T) (string, error) {
	t.Helper()
	p, err := s.forwarder().Forward(t.Context(), sardineknot.BackendServer{Name: "s", Service: "plain"}, safeCall(), sardineknot.ForwardOptions{})
	is.New(t).NoErr(err)
	b, err := io.ReadAll(p.Body)
	_, again := p.Body.Read(make([]byte, 1))
	is.New(t).True((err == nil) == errors.Is(again, io.EOF)) // the result stays the same
	return string(b), err
}

// TestForwarder guards against ends of answers that are taken on trust, and against queries
// for answers whose framing shows their end.
func TestForwarder(t *testing.T) {
	for _, f := range []sardineknot.Framing{sardineknot.FramingLength, sardineknot.FramingChunks, ""} {
		t.Run("no query with framing "+string(f), func(t *testing.T) {
			s := &server{framing: f, probeErr: errors.New("not called")}
			b, err := s.read(t)
			is.New(t).NoErr(err)
			is.New(t).Equal(b, "text")
			is.New(t).Equal(s.probes, 0)
		})
	}
	t.Run("one query for an answer that ends with its connection", func(t *testing.T) {
		s := &server{healthPath: "/health", framing: sardineknot.FramingConnection}
		_, err := s.read(t)
		is.New(t).NoErr(err)
		is.New(t).Equal(s.probes, 1)
	})
	t.Run("a connection, and no query, to a server that accepts no requests", func(t *testing.T) {
		s := &server{healthPath: "/health", framing: sardineknot.FramingConnection, limited: true}
		_, err := s.read(t)
		is.New(t).NoErr(err)
		is.New(t).Equal(s.probes, 0)
		is.New(t).Equal(s.dials, 1)
	})
	t.Run("a connection to a server without a health path", func(t *testing.T) {
		s := &server{framing: sardineknot.FramingConnection}
		_, err := s.read(t)
		is.New(t).NoErr(err)
		is.New(t).Equal(s.probes, 0)
		is.New(t).Equal(s.dials, 1)
	})
	t.Run("broken off if such a server accepts no connections", func(t *testing.T) {
		s := &server{healthPath: "/health", framing: sardineknot.FramingConnection, limited: true, probeErr: syscall.ECONNREFUSED}
		_, err := s.read(t)
		assertUnconfirmed(t, err)
	})
}

// TestUnconfirmedEnd guards against parts of answers that count as complete, and against one
// failed query that counts as the end of its server.
func TestUnconfirmedEnd(t *testing.T) {
	refused := &sardineknot.UnsentError{Server: netip.MustParseAddrPort("127.0.0.1:1"), Cause: syscall.ECONNREFUSED}
	for _, e := range []error{refused, &sardineknot.InstanceError{Server: "s"}} {
		t.Run("broken off at once after "+e.Error(), func(t *testing.T) {
			s := &server{healthPath: "/health", framing: sardineknot.FramingConnection, probeErr: e}
			b, err := s.read(t)
			is.New(t).Equal(b, "text")
			is.New(t).Equal(s.probes, 1)
			assertUnconfirmed(t, err)
		})
	}
	for _, e := range []error{&sardineknot.RefusedError{Server: "s", Status: 421}, io.ErrUnexpectedEOF, context.DeadlineExceeded} {
		t.Run("broken off after several tries with "+e.Error(), func(t *testing.T) {
			s := &server{healthPath: "/health", framing: sardineknot.FramingConnection, probeErr: e}
			n := time.Now()
			b, err := s.read(t)
			is.New(t).Equal(b, "text")
			is.New(t).True(s.probes > 1)
			is.New(t).True(time.Since(n) < 2*time.Second)
			assertUnconfirmed(t, err)
		})
	}
	t.Run("confirmed by a connection if the query takes too long", func(t *testing.T) {
		s := &server{healthPath: "/health", framing: sardineknot.FramingConnection, queryErr: context.DeadlineExceeded}
		_, err := s.read(t)
		is.New(t).NoErr(err)
		is.New(t).Equal(s.probes, 1)
		is.New(t).Equal(s.dials, 1)
	})
}

// assertUnconfirmed checks that err reports an unconfirmed end, and does not claim that the
// request was not sent, refused or late, as the query was.
func assertUnconfirmed(t *testing.T, err error) {
	t.Helper()
	var v *sardineknot.UnavailableError
	var c *sardineknot.UnconfirmedEndError
	var u *sardineknot.UnsentError
	var r *sardineknot.RefusedError
	is := is.New(t)
	is.True(errors.As(err, &v) && errors.As(err, &c))
	is.True(!errors.As(err, &u) && !errors.As(err, &r) && !errors.Is(err, context.DeadlineExceeded))
}
