package gateway

import (
	"net"
	"net/http"
	"net/netip"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/caller/lookup"
	"sardineknot.example/sardineknot/internal/peer/h2c"
	"sardineknot.example/sardineknot/internal/peer/tunnel"
	"sardineknot.example/sardineknot/internal/report/exposition"
)

// endpoint is a server and its listen address.
type endpoint struct {
	address netip.AddrPort
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
	return []endpoint{
		{p.Settings.CallerAddress, &http.Server{
			Handler: p.handler, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes,
			ConnState: p.connections.Track, ConnContext: p.handler.ConnContext,
		}},
		{p.Settings.LookupAddress, &http.Server{Handler: p.NewLookupHandler(lookup.NewDirectory(p.registry)), ReadHeaderTimeout: headerTimeout}},
		{p.Settings.ReadyAddress, &http.Server{Handler: p.NewReadyHandler(p.ready), ReadHeaderTimeout: headerTimeout}},
		{p.Settings.MetricsAddress, &http.Server{Handler: http.HandlerFunc(p.serveMetrics), ReadHeaderTimeout: headerTimeout}},
		{p.Settings.PeerAddress, h2c.NewServer(m, tunnel.Path)},
	}
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
