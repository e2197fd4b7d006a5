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
	"sardineknot.example/sardineknot/internal/caller/admission"
	"sardineknot.example/sardineknot/internal/host/clock"
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
	clock    sardineknot.Clock
	metrics  metrics.Registry
	self     sardineknot.EntryHost
	store    sardineknot.Store
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
	p.addOrders()
	p.addCallers()
	p.addAdmin()
	return p
}

// Run serves until ctx is done.
func (p *Process) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, f := range p.tasks {
		g.Go(func() error { return f(ctx) })
	}
	c := &http.Server{Handler: p.callerMux, ReadHeaderTimeout: headerTimeout}
	a := &http.Server{Handler: p.adminMux, ReadHeaderTimeout: headerTimeout}
	g.Go(func() error { return p.serve(ctx, p.settings.CallerAddress, c) })
	g.Go(func() error { return p.serve(ctx, p.settings.AdminAddress, a) })
	g.Go(func() error { return p.serve(ctx, p.settings.PeerAddress, h2c.NewServer(p.peerMux)) })
	return g.Wait()
}

func (p *Process) serve(ctx context.Context, a netip.AddrPort, s *http.Server) error {
	l, err := net.Listen("tcp", a.String())
	if err != nil {
		return errors.WithStack(err)
	}
	stop := context.AfterFunc(ctx, func() { s.Close() })
	defer stop()
	p.log.Info().Str("event", "listening").Str("address", l.Addr().String()).Send()
	err = s.Serve(l)
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
