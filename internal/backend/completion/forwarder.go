// Package completion tells answers of backend servers that are complete from those that
// broke off, where their framing does not.
//
// An answer with neither a length nor chunks ends with its connection. The kernel ends the
// connections of a process that was killed in the same way. Such an answer is complete only
// if the process is still running after it: the server is queried, and if it does not answer,
// the end of the answer is an error.
//
// A stream resumes only on the process that the server's entry describes: one that started
// again under the same name may have another software version.
package completion

import (
	"context"
	"io"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"sardineknot.example/sardineknot"
)

// probeTimeout bounds the query after the end of an answer.
const probeTimeout = 500 * time.Millisecond

// Forwarder is a sardineknot.Forwarder that confirms the ends of answers. All exported
// fields must be set before use.
type Forwarder struct {
	sardineknot.Forwarder
	// Prober queries the servers.
	Prober sardineknot.ServerProber
	// MayQuery reports whether a server accepts queries from this host now. Dialer connects
	// to one that does not, since a connection is no request.
	MayQuery func(server sardineknot.BackendServer) bool
	Dialer   sardineknot.ServerDialer
	// Source provides the services.
	Source sardineknot.ConfigurationSource
	// Log receives an event for each end that is not confirmed.
	Log zerolog.Logger
	// Metrics receives the number of ends, by whether they were confirmed.
	Metrics metrics.Registry
}

var _ sardineknot.Forwarder = (*Forwarder)(nil)

// Forward implements sardineknot.Forwarder.
func (f *Forwarder) Forward(ctx context.Context, server sardineknot.BackendServer, call *sardineknot.Call, options sardineknot.ForwardOptions) (*sardineknot.Response, error) {
	p, err := f.Forwarder.Forward(ctx, server, call, options)
	if err == nil && options.ResumeAfter > 0 && server.Born != 0 {
		p, err = f.confirmInstance(ctx, server, p)
	}
	if err != nil || p.Framing != sardineknot.FramingConnection {
		return p, err
	}
	p.Body = &body{ReadCloser: p.Body, forwarder: f, ctx: ctx, server: server, call: call.ID}
	return p, nil
}

// confirm fails with an UnavailableError, whose cause is an UnconfirmedEndError, unless
// server is running.
func (f *Forwarder) confirm(ctx context.Context, server sardineknot.BackendServer, call sardineknot.RequestID) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	err := f.probe(ctx, server)
	metrics.GetOrRegisterCounter("backend.ends{confirmed="+strconv.FormatBool(err == nil)+"}", f.Metrics).Inc(1)
	if err == nil {
		return nil
	}
	f.Log.Warn().Stringer("event", sardineknot.LogEndUnconfirmed).Str("request", string(call)).Str("server", string(server.Name)).Err(err).Send()
	return errors.WithStack(&sardineknot.UnavailableError{
		Peer: string(server.Name), Cause: &sardineknot.UnconfirmedEndError{Server: server.Name, Cause: err},
	})
}

// probe fails unless the process of server is shown to be running. That its address accepts
// connections shows it as well as a query does: a process that was killed has not started
// again at the moment at which its connections end.
func (f *Forwarder) probe(ctx context.Context, server sardineknot.BackendServer) error {
	if f.MayQuery(server) {
		return f.Prober.Probe(ctx, server, f.healthPath(server))
	}
	c, err := f.Dialer.Dial(ctx, server.Address)
	if err != nil {
		return errors.WithStack(&sardineknot.UnsentError{Server: server.Address, Cause: err})
	}
	return errors.WithStack(c.Close())
}

// healthPath returns the health path of the plain service of server. It is empty for
// engines, whose reports need no slot.
func (f *Forwarder) healthPath(server sardineknot.BackendServer) string {
	for _, s := range f.Source.Current().Services {
		if string(s.Name) == server.Service && s.Engine == nil {
			return s.HealthPath
		}
	}
	return ""
}

// body is the body of a response that ends with its connection.
type body struct {
	io.ReadCloser
	forwarder *Forwarder
	ctx       context.Context
	server    sardineknot.BackendServer
	call      sardineknot.RequestID
	// err is what Read returns once the connection has ended.
	err error
}

// Read implements io.Reader.
func (b *body) Read(buffer []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.ReadCloser.Read(buffer)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	b.err = b.forwarder.confirm(b.ctx, b.server, b.call)
	if b.err == nil {
		b.err = io.EOF
	}
	return n, b.err
}
