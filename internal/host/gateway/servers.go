package gateway

import (
	"context"
	"net"
	"net/http"
	"net/netip"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/caller/intake"
	"sardineknot.example/sardineknot/internal/caller/lookup"
	"sardineknot.example/sardineknot/internal/peer/h2c"
	"sardineknot.example/sardineknot/internal/peer/tunnel"
	"sardineknot.example/sardineknot/internal/report/exposition"
)

// endpoint is a server, its listen address, and the guard of its connections.
type endpoint struct {
	address netip.AddrPort
	guard   *intake.Guard
	server  *http.Server
}

// servers returns the servers of the process. The first one serves callers.
func (p *Process) servers() []endpoint {
	m := http.NewServeMux()
	m.Handle(p.slots.Handler())
	m.Handle(p.feed.Handler())
	m.Handle(p.exchange.Handler())
	m.Handle(p.versions.Handler())
	m.Handle(p.guard.Handler())
	m.Handle(p.limiter.Handler())
	m.Handle(p.accountClient.Handler())
	m.Handle(p.places.Handler())
	m.Handle(tunnel.Path, p.tunnels)
	c := p.newGuard(intake.CallerConnections(p.Settings.MemoryMegabytes, p.Settings.MaxDescriptors))
	c.Refusals, c.Refused = refusedConnections, metrics.GetOrRegisterCounter("callers.refused_connections", p.Metrics)
	h := p.newGuard(peerConnections)
	h.HeadBytes = 0 // HTTP/2 bounds the header blocks of a connection
	return []endpoint{
		{p.Settings.CallerAddress, c, &http.Server{
			Handler: p.handler, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes,
			ConnState: p.connections.Track, ConnContext: func(ctx context.Context, n net.Conn) context.Context {
				return c.ConnContext(p.handler.ConnContext(ctx, n), n)
			},
		}},
		p.otherEndpoint(p.Settings.LookupAddress, p.NewLookupHandler(lookup.NewDirectory(p.registry))),
		p.otherEndpoint(p.Settings.ReadyAddress, p.NewReadyHandler(p.ready)),
		p.otherEndpoint(p.Settings.MetricsAddress, http.HandlerFunc(p.serveMetrics)),
		{p.Settings.PeerAddress, h, h2c.NewServer(m, tunnel.Path)},
	}
}

// otherEndpoint returns a server of handler, whose calls are short, at address.
func (p *Process) otherEndpoint(address netip.AddrPort, handler http.Handler) endpoint {
	return endpoint{address, p.newGuard(otherConnections), &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes}}
}

// ready reports whether the host accepts calls: it has a configuration and is
// alive.
func (p *Process) ready() bool {
	return p.source.Current().Revision > 0 && p.registry.Self().State == sardineknot.EntryHostAlive
}

// serveMetrics serves the metrics in text format.
func (p *Process) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", exposition.ContentType)
	err := exposition.Write(w, p.Metrics)
	if err != nil {
		p.Log.Debug().Stringer("event", sardineknot.LogMetricsNotSent).Err(err).Send()
	}
}

func (p *Process) listen(address netip.AddrPort) (net.Listener, error) {
	l, err := net.Listen("tcp", address.String())
	return l, errors.WithStack(err)
}

// serve serves connections of listener until server is closed or shut down, and
// then returns nil.
func serve(server *http.Server, listener net.Listener) error {
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.WithStack(err)
}
