// Package process assembles the parts of one entry host and runs them.
//
// Each part is assembled in a file of its own, in the order in which parts
// depend on each other.
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
	"sardineknot.example/sardineknot/internal/host/clock"
	"sardineknot.example/sardineknot/internal/membership/liveness"
	"sardineknot.example/sardineknot/internal/membership/twirp"
	"sardineknot.example/sardineknot/internal/peer/h2c"
	"sardineknot.example/sardineknot/internal/platform/etcd"
	"sardineknot.example/sardineknot/internal/platform/httpsd"
	"sardineknot.example/sardineknot/internal/report/tracker"
)

// headerTimeout bounds the head of a request.
const headerTimeout = 2 * time.Second

// Process is one entry host.
type Process struct {
	settings sardineknot.Settings
	log      zerolog.Logger
	clock    clock.System
	metrics  metrics.Registry
	self     sardineknot.EntryHost
	store    sardineknot.WatchableStore
	hosts    sardineknot.HostList
	// peers opens connections to other entry hosts.
	peers *h2c.Transport
	// peerMux and callerMux serve other entry hosts and callers.
	peerMux   *http.ServeMux
	callerMux *http.ServeMux
	// adminMux serves operators and monitors.
	adminMux *http.ServeMux
	// tasks run until the process stops.
	tasks []func(context.Context) error

	parts
	// node is parts.members with what only this package uses.
	node *twirp.Node
	// guard admits the requests of callers.
	guard *admission.Guard
}

// parts are what the assembling functions make for each other.
type parts struct {
	source  sardineknot.ConfigurationSource
	members sardineknot.Membership
	ranker  sardineknot.Ranker
	slots   sardineknot.SlotPool
	claims  sardineknot.ClaimLedger
	limiter sardineknot.Limiter

	outcomes *tracker.Tracker
	// liveness tells which incarnations of entry hosts are dead.
	liveness *liveness.Tracker
	engine   sardineknot.EngineClient
	answers  answers
	// calls holds the calls of plain services that this host makes.
	calls *join.Group
}

// NewProcess returns a process that is not running yet. It applies the
// defaults of s.
func NewProcess(s sardineknot.Settings, l zerolog.Logger) *Process {
	s = withDefaults(s)
	var c clock.System
	e := self(s, c.Now())
	r := metrics.NewRegistry()
	p := &Process{
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

// Run serves until ctx is done, and then until the host has stopped in order.
// It listens on all addresses before other hosts hear of it.
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
		g.Go(func() error { return serve(w, l, s.server) })
	}
	for _, f := range p.tasks {
		g.Go(func() error { return f(w) })
	}
	p.stop(ctx, w)
	cancel()
	return g.Wait()
}

// endpoint is a server and the address that it listens on.
type endpoint struct {
	address netip.AddrPort
	server  *http.Server
}

func (p *Process) servers() []endpoint {
	return []endpoint{
		{p.settings.CallerAddress, &http.Server{Handler: p.callerMux, ReadHeaderTimeout: headerTimeout}},
		{p.settings.AdminAddress, &http.Server{Handler: p.adminMux, ReadHeaderTimeout: headerTimeout}},
		{p.settings.PeerAddress, h2c.NewServer(p.peerMux)},
	}
}

func (p *Process) listen(a netip.AddrPort) (net.Listener, error) {
	l, err := net.Listen("tcp", a.String())
	if err != nil {
		return nil, errors.WithStack(err)
	}
	p.log.Info().Stringer("event", sardineknot.LogListening).Str("address", l.Addr().String()).Send()
	return l, nil
}

// serve answers on l until ctx is done, and then until s has shut down.
func serve(ctx context.Context, l net.Listener, s *http.Server) error {
	d := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(d)
		shutdown(s)
	})
	err := s.Serve(l)
	if !stop() {
		<-d
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.WithStack(err)
}

// self returns the entry host of s, with an incarnation that starts at now.
func self(s sardineknot.Settings, now time.Time) sardineknot.EntryHost {
	return sardineknot.EntryHost{
		ID:            s.ID,
		Incarnation:   sardineknot.Incarnation(now.UnixNano()),
		CallerAddress: s.CallerAddress,
		PeerAddress:   s.PeerAddress,
		Zone:          s.Zone,
	}
}
