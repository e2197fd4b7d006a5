// Package completion detects answers of backend servers that broke off although their
// framing does not show it.
//
// An answer with neither a length nor chunks ends with its connection. The kernel ends the
// connections of a process that was killed in the same way. Such an answer is complete only
// if the process is still running after it: the server is queried, and if it does not answer,
// the end of the answer is an error. The server may stop before a slow caller has taken its
// answer: such an answer is read ahead within a memory budget, and the query goes out once this
// host has read the end. Beyond the budget, the answer of a server that has stopped counts as
// broken off.
//
// A stream begins and resumes only on the process that the server's entry describes: one that
// started again under the same name may have another software version.
package completion

import (
	"context"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/backend/memory"
	"sardineknot.example/sardineknot/internal/backend/tcp"
)

const (
	// repeatableTimeout and onceTimeout bound the confirmation of an end, for calls that may
	// run again and for others, whose answers cannot be replaced.
	repeatableTimeout = 500 * time.Millisecond
	onceTimeout       = 1500 * time.Millisecond
	// queryTimeout bounds a query.
	queryTimeout = 400 * time.Millisecond
	// retryDelay is the delay before another try. A server that has too many connections
	// resets some of them.
	retryDelay = 30 * time.Millisecond
)

// Forwarder is a sardineknot.Forwarder that confirms the ends of answers. All exported
// fields must be set before use.
type Forwarder struct {
	sardineknot.Forwarder
	// Prober queries the servers.
	Prober sardineknot.ServerProber
	// MayQuery reports whether a server accepts queries from this host now. Dialer connects
	// to the others, since a connection is no request.
	MayQuery func(server sardineknot.BackendServer) bool
	Dialer   sardineknot.ServerDialer
	// Source provides the services. Refresh waits until it has the changes that were made
	// before the call.
	Source  sardineknot.ConfigurationSource
	Refresh func(context.Context) error
	// Memory bounds the bytes of answers that were read ahead of slow callers.
	Memory *memory.Budget
	// Log receives an event for each end that is not confirmed.
	Log zerolog.Logger
	// Metrics receives the number of ends, by whether they were confirmed.
	Metrics metrics.Registry
}

var _ sardineknot.Forwarder = (*Forwarder)(nil)

// Forward implements sardineknot.Forwarder.
func (f *Forwarder) Forward(ctx context.Context, server sardineknot.BackendServer, call *sardineknot.Call, options sardineknot.ForwardOptions) (*sardineknot.Response, error) {
	p, err := f.Forwarder.Forward(ctx, server, call, options)
	if err == nil {
		p, err = f.confirmInstance(ctx, server, call, options, p)
	}
	if err != nil || p.Framing != sardineknot.FramingConnection {
		return p, err
	}
	p.Body = newBody(ctx, f, server, call, p)
	return p, nil
}

// end records err, the result of the confirmation of the end of call, and returns an
// UnavailableError whose cause it is, or nil.
func (f *Forwarder) end(ctx context.Context, server sardineknot.BackendServer, call *sardineknot.Call, err *sardineknot.UnconfirmedEndError) error {
	if ctx.Err() == nil {
		f.record(server, call.ID, err)
	}
	if err == nil {
		return nil
	}
	return errors.WithStack(&sardineknot.UnavailableError{Peer: string(server.Name), Cause: err})
}

// timeout returns the time within which the end of the answer to call must be confirmed.
func timeout(call *sardineknot.Call) time.Duration {
	if call.Route.Repeatable() {
		return repeatableTimeout
	}
	return onceTimeout
}

// record records the result of the confirmation of the end of call.
func (f *Forwarder) record(server sardineknot.BackendServer, call sardineknot.RequestID, err *sardineknot.UnconfirmedEndError) {
	metrics.GetOrRegisterCounter("backend.ends{confirmed="+strconv.FormatBool(err == nil)+"}", f.Metrics).Inc(1)
	if err != nil {
		f.Log.Warn().Stringer("event", sardineknot.LogEndUnconfirmed).Str("request", string(call)).Str("server", string(server.Name)).Err(err).Send()
	}
}

// awaitProof probes server until it is shown to be running, and returns nil, or until it is
// shown to have ended or limit has passed.
func (f *Forwarder) awaitProof(ctx context.Context, server sardineknot.BackendServer, limit time.Duration) *sardineknot.UnconfirmedEndError {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for {
		d, err := f.probe(ctx, server)
		if err == nil {
			err = f.checkAnswered(ctx, server, d)
		}
		if err == nil {
			return nil
		}
		e := &sardineknot.UnconfirmedEndError{Server: server.Name, Cause: err}
		if e.ServerGone() || !pause(ctx, retryDelay) {
			return e
		}
	}
}

// probe fails unless a process under the name of server is shown to be running. Where it accepts
// no query, or does not answer one in time, its address must accept connections. identified
// reports whether it was the process that server describes.
func (f *Forwarder) probe(ctx context.Context, server sardineknot.BackendServer) (identified bool, err error) {
	s := f.service(server)
	if (s.Engine != nil || s.HealthPath != "") && f.MayQuery(server) {
		d, err := f.query(ctx, server, s)
		if !errors.Is(err, context.DeadlineExceeded) {
			return d, err
		}
	}
	return false, f.connect(ctx, server)
}

func (f *Forwarder) query(ctx context.Context, server sardineknot.BackendServer, service sardineknot.Service) (identified bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	return f.Prober.Probe(ctx, server, service)
}

// connect fails unless the address of server accepts a connection that stays open.
func (f *Forwarder) connect(ctx context.Context, server sardineknot.BackendServer) error {
	c, err := f.Dialer.Dial(ctx, server.Address)
	if err != nil {
		return errors.WithStack(&sardineknot.UnsentError{Server: server.Address, Cause: err})
	}
	return tcp.StaysOpen(ctx, c)
}

// checkAnswered fails with an InstanceError if a later process of server may have answered a
// query. Unless the answer has identified the process, an engine goes by a configuration that
// has the changes up to then: one that has started again within milliseconds answers while
// this host still has the entry of the process before. If the store does not answer within
// refreshTimeout, the present configuration counts.
func (f *Forwarder) checkAnswered(ctx context.Context, server sardineknot.BackendServer, identified bool) error {
	if !identified && server.Born != 0 && f.service(server).Engine != nil {
		ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
		defer cancel()
		_ = f.Refresh(ctx)
	}
	return f.checkInstance(server)
}

// checkInstance fails with an InstanceError if another process has started under the name of
// server since it got the request. The end of an answer may be read long after it has arrived:
// the caller may be slow, or this host was paused.
func (f *Forwarder) checkInstance(server sardineknot.BackendServer) error {
	b, ok := f.Source.Current().Server(server.Name)
	if !ok || b.Born == server.Born {
		return nil
	}
	return errors.WithStack(&sardineknot.InstanceError{Server: server.Name})
}

// pause waits for duration, and reports whether ctx is not done.
func pause(ctx context.Context, duration time.Duration) bool {
	t := time.NewTimer(duration)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// service returns the service of server, or the zero value if it is not in the configuration.
func (f *Forwarder) service(server sardineknot.BackendServer) sardineknot.Service {
	for _, s := range f.Source.Current().Services {
		if string(s.Name) == server.Service {
			return s
		}
	}
	return sardineknot.Service{}
}
