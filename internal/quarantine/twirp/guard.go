package twirp

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/quarantine/evidence"
	"sardineknot.example/sardineknot/internal/quarantine/fingerprint"
)

const (
	// interval is the time between two judgements, and between two messages to
	// the other hosts.
	interval = 100 * time.Millisecond
	// fetchInterval is the time between two fetches of evidence that this host may
	// have missed.
	fetchInterval = time.Second
	// callTimeout bounds a call to another host.
	callTimeout = 250 * time.Millisecond
	// maxSends bounds the concurrent calls to other hosts.
	maxSends = 32
	// keptTime is the time after which what must outlive the hosts is searched again, although
	// there was no report, since evidence ages.
	keptTime = 10 * time.Second
	// maxPending bounds the reports that wait to be sent.
	maxPending = 1024
)

// Guard is a sardineknot.CrashGuard. All exported fields must be set before use.
type Guard struct {
	// Members lists the entry hosts.
	Members sardineknot.Membership
	// Clock returns the current time.
	Clock sardineknot.Clock
	// Client sends requests to other entry hosts.
	Client *http.Client
	// Random selects the host to fetch from. It must not be shared.
	Random *rand.Rand
	// Log receives an event for each quarantine.
	Log zerolog.Logger
	// Metrics receives the number of quarantines and of barred requests.
	Metrics metrics.Registry

	mu       sync.Mutex
	evidence *evidence.Evidence
	// pending is what the other hosts have not been sent yet.
	pending sardineknot.CrashEvidence
	// urgent holds an element if pending has a crash. This host may not live until the
	// next interval.
	urgent chan struct{}
	// found holds an element if this host has found a quarantine, or learned of a crash or of
	// what refutes one.
	found chan struct{}
	// kept is what had to outlive the hosts at time keptAt. keptChanged is set if the evidence
	// has changed since.
	kept        sardineknot.CrashEvidence
	keptAt      time.Time
	keptChanged bool
}

var (
	_ sardineknot.CrashGuard     = (*Guard)(nil)
	_ sardineknot.QuarantineList = (*Guard)(nil)
	_ sardineknot.CrashRecord    = (*Guard)(nil)
)

// NewGuard returns a guard that bars nothing.
func NewGuard() *Guard {
	return &Guard{evidence: evidence.New(), urgent: make(chan struct{}, 1), found: make(chan struct{}, 1)}
}

// Found returns a channel that receives an element when this host has found a
// quarantine, or has learned of a crash under a request that several servers have ended
// under.
func (g *Guard) Found() <-chan struct{} { return g.found }

// Check implements sardineknot.CrashGuard.
func (g *Guard) Check(call *sardineknot.Call) error {
	if !g.bars() {
		return nil
	}
	t := fingerprint.Of(call).All()
	g.mu.Lock()
	d, h := g.evidence.Left(g.Clock.Now(), t), g.evidence.Held(g.Clock.Now(), t)
	g.mu.Unlock()
	switch {
	case d > 0:
		metrics.GetOrRegisterCounter("quarantine_refusals", g.Metrics).Inc(1)
		return errors.WithStack(&sardineknot.NotRunError{Reason: "servers ended under the same request, or under others with a part of its prompt", RetryAfter: d})
	case h > 0:
		metrics.GetOrRegisterCounter("quarantine_holds", g.Metrics).Inc(1)
		return errors.WithStack(&sardineknot.NotRunError{Reason: "several servers have just ended while they ran the same request", RetryAfter: h})
	default:
		return nil
	}
}

// bars reports whether any request is barred.
func (g *Guard) bars() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.evidence.Bars(g.Clock.Now())
}

// ReportCrash implements sardineknot.CrashGuard.
func (g *Guard) ReportCrash(process sardineknot.ServerProcess, call *sardineknot.Call, begun time.Time) {
	c := sardineknot.ServerCrash{Process: process, Traits: fingerprint.Of(call), Begun: begun, At: g.Clock.Now()}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.evidence.AddCrash(c) || len(g.pending.Crashes) >= maxPending {
		return
	}
	g.pending.Crashes = append(g.pending.Crashes, c)
	n, a := g.evidence.Known(c.Traits)
	g.pending.Sound, g.pending.Answered = append(g.pending.Sound, n...), append(g.pending.Answered, a...)
	signal(g.urgent)
	g.changedLocked()
}

// changedLocked records that what must outlive the hosts may have changed.
func (g *Guard) changedLocked() {
	g.keptChanged = true
	signal(g.found)
}

// signal sends an element to channel, unless it holds one already.
func signal(channel chan<- struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// ReportSound implements sardineknot.CrashGuard.
func (g *Guard) ReportSound(process sardineknot.ServerProcess, call *sardineknot.Call, begun time.Time) {
	t := fingerprint.Of(call)
	g.mu.Lock()
	defer g.mu.Unlock()
	p, o := g.evidence.Suspected(t, begun)
	if len(p)+len(o) > 0 {
		g.changedLocked()
	}
	g.pending.Sound, g.pending.Answered = appendSound(g.pending.Sound, p, begun), appendSound(g.pending.Answered, o, begun)
	for _, r := range t.Parts {
		g.evidence.AddSound(r, begun)
	}
	for _, r := range t.Whole() {
		g.evidence.AddAnswered(r, begun)
	}
	g.addRunningLocked(sardineknot.RunningServer{Process: process, At: begun})
}

// ReportReplaced implements sardineknot.CrashGuard.
func (g *Guard) ReportReplaced(process sardineknot.ServerProcess, at time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.addRunningLocked(sardineknot.RunningServer{Process: process, At: at})
}

// addRunningLocked records that server has answered, and what that refutes for other hosts.
func (g *Guard) addRunningLocked(server sardineknot.RunningServer) {
	if !g.evidence.AddRunning(server) {
		return
	}
	g.changedLocked()
	if len(g.pending.Running) < maxPending {
		g.pending.Running = append(g.pending.Running, server)
	}
}

// appendSound appends traits to list, which are sound since the time begun, as far as
// maxPending allows.
func appendSound(list []sardineknot.SoundTrait, traits sardineknot.TraitList, begun time.Time) []sardineknot.SoundTrait {
	for _, t := range traits {
		if len(list) < maxPending {
			list = append(list, sardineknot.SoundTrait{Trait: t, At: begun})
		}
	}
	return list
}

// Run judges and exchanges evidence with other hosts until ctx is done. It always
// returns nil.
func (g *Guard) Run(ctx context.Context) error {
	var l errgroup.Group
	l.Go(func() error { return repeat(ctx, interval, nil, g.judge) })
	l.Go(func() error { return repeat(ctx, interval, g.urgent, func() { g.send(ctx) }) })
	l.Go(func() error { return repeat(ctx, fetchInterval, nil, func() { g.fetch(ctx) }) })
	return l.Wait()
}

// repeat calls f at the given interval, and whenever it receives from early, until
// ctx is done. It always returns nil.
func repeat(ctx context.Context, interval time.Duration, early <-chan struct{}, f func()) error {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		f()
		select {
		case <-t.C:
		case <-early:
		case <-ctx.Done():
			return nil
		}
	}
}

// judge puts the traits into quarantine that the evidence requires.
func (g *Guard) judge() {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := g.Clock.Now()
	for _, q := range g.evidence.Judge(n) {
		g.pending.Quarantines = append(g.pending.Quarantines, q)
		g.record(n, q, true)
		signal(g.found)
	}
}

// record logs and counts a new quarantine. found is true if this host has found
// it, and false if another host has reported it.
func (g *Guard) record(now time.Time, quarantine sardineknot.Quarantine, found bool) {
	metrics.GetOrRegisterCounter("quarantines", g.Metrics).Inc(1)
	g.Log.Warn().Stringer("event", sardineknot.LogTraitsQuarantined).Stringer("traits", quarantine.Traits).
		Dur("left_ms", quarantine.Until.Sub(now)).Int("strikes", quarantine.Strikes).Bool("found", found).Send()
}

// Quarantines implements sardineknot.QuarantineList.
func (g *Guard) Quarantines() []sardineknot.Quarantine {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.evidence.Quarantines()
}

// AddQuarantine implements sardineknot.QuarantineList.
func (g *Guard) AddQuarantine(quarantine sardineknot.Quarantine) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.addQuarantineLocked(g.Clock.Now(), quarantine)
}

func (g *Guard) addQuarantineLocked(now time.Time, quarantine sardineknot.Quarantine) {
	if g.evidence.AddQuarantine(quarantine) {
		g.record(now, quarantine, false)
	}
}
