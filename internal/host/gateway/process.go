// Package gateway assembles and runs an entry host that reads its
// configuration, its backend servers and its peers from the platform's
// key-value service, and forwards calls without changes.
package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
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
	"sardineknot.example/sardineknot/internal/backend/backoff"
	"sardineknot.example/sardineknot/internal/backend/breaker"
	"sardineknot.example/sardineknot/internal/backend/completion"
	"sardineknot.example/sardineknot/internal/backend/limited"
	servermemory "sardineknot.example/sardineknot/internal/backend/memory"
	"sardineknot.example/sardineknot/internal/backend/reach"
	"sardineknot.example/sardineknot/internal/backend/sharedbudget"
	caller "sardineknot.example/sardineknot/internal/caller/gateway"
	"sardineknot.example/sardineknot/internal/caller/idle"
	"sardineknot.example/sardineknot/internal/caller/stopping"
	"sardineknot.example/sardineknot/internal/configuration/inforce"
	configuration "sardineknot.example/sardineknot/internal/configuration/store"
	"sardineknot.example/sardineknot/internal/host/clock"
	"sardineknot.example/sardineknot/internal/limits/credit"
	"sardineknot.example/sardineknot/internal/limits/owner"
	accountlimits "sardineknot.example/sardineknot/internal/limits/twirp"
	"sardineknot.example/sardineknot/internal/membership/followers"
	"sardineknot.example/sardineknot/internal/membership/rendezvous"
	membership "sardineknot.example/sardineknot/internal/membership/store"
	"sardineknot.example/sardineknot/internal/orders/ledger"
	"sardineknot.example/sardineknot/internal/peer/h2c"
	"sardineknot.example/sardineknot/internal/peer/tunnel"
	places "sardineknot.example/sardineknot/internal/places/twirp"
	"sardineknot.example/sardineknot/internal/platform/changelog"
	"sardineknot.example/sardineknot/internal/platform/mirror"
	feed "sardineknot.example/sardineknot/internal/platform/twirp"
	"sardineknot.example/sardineknot/internal/policy/memory"
	"sardineknot.example/sardineknot/internal/policy/streampace"
	quarantinestore "sardineknot.example/sardineknot/internal/quarantine/store"
	quarantine "sardineknot.example/sardineknot/internal/quarantine/twirp"
	serverlimits "sardineknot.example/sardineknot/internal/serverlimits/twirp"
	"sardineknot.example/sardineknot/internal/slots/twirp"
	versions "sardineknot.example/sardineknot/internal/versions/twirp"
)

const (
	// memoryFraction is the fraction of the process's memory limit that is set
	// as the soft limit of the Go runtime.
	memoryFraction = 0.7
	// 1/bodyMemoryParts of the memory limit is for the bodies of calls. Of each, freeBodyBytes
	// cost nothing.
	bodyMemoryParts = 6
	freeBodyBytes   = 8 << 10
	// freeAheadBytes cost nothing of what is read ahead of each slow caller.
	freeAheadBytes = 16 << 10
	// gcPercent is the growth of the heap, in percent, that triggers the next
	// garbage collection. It is below the default of 100 because memory is
	// scarcer than processor time.
	gcPercent = 50
	// refreshInterval is the interval at which time-dependent state, such as
	// expired exclusions and grace periods, is updated.
	refreshInterval = 300 * time.Millisecond
	// slotHeartbeatInterval is the interval of heartbeats to the owner of a
	// shard.
	slotHeartbeatInterval = 250 * time.Millisecond
	// slotSettlingTime is the time that a new owner of a shard waits for other
	// hosts to announce the running jobs of the shard.
	slotSettlingTime = 300 * time.Millisecond
	// maxShardServers is the number of engines up to which one host decides
	// about a whole pool. In a divided pool, jobs wait in one part while engines
	// of another are free.
	maxShardServers = 128
	// orphanGracePeriod is the time for which a host must be dead before its
	// jobs are cancelled.
	orphanGracePeriod = 2 * time.Second
	// headerTimeout is the maximum time to receive the header of a request.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes is the maximum size of the header of a call.
	maxHeaderBytes = 64 << 10
)

// Process runs one entry host. The exported fields must be set before Run.
type Process struct {
	// Settings holds the settings of the host.
	Settings sardineknot.GatewaySettings
	// Store and Feed access the platform's key-value service.
	Store sardineknot.Store
	Feed  sardineknot.ChangeFeed
	// EntryDecoder decodes the entries of the store.
	EntryDecoder sardineknot.StoreEntryDecoder
	// RequestDecoder decodes the requests of callers.
	RequestDecoder sardineknot.CallDecoder
	// Forwarder forwards calls to backend servers.
	Forwarder sardineknot.Forwarder
	// Prober queries backend servers for signs of life.
	Prober sardineknot.ServerProber
	// DialServer connects to a backend server without another host. Nil means TCP.
	DialServer func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	// CloseIdleConnections closes the idle connections to backend servers.
	CloseIdleConnections func()
	// EngineOrders sends orders to engines.
	EngineOrders sardineknot.EngineOrderClient
	// NewLookupHandler returns the handler for callers that look up which entry
	// hosts to use, which directory selects.
	NewLookupHandler func(directory sardineknot.HostDirectory) http.Handler
	// NewReadyHandler returns the handler for the platform's readiness checks.
	// ready reports whether this host accepts calls.
	NewReadyHandler func(ready func() bool) http.Handler
	// Tasks run concurrently with the host. Their context is done once the host
	// has stopped.
	Tasks []func(context.Context) error
	// LoadSettings reads the settings. It is called periodically and on each
	// signal from ReloadSignals.
	LoadSettings func() (sardineknot.GatewaySettings, error)
	// ReloadSignals delivers the signals that request a reload of the settings.
	ReloadSignals <-chan os.Signal
	// RepeatedStopSignals delivers the signals that request a stop while the process is
	// stopping. They are logged and have no effect. Nil delivers none.
	RepeatedStopSignals <-chan os.Signal
	// Log receives the events of the host.
	Log zerolog.Logger
	// Metrics holds all metrics of the process.
	Metrics metrics.Registry

	// settingsLock guards lastRead and the fields of Settings that a reload
	// changes.
	settingsLock sync.Mutex
	// lastRead holds the settings that were read last. They differ from Settings
	// if a change requires a restart.
	lastRead sardineknot.GatewaySettings

	clock clock.System
	// startedAt is the time at which Run was called.
	startedAt time.Time
	registry  *membership.Registry
	source    *configuration.Source
	// backoffs records which backend servers want no requests from this host.
	backoffs *backoff.Set
	// circuits are those of plain servers.
	circuits *breaker.Set
	mirror   *mirror.Mirror
	// exchange queries other hosts for their configuration. committed is set once entries
	// were committed, and committedEra is the era of the last ones. Only the mirror uses both.
	exchange     *inforce.Exchange
	committed    bool
	committedEra sardineknot.StoreEra
	// entries holds what this host has read from the key-value service. feed
	// reads it, and serves it to other hosts.
	entries *changelog.Log
	feed    *feed.Feed
	// followers selects the hosts that read from the key-value service.
	followers *followers.Selector
	handler   *caller.Handler
	// stopping is the schedule of the planned stop.
	stopping stopping.Schedule
	// connections tracks the connections of callers.
	connections *idle.Connections
	slots       *twirp.Pool
	// versions keeps the software versions that began streams.
	versions *versions.Directory
	// orders issues orders to engines.
	orders *ledger.Ledger
	// guard bars requests that crash backend servers.
	guard *quarantine.Guard
	// keeper keeps the quarantines of guard in the key-value service.
	keeper *quarantinestore.Keeper
	// limiter keeps requests within the limits that backend servers name, and
	// calls forwards requests within these limits.
	limiter *serverlimits.Limiter
	calls   *limited.Forwarder
	// places assigns calls to plain servers while these are contended.
	places *places.Places
	// accountLimiter keeps client accounts within their limits. accountOwner grants
	// under the limits that this host owns, and accountClient finds the owners.
	accountLimiter *credit.Limiter
	accountOwner   *owner.Owner
	accountClient  *accountlimits.Client
	// dialer connects to backend servers, through other hosts while this one reaches
	// none. tunnels are these connections, and those of other hosts through this one.
	dialer  *reach.Dialer
	tunnels *tunnel.Tunnels
	peers   *h2c.Transport
	budgets *sharedbudget.Budgets
}

// Run serves until ctx is done, and returns once the host has stopped
// gracefully. It returns early, with the error, if a server or a task fails.
func (p *Process) Run(ctx context.Context) error {
	p.startedAt = p.clock.Now()
	p.setMemoryLimit()
	p.lastRead = p.Settings
	p.assemble()
	g, w := errgroup.WithContext(context.WithoutCancel(ctx))
	w, cancel := context.WithCancel(w)
	defer cancel()
	l := p.servers()
	for i, s := range l {
		n, err := p.listen(s.address)
		if err != nil {
			return err
		}
		n = s.guard.Serve(s.server, n)
		if i == 0 {
			n = p.connections.Listener(n)
		}
		g.Go(func() error { return serve(s.server, n) })
	}
	for _, f := range append(p.Tasks, p.feed.Run, p.mirror.Run, p.registry.Run, p.slots.Run, p.versions.Run, p.guard.Run, p.keeper.Run, p.refresh, p.watchSettings, p.logRepeatedStops, p.observeLoads, p.newRoleController().Run, p.places.Run, p.runAccountLimits, p.connections.Run, p.dialer.Run) {
		g.Go(func() error { return f(w) })
	}
	p.Log.Info().Stringer("event", sardineknot.LogStarted).Str("zone", string(p.Settings.Zone)).Send()
	select {
	case <-ctx.Done():
		p.stop(l)
	case <-w.Done():
	}
	l[0].server.Close()
	p.awaitCalls()
	cancel()
	for _, s := range l[1:] {
		s.server.Close()
	}
	err := g.Wait()
	p.Log.Info().Stringer("event", sardineknot.LogStopped).Err(err).Send()
	return err
}

// setMemoryLimit configures the garbage collector according to the memory limit
// in the settings.
func (p *Process) setMemoryLimit() {
	debug.SetGCPercent(gcPercent)
	if m := p.Settings.MemoryMegabytes; m > 0 {
		debug.SetMemoryLimit(int64(memoryFraction * float64(m<<20)))
	}
}

// assemble creates and connects the components of the process.
func (p *Process) assemble() {
	s := p.Settings
	h := sardineknot.EntryHost{
		ID:            s.ID,
		Incarnation:   sardineknot.Incarnation(p.clock.Now().UnixNano()),
		CallerAddress: s.CallerAddress,
		PeerAddress:   s.PeerAddress,
		Zone:          s.Zone,
		Processor:     s.Processor(),
		LinkMegabits:  s.LinkMegabits,
	}
	p.registry = membership.NewRegistry(h)
	p.peers = h2c.NewTransport(p.Metrics)
	p.addFeed()
	p.registry.Store, p.registry.Clock, p.registry.Reachability, p.registry.Log = p.Store, p.clock, p.mirror.Reachability, p.Log
	p.source = configuration.NewSource()
	p.source.Decoder, p.source.Clock, p.source.Reachability, p.source.Log = p.EntryDecoder, p.clock, p.mirror.Reachability, p.Log
	p.source.Refused = metrics.GetOrRegisterCounter("store.refused_servers", p.Metrics)
	p.mirror.OnChange, p.mirror.OnBatch, p.mirror.OnRestore = p.applyEntry, p.commitEntries, p.registry.BeginEra
	n := uint64(h.Incarnation)
	p.exchange = &inforce.Exchange{Source: p.source, Members: p.registry, Client: p.peers.Client(), Random: rand.New(rand.NewPCG(n, n+5)), Log: p.Log}
	p.backoffs, p.circuits = backoff.NewSet(rand.NewPCG(n, n+2)), breaker.NewSet(rand.NewPCG(n, n+1))
	p.addSlots()
	p.addOrders()
	p.addVersions()
	p.addDialer()
	p.addGuard()
	p.addLimiter()
	p.addAccountLimits()
	p.addPlaces()
	p.addCallHandler(h)
}

// addOrders creates the ledger of orders to engines.
func (p *Process) addOrders() {
	p.orders = ledger.NewLedger(p.Store, p.clock.SinceBootClock(), p.registry.Self(), p.clock.Sleep)
	p.orders.SeparateHosts = true
}

// addVersions creates the directory of the software versions that began streams.
func (p *Process) addVersions() {
	d := versions.NewDirectory(p.clock)
	d.Members, d.Source, d.Client, d.Refresh, d.Log = p.registry, p.source, p.peers.Client(), p.mirror.Refresh, p.Log
	k := d.Keeper
	k.Store, k.Ranker, k.Self, k.Log, k.Metrics = p.Store, rendezvous.NewRanker(p.registry), p.registry.Self().ID, p.Log, p.Metrics
	p.versions = d
}

// addGuard creates the guard against requests that crash backend servers.
func (p *Process) addGuard() {
	n := uint64(p.registry.Self().Incarnation)
	p.guard = quarantine.NewGuard()
	p.guard.Members, p.guard.Clock, p.guard.Client = p.registry, p.clock, p.peers.Client()
	p.guard.Random, p.guard.Log, p.guard.Metrics = rand.New(rand.NewPCG(n, n+3)), p.Log, p.Metrics
	p.keeper = &quarantinestore.Keeper{
		Store: p.Store, Quarantines: p.guard, Record: p.guard, Ranker: rendezvous.NewRanker(p.registry), Self: p.registry.Self().ID, Clock: p.clock, Log: p.Log,
		Found: p.guard.Found(),
	}
}

// addLimiter creates the limiter of requests to backend servers.
func (p *Process) addLimiter() {
	p.limiter = serverlimits.NewLimiter()
	p.limiter.Members, p.limiter.Ranker, p.limiter.Clock = p.registry, rendezvous.NewRanker(p.registry), p.clock
	p.limiter.Client, p.limiter.Log, p.limiter.Metrics = p.peers.Client(), p.Log, p.Metrics
	p.calls = &limited.Forwarder{Forwarder: p.Forwarder, Limiter: p.limiter, Backoffs: p.backoffs, Source: p.source, Clock: p.clock}
}

// addPlaces creates the allocator of places at plain servers.
func (p *Process) addPlaces() {
	p.places = places.NewPlaces()
	p.places.Members, p.places.Ranker, p.places.Source = p.registry, rendezvous.NewRanker(p.registry), p.source
	p.places.Clock, p.places.SinceBoot, p.places.Client = p.clock, p.clock.SinceBoot, p.peers.Client()
	p.places.Log, p.places.Metrics = p.Log, p.Metrics
}

// addSlots creates the slot pool, which grants engines to jobs.
func (p *Process) addSlots() {
	n := uint64(p.registry.Self().Incarnation)
	p.slots = &twirp.Pool{
		Members:           p.registry,
		Ranker:            rendezvous.NewRanker(p.registry),
		Source:            p.source,
		Clock:             p.clock,
		Client:            p.peers.Client(),
		CreateScheduler:   func(sardineknot.PoolName) sardineknot.Scheduler { return memory.NewScheduler() },
		SettlingTime:      slotSettlingTime,
		Random:            rand.New(rand.NewPCG(n, n)),
		HeartbeatInterval: slotHeartbeatInterval,
		OwnerUnreachable:  p.registry.Exclude,
		ServerLeaving:     p.source.MarkLeaving,
		ActAsOwner:        true,
		MaxShardServers:   maxShardServers,
	}
}

// addCallHandler creates the handler of calls and its dependencies.
func (p *Process) addCallHandler(self sardineknot.EntryHost) {
	b := &sharedbudget.Budgets{Clock: p.clock, Hosts: func() int { return len(p.registry.Hosts()) }}
	b.SetBounds(p.Settings.RetryRatio, p.Settings.RetrySlack)
	p.budgets = b
	p.connections = &idle.Connections{
		Clock: p.clock, Log: p.Log,
		IdleTimeout: func() time.Duration { return p.source.Current().CallerLimits.IdleTime },
	}
	m := &servermemory.Budget{}
	f := &completion.Forwarder{
		Forwarder: p.calls, Prober: p.Prober, MayQuery: p.mayQuery, Dialer: p.dialer, Source: p.source, Log: p.Log, Metrics: p.Metrics,
		Memory: &servermemory.Budget{Free: freeAheadBytes}, Refresh: p.mirror.Refresh,
	}
	p.handler = &caller.Handler{
		Source:  p.source,
		Decoder: p.RequestDecoder,
		Plain: &plain.Runner{
			Source: p.source, Forwarder: f, Circuits: p.circuits, Backoffs: p.backoffs, Guard: p.guard,
			Places: p.places, Budget: b, Memory: m, Clock: p.clock, Log: p.Log,
		},
		Stream: &events.Runner{
			Source: p.source, Forwarder: f, Slots: p.slots, Backoffs: p.backoffs, Guard: p.guard,
			Budget: b, Memory: m, Versions: p.versions, Stop: &p.stopping, Paces: &streampace.Paces{}, Self: self, Clock: p.clock, Log: p.Log,
		},
		Limiter:  p.accountLimiter,
		Memory:   p.bodyMemory(),
		ViewAge:  p.feed.ViewAge,
		Outdated: p.feed.Outdated,
		Stop:     &p.stopping,
		Clock:    p.clock,
		Log:      p.Log,
		Metrics:  p.Metrics,
	}
}

// mayQuery reports whether server accepts requests beside calls: it has requested no backoff
// and announced no limit.
func (p *Process) mayQuery(server sardineknot.BackendServer) bool {
	return p.backoffs.Left(p.clock.Now(), server) == 0 && !p.limiter.Limited(server)
}

// bodyMemory returns the budget of the bodies of calls, or nil if there is no memory limit.
func (p *Process) bodyMemory() *servermemory.Budget {
	if p.Settings.MemoryMegabytes <= 0 {
		return nil
	}
	return &servermemory.Budget{Bytes: p.Settings.MemoryMegabytes << 20 / bodyMemoryParts, Free: freeBodyBytes}
}

// refresh periodically commits the configuration, updates the membership and
// cancels orphaned jobs, until ctx is done. It always returns nil.
func (p *Process) refresh(ctx context.Context) error {
	t := time.NewTicker(refreshInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			p.source.Commit()
			p.registry.Refresh()
			for o := range p.slots.OwnedShards() {
				o.CancelOrphanedJobs(p.registry.Dead, orphanGracePeriod)
			}
		case <-ctx.Done():
			return nil
		}
	}
}
