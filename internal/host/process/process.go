// Package process assembles the parts of one entry host and runs them.
package process

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/answer/generation"
	"sardineknot.example/sardineknot/internal/answer/registry"
	"sardineknot.example/sardineknot/internal/answer/service"
	"sardineknot.example/sardineknot/internal/backend/openai"
	"sardineknot.example/sardineknot/internal/backend/plainhttp"
	"sardineknot.example/sardineknot/internal/caller/completions"
	"sardineknot.example/sardineknot/internal/caller/placement"
	"sardineknot.example/sardineknot/internal/caller/services"
	"sardineknot.example/sardineknot/internal/claims/direct"
	config "sardineknot.example/sardineknot/internal/configuration/etcd"
	"sardineknot.example/sardineknot/internal/host/clock"
	members "sardineknot.example/sardineknot/internal/membership/httpsd"
	"sardineknot.example/sardineknot/internal/platform/etcd"
	"sardineknot.example/sardineknot/internal/platform/httpsd"
	"sardineknot.example/sardineknot/internal/policy/roundrobin"
	"sardineknot.example/sardineknot/internal/slots/local"
)

const (
	defaultPlacementValidity = 30 * time.Second
	defaultReconnectGrace    = 500 * time.Millisecond
	defaultAnswerRetention   = time.Minute
	defaultHeartbeat         = time.Second
)

// Process is one entry host.
type Process struct {
	settings sardineknot.Settings
	log      zerolog.Logger

	source  *config.Source
	members *members.List
	slots   *local.Owner
	answers *registry.Registry
	callers http.Handler
}

// NewProcess returns a process that is not running yet. It applies the
// defaults of s.
func NewProcess(s sardineknot.Settings, l zerolog.Logger) *Process {
	s = withDefaults(s)
	var c clock.System
	e := self(s, c.Now())
	l = l.With().Str("host", string(e.ID)).Logger()
	t := etcd.NewClient(s.Store, s.StoreTimeout)
	p := &Process{settings: s, log: l}
	p.source = config.NewSource(t, l)
	p.members = members.NewList(e, httpsd.NewClient(s.HostList))
	p.slots = local.NewOwner(c, p.source, func(sardineknot.PoolName) sardineknot.Scheduler {
		return &roundrobin.Scheduler{}
	})
	p.answers = registry.NewRegistry(s.ReconnectGrace, s.AnswerRetention)
	g := &generation.Runner{
		Self:          e,
		Engine:        openai.NewClient(s.StreamProgress),
		Slots:         p.slots,
		Configuration: p.source,
		Clock:         c,
		Log:           l,
	}
	v := &service.Runner{
		Self:          e,
		Service:       plainhttp.NewClient(),
		Claims:        direct.NewLedger(t),
		Configuration: p.source,
		Log:           l,
	}
	m := http.NewServeMux()
	m.Handle("POST /v1/completions", &completions.Handler{Configuration: p.source, Answers: p.answers, Runner: g, Clock: c})
	m.Handle("POST /v1/services", &services.Handler{Configuration: p.source, Runner: v, Clock: c})
	m.Handle("GET /v1/placement", &placement.Handler{Membership: p.members, Validity: s.PlacementValidity})
	p.callers = m
	return p
}

// Run serves until ctx is done.
func (p *Process) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return p.source.Run(ctx, p.settings.Heartbeat) })
	g.Go(func() error { return p.members.Run(ctx, p.settings.Heartbeat) })
	g.Go(func() error { return p.slots.Run(ctx) })
	g.Go(func() error { return p.serve(ctx, p.settings.CallerAddress, p.callers) })
	return g.Wait()
}

func (p *Process) serve(ctx context.Context, a netip.AddrPort, h http.Handler) error {
	l, err := net.Listen("tcp", a.String())
	if err != nil {
		return errors.WithStack(err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
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

func withDefaults(s sardineknot.Settings) sardineknot.Settings {
	s.PlacementValidity = orDefault(s.PlacementValidity, defaultPlacementValidity)
	s.ReconnectGrace = orDefault(s.ReconnectGrace, defaultReconnectGrace)
	s.AnswerRetention = orDefault(s.AnswerRetention, defaultAnswerRetention)
	s.Heartbeat = orDefault(s.Heartbeat, defaultHeartbeat)
	return s
}

func orDefault(d, n time.Duration) time.Duration {
	if d == 0 {
		return n
	}
	return d
}
