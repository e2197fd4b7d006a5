// Package process assembles the components of one entry host and runs them.
//
// Each component is created in a file of its own. NewProcess creates the
// components in the order of their dependencies.
package process

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/answer/join"
	"sardineknot.example/sardineknot/internal/caller/admission"
	"sardineknot.example/sardineknot/internal/caller/intake"
	"sardineknot.example/sardineknot/internal/host/clock"
	"sardineknot.example/sardineknot/internal/membership/liveness"
	"sardineknot.example/sardineknot/internal/membership/twirp"
	"sardineknot.example/sardineknot/internal/peer/h2c"
	"sardineknot.example/sardineknot/internal/platform/etcd"
	"sardineknot.example/sardineknot/internal/platform/httpsd"
	"sardineknot.example/sardineknot/internal/report/tracker"
)

const (
	// headerTimeout is the maximum time to receive the header of a request, and
	// maxHeaderBytes its maximum size.
	headerTimeout  = 2 * time.Second
	maxHeaderBytes = 64 << 10
	// adminConnections and peerConnections are the maximum numbers of connections to the
	// address for operators and to that for other hosts.
	adminConnections = 128
	peerConnections  = 600
)

// Process runs one entry host. Create it with NewProcess.
type Process struct {
	// Listen returns a listener of the given TCP address. NewProcess sets one that opens it. It
	// must not be modified once Run was called.
	Listen func(address netip.AddrPort) (net.Listener, error)

	settings sardineknot.Settings
	log      zerolog.Logger
	clock    clock.System
	metrics  metrics.Registry
	self     sardineknot.EntryHost
	store    sardineknot.WatchableStore
	hosts    sardineknot.HostList
	// peers connects to other entry hosts.
	peers *h2c.Transport
	// peerMux serves other entry hosts, and callerMux serves callers.
	peerMux   *http.ServeMux
	callerMux *http.ServeMux
	// adminMux serves operators and monitoring systems.
	adminMux *http.ServeMux
	// tasks run until the process stops.
	tasks []func(context.Context) error

	components
	// node is the implementation of components.members.
	node *twirp.Node
	// guard admits or refuses the requests of callers.
	guard *admission.Guard
}

// components holds the components that are shared between the functions that
// assemble the process.
type components struct {
	source  sardineknot.ConfigurationSource
	members sardineknot.Membership
	ranker  sardineknot.Ranker
	slots   sardineknot.SlotPool
	claims  sardineknot.ClaimLedger
	limiter sardineknot.Limiter

	outcomes *tracker.Tracker
	// liveness reports which incarnations of entry hosts are dead.
	liveness *liveness.Tracker
	engine   sardineknot.EngineClient
	answers  answers
	// calls holds the calls to plain services that this host runs.
	calls *join.Group
}

// NewProcess returns a process that is not running yet. Settings in s that are
// zero get their default values. l receives the events of the host.
func NewProcess(s sardineknot.Settings, l zerolog.Logger) *Process {
	s = withDefaults(s)
	var c clock.System
	e := self(s, c.Now())
	r := metrics.NewRegistry()
	p := &Process{
		Listen:    listenTCP,
		settings:  s,
		log:       l.With().Str("host", string(e.ID)).Logger(),
		clock:     c,
		metrics:   r,
		self:      e,
		store:     etcd.NewClient(s.Store, s.StoreTimeout),
		hosts:     httpsd.NewClient(s.HostList),
		peers:     h2c.NewTransport(r),
		peerMux:   http.NewServeMux(),
		callerMux: http.NewServeMux(),
		adminMux:  http.NewServeMux(),
	}
	p.addOutcomes()
	p.addMembership()
	p.addConfiguration()
	p.addSlots()
	p.addClaims()
	p.addLimits()
	p.addGuard()
	p.addOrders()
	p.addAnswers()
	p.addCallers()
	p.addAdmin()
	return p
}

// Run serves until ctx is done, and returns once the host has stopped
// gracefully. It listens on all addresses before it announces itself to other
// hosts. It returns early, with the error, if a server or a task fails.
func (p *Process) Run(ctx context.Context) error {
	g, w := errgroup.WithContext(context.WithoutCancel(ctx))
	w, cancel := context.WithCancel(w)
	defer cancel()
	for _, s := range p.servers() {
		l, err := p.listen(s.address)
		if err != nil {
			return err
		}
		defer l.Close()
		n := s.guard.Serve(s.server, l)
		g.Go(func() error { return serve(w, n, s.server) })
	}
	for _, f := range p.tasks {
		g.Go(func() error { return f(w) })
	}
	p.stop(ctx, w)
	cancel()
	return g.Wait()
}

// endpoint is a server, its listen address, and the guard of its connections.
type endpoint struct {
	address netip.AddrPort
	guard   *intake.Guard
	server  *http.Server
}

func (p *Process) servers() []endpoint {
	h := p.newGuard(peerConnections)
	h.HeadBytes = 0 // HTTP/2 bounds the header blocks of a connection
	return []endpoint{
		{p.settings.CallerAddress, p.newGuard(intake.CallerConnections(0, 0)), newServer(p.callerMux)},
		{p.settings.AdminAddress, p.newGuard(adminConnections), newServer(p.adminMux)},
		{p.settings.PeerAddress, h, h2c.NewServer(p.peerMux)},
	}
}

// newGuard returns a guard of a server for at most the given number of connections.
func (p *Process) newGuard(connections int) *intake.Guard {
	return &intake.Guard{Connections: connections, HeadBytes: intake.HeadBytes(0), Clock: p.clock}
}

func newServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes}
}

// listenTCP opens a listener of address.
func listenTCP(address netip.AddrPort) (net.Listener, error) {
	l, err := net.Listen("tcp", address.String())
	return l, errors.WithStack(err)
}

// listen returns a listener of address and logs it.
func (p *Process) listen(address netip.AddrPort) (net.Listener, error) {
	l, err := p.Listen(address)
	if err != nil {
		return nil, err
	}
	p.log.Info().Stringer("event", sardineknot.LogListening).Str("address", l.Addr().String()).Send()
	return l, nil
}

// serve serves connections of listener until ctx is done, and returns once
// server has shut down.
func serve(ctx context.Context, listener net.Listener, server *http.Server) error {
	d := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(d)
		shutdown(server)
	})
	err := server.Serve(listener)
	if !stop() {
		<-d
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.WithStack(err)
}

// self returns this entry host, with the settings s and an incarnation derived
// from now.
func self(s sardineknot.Settings, now time.Time) sardineknot.EntryHost {
	return sardineknot.EntryHost{
		ID:            s.ID,
		Incarnation:   sardineknot.Incarnation(now.UnixNano()),
		CallerAddress: s.CallerAddress,
		PeerAddress:   s.PeerAddress,
		Zone:          s.Zone,
	}
}
