package tunnel

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"sardineknot.example/sardineknot"
)

const (
	// Path is the path at which Tunnels are served.
	Path = "/servers/tunnel"
	// endTrailer is the field after the response body that holds a serverEnd.
	endTrailer = "Server-End"
	// serverParameter is the query parameter with the address of the server.
	serverParameter = "Server"
	// maxServed bounds the tunnels that a host serves at a time. Each of them holds a
	// connection, two buffers and two goroutines.
	maxServed = 256
	// bufferBytes is the size of a buffer.
	bufferBytes = 8 << 10
	// waitInterval is the interval at which Wait looks for tunnels in use.
	waitInterval = 20 * time.Millisecond
)

// serverEnd says how a server has ended a connection.
type serverEnd string

const (
	serverClosed serverEnd = "Closed"
	serverReset  serverEnd = "Reset"
)

// Tunnels opens tunnels through other hosts and serves those of other hosts. It is
// safe for concurrent use. All exported fields must be set before use.
type Tunnels struct {
	// Client calls other entry hosts.
	Client *http.Client
	// Dial connects to a backend server without a tunnel. It fails with a CutError if
	// this host reaches no server. A read of the connection must report a reset also if a
	// write has been the first to notice it.
	Dial func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	// Source provides the backend servers. Tunnels lead to no other address.
	Source sardineknot.ConfigurationSource
	// Metrics receives the number of tunnels that were served.
	Metrics metrics.Registry

	// served is the number of tunnels that are served now, and leaving is set by
	// Leave.
	served  atomic.Int64
	leaving atomic.Bool
}

var (
	_ sardineknot.TunnelOpener = (*Tunnels)(nil)
	_ http.Handler             = (*Tunnels)(nil)
)

// Open implements sardineknot.TunnelOpener.
func (t *Tunnels) Open(ctx context.Context, host sardineknot.EntryHost, address netip.AddrPort) (net.Conn, error) {
	c, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, cancel)
	r, w := io.Pipe()
	u := "http://" + host.PeerAddress.String() + Path + "?" + url.Values{serverParameter: {address.String()}}.Encode()
	q, err := http.NewRequestWithContext(c, http.MethodPost, u, r)
	if err != nil {
		cancel()
		return nil, errors.WithStack(err)
	}
	p, err := t.Client.Do(q)
	if err == nil && p.StatusCode != http.StatusOK {
		err = openError(host, address, p)
	}
	if !stop() && err == nil {
		p.Body.Close()
		err = ctx.Err()
	}
	if err != nil {
		cancel()
		return nil, errors.WithStack(err)
	}
	return newConn(host.ID, p, w, cancel), nil
}

// openError returns the error for response, with which host has refused a tunnel to
// address.
func openError(host sardineknot.EntryHost, address netip.AddrPort, response *http.Response) error {
	response.Body.Close()
	if response.StatusCode == http.StatusBadGateway {
		return &sardineknot.NotReachedError{Host: host.ID, Server: address}
	}
	return &sardineknot.CutError{Host: host.ID}
}

// Leave makes the host open no more tunnels for others.
func (t *Tunnels) Leave() { t.leaving.Store(true) }

// Wait waits until no tunnel is served, or until ctx is done.
func (t *Tunnels) Wait(ctx context.Context) {
	for t.served.Load() > 0 && ctx.Err() == nil {
		time.Sleep(waitInterval)
	}
}

// ServeHTTP implements http.Handler. The status is 502 if this host does not reach
// the server, 503 if it reaches none or opens no tunnels now, and 403 if the address
// is that of no server.
func (t *Tunnels) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer t.served.Add(-1)
	if t.served.Add(1) > maxServed || t.leaving.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	a, err := netip.ParseAddrPort(r.URL.Query().Get(serverParameter))
	if err != nil || !t.known(a) {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	c, err := t.Dial(r.Context(), a)
	if err != nil {
		w.WriteHeader(dialStatus(err))
		return
	}
	defer c.Close()
	metrics.GetOrRegisterCounter("tunnels.served", t.Metrics).Inc(1)
	w.Header().Set("Trailer", endTrailer)
	w.WriteHeader(http.StatusOK)
	e, err := relay(w, r, c)
	if err != nil {
		panic(http.ErrAbortHandler) // the other host has ended the tunnel
	}
	w.Header().Set(endTrailer, string(e))
}

// known reports whether a backend server has the given address.
func (t *Tunnels) known(address netip.AddrPort) bool {
	_, ok := t.Source.Current().ServerAt(address)
	return ok
}

// dialStatus returns the status for the error err of a dial.
func dialStatus(err error) int {
	var c *sardineknot.CutError
	if errors.As(err, &c) {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}

// relay passes the bytes of r to connection, and those of connection to w, until the
// server ends the connection. It fails if the other host ends the tunnel.
func relay(w http.ResponseWriter, r *http.Request, connection net.Conn) (serverEnd, error) {
	stop := context.AfterFunc(r.Context(), func() { connection.Close() })
	defer stop()
	go send(connection, r.Body)
	f := http.NewResponseController(w)
	b := make([]byte, bufferBytes)
	for {
		err := f.Flush()
		if err != nil {
			return "", errors.WithStack(err)
		}
		n, e := connection.Read(b)
		_, err = w.Write(b[:n])
		switch {
		case err != nil:
			return "", errors.WithStack(err)
		case r.Context().Err() != nil:
			return "", errors.WithStack(r.Context().Err())
		case errors.Is(e, io.EOF):
			return serverClosed, nil
		case e != nil:
			return serverReset, nil
		}
	}
}

// send passes the bytes of body to connection until that fails. It does not close connection:
// what the server has sent before it reset the connection is still to be read. If body fails,
// the other host has ended the tunnel, and so has the context of its request.
func send(connection net.Conn, body io.Reader) {
	// io.CopyBuffer would let a TCP connection use a larger buffer of its own.
	w := struct{ io.Writer }{connection}
	_, _ = io.CopyBuffer(w, body, make([]byte, bufferBytes))
}
