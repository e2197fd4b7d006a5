// Package gateway assembles and runs an entry host that takes its configuration,
// its backend servers and its peers from the platform's key-value service, and
// passes calls on unchanged.
package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"os"
	"runtime/debug"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/answer/events"
	"sardineknot.example/sardineknot/internal/answer/plain"
	"sardineknot.example/sardineknot/internal/backend/breaker"
	"sardineknot.example/sardineknot/internal/backend/shared"
	caller "sardineknot.example/sardineknot/internal/caller/gateway"
	"sardineknot.example/sardineknot/internal/caller/idle"
	configuration "sardineknot.example/sardineknot/internal/configuration/store"
	"sardineknot.example/sardineknot/internal/host/clock"
	"sardineknot.example/sardineknot/internal/membership/rendezvous"
	membership "sardineknot.example/sardineknot/internal/membership/store"
	"sardineknot.example/sardineknot/internal/peer/h2c"
	"sardineknot.example/sardineknot/internal/platform/mirror"
	"sardineknot.example/sardineknot/internal/policy/memory"
	"sardineknot.example/sardineknot/internal/slots/twirp"
)

const (
	// memoryShare is the part of the memory limit that the runtime keeps to.
	memoryShare = 0.7
	// collectPercent is the growth of the heap between two collections. Memory
	// is scarcer than processor time.
	collectPercent = 50
	// mirrorPause is kept between two calls that brought changes of the store,
	// with mirrorPauseHost for each host, since all hosts call it. The sum is
	// at most maxMirrorPause, so that changes are in force in time.
	mirrorPause     = 250 * time.Millisecond
	mirrorPauseHost = 8 * time.Millisecond
	maxMirrorPause  = 750 * time.Millisecond
	// sweepInterval is the time between two looks at what time brings.
	sweepInterval = 300 * time.Millisecond
	// slotBeat is the time between two messages to the owner of a shard.
	slotBeat = 250 * time.Millisecond
	// slotSettle is the time that the state of a shard takes to follow it to a
	// new owner.
	slotSettle = 300 * time.Millisecond
	// deadGrace is the time for which a host has to be gone before its jobs are
	// dropped.
	deadGrace = 2 * time.Second
	// headerTimeout bounds the head of a call.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes bounds the head of a call.
	maxHeaderBytes = 64 << 10
)

// Process is one entry host. The exported fields are set before Run.
type Process struct {
	// Settings are those of the host.
	Settings sardineknot.GatewaySettings
	// Store and Feed are the platform's key-value service.
	Store sardineknot.Store
	Feed  sardineknot.ChangeFeed
	// Entries and Calls decode what others write and ask.
	Entries sardineknot.StoreEntryDecoder
	Calls   sardineknot.CallDecoder
	// Forwarder calls backend servers.
	Forwarder sardineknot.Forwarder
	// Engines gives orders to engines.
	Engines sardineknot.EngineOrderClient
	// Lookup serves callers that ask which hosts to use, and Ready the
	// platform.
	Lookup func(hosts func() []sardineknot.EntryHost) http.Handler
	Ready  func(ready func() bool) http.Handler
	// Tasks run as long as the process.
	Tasks []func(context.Context) error
	// Load reads the settings again, and Reload asks for that. Settings that
	// change without a signal are found too.
	Load   func() (sardineknot.GatewaySettings, error)
	Reload <-chan os.Signal
	// Log takes events.
	Log zerolog.Logger
	// Metrics holds all metrics of the process.
	Metrics metrics.Registry

	// settingsLock guards the fields of Settings that a reload changes.
	settingsLock sync.Mutex

	clock    clock.System
	registry *membership.Registry
	source   *configuration.Source
	mirror   *mirror.Mirror
	handler  *caller.Handler
	// connections are those of callers.
	connections *idle.Connections
	slots       *twirp.Pool
	peers       *h2c.Transport
	budgets     *shared.Budgets
}

// Run serves until ctx is done, and then until the host has stopped in order.
func (p *Process) Run(ctx context.Context) error {
	p.bound()
	p.assemble()
	g, w := errgroup.WithContext(context.WithoutCancel(ctx))
	w, cancel := context.WithCancel(w)
	defer cancel()
	l := p.servers()
	for _, s := range l {
		n, err := p.listen(s.address)
		if err != nil {
			return err
		}
		g.Go(func() error { return serve(s.server, n) })
	}
	for _, f := range append(p.Tasks, p.mirror.Run, p.registry.Run, p.slots.Run, p.sweep, p.follow, p.observe, p.stages().Run, p.connections.Run) {
		g.Go(func() error { return f(w) })
	}
	p.Log.Info().Stringer("event", sardineknot.LogStarted).Str("zone", string(p.Settings.Zone)).Send()
	select {
	case <-ctx.Done():
		p.stop(l)
	case <-w.Done():
	}
	cancel()
	for _, s := range l {
		s.server.Close()
	}
	err := g.Wait()
	p.Log.Info().Stringer("event", sardineknot.LogStopped).Err(err).Send()
	return err
}

// bound has the runtime keep to the memory of the settings.
func (p *Process) bound() {
	debug.SetGCPercent(collectPercent)
	if m := p.Settings.MemoryMegabytes; m > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(m<<20)))
	}
}

// assemble makes the parts of the process.
func (p *Process) assemble() {
	s := p.Settings
	h := sardineknot.EntryHost{
		ID:            s.ID,
		Incarnation:   sardineknot.Incarnation(p.clock.Now().UnixNano()),
		CallerAddress: s.CallerAddress,
		PeerAddress:   s.PeerAddress,
		Zone:          s.Zone,
	}
	p.mirror = &mirror.Mirror{Feed: p.Feed, Clock: p.clock, Sleep: p.clock.Sleep, PollDelay: p.mirrorPause, Log: p.Log}
	p.registry = membership.NewRegistry(h)
	p.registry.Store, p.registry.Clock, p.registry.Reachability, p.registry.Log = p.Store, p.clock, p.mirror.Reachability, p.Log
	p.source = configuration.NewSource()
	p.source.Decoder, p.source.Clock, p.source.Reachability, p.source.Log = p.Entries, p.clock, p.mirror.Reachability, p.Log
	p.mirror.OnChange = func(e sardineknot.StoreEntry) {
		p.registry.Apply(e)
		p.source.Apply(e)
	}
	p.mirror.OnBatch = p.source.Commit
	p.addSlots()
	p.addCalls(h)
}

// addSlots assembles what grants engines.
func (p *Process) addSlots() {
	n := uint64(p.registry.Self().Incarnation)
	p.peers = h2c.NewTransport(p.Metrics)
	p.slots = &twirp.Pool{
		Members:           p.registry,
		Ranker:            rendezvous.NewRanker(p.registry),
		Source:            p.source,
		Clock:             p.clock,
		Client:            p.peers.Client(),
		CreateScheduler:   func(sardineknot.PoolName) sardineknot.Scheduler { return memory.NewScheduler() },
		SettlingTime:      slotSettle,
		Random:            rand.New(rand.NewPCG(n, n)),
		HeartbeatInterval: slotBeat,
		OwnerUnreachable:  p.registry.Exclude,
		ActAsOwner:        true,
	}
}

// addCalls assembles what answers callers.
func (p *Process) addCalls(self sardineknot.EntryHost) {
	b := &shared.Budgets{Clock: p.clock, Hosts: func() int { return len(p.registry.Hosts()) }}
	b.SetBounds(p.Settings.RetryRatio, p.Settings.RetrySlack)
	p.budgets = b
	p.connections = &idle.Connections{Clock: p.clock, Limit: func() time.Duration { return p.source.Current().CallerLimits.IdleTime }}
	n := uint64(self.Incarnation)
	p.handler = &caller.Handler{
		Source:  p.source,
		Decoder: p.Calls,
		Plain: &plain.Runner{
			Source: p.source, Forwarder: p.Forwarder, Circuits: breaker.NewSet(rand.NewPCG(n, n+1)),
			Budget: b, Clock: p.clock, Log: p.Log,
		},
		Stream: &events.Runner{
			Source: p.source, Forwarder: p.Forwarder, Slots: p.slots,
			Budget: b, Self: self, Clock: p.clock, Log: p.Log,
		},
		Clock:   p.clock,
		Log:     p.Log,
		Metrics: p.Metrics,
	}
}

// mirrorPause returns the time between two calls that follow the store.
func (p *Process) mirrorPause() time.Duration {
	return min(maxMirrorPause, mirrorPause+time.Duration(len(p.registry.Hosts()))*mirrorPauseHost)
}

// sweep puts into force what only the passing of time brings.
func (p *Process) sweep(ctx context.Context) error {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			p.source.Commit()
			p.registry.Refresh()
			for o := range p.slots.OwnedShards() {
				o.CancelOrphanedJobs(p.registry.Dead, deadGrace)
			}
		case <-ctx.Done():
			return nil
		}
	}
}
