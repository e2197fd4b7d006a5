// Package openai monitors the engines of the pool shards that this entry host
// owns. It passes load reports of the engines to the schedulers and cancels
// orphaned requests.
//
// A request on an engine is orphaned if the entry host that holds it is dead
// and no other host has taken it over, or if its job was reported as ended but
// the cancellation was lost. Other requests of live hosts are not cancelled. An
// orphaned request is cancelled only after it has been observed for a grace
// period, and the cancellation is repeated until the request is gone.
package openai

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/slots/local"
	"sardineknot.example/sardineknot/internal/slots/shard"
)

const (
	// maxCalls bounds the concurrent requests to engines.
	maxCalls = 8
	// reportLag is the assumed age of a load report on arrival. Engines do not
	// report when they measured their load, so the greatest possible age is
	// assumed.
	reportLag = 5 * time.Second
)

// Watcher monitors engines. Its methods must be called by one goroutine at a
// time; the requests to engines are sent concurrently. All exported fields
// must be set before the first use.
type Watcher struct {
	// Engine sends requests to engines.
	Engine sardineknot.EngineClient
	// OwnedShards returns the shards that this host owns.
	OwnedShards func() map[*local.Shard]shard.Shard
	// IsDead reports whether an incarnation of a host is dead.
	IsDead func(sardineknot.EntryHostID, sardineknot.Incarnation) bool
	// Clock returns the current time.
	Clock sardineknot.Clock
	// GracePeriod is the time for which a request must have been observed as
	// orphaned before it is cancelled.
	GracePeriod time.Duration
	// LoadInterval is the interval at which the loads of the engines are
	// queried. RequestInterval is the interval at which the requests that the
	// engines hold are queried. Both are positive.
	LoadInterval    time.Duration
	RequestInterval time.Duration
	// Log receives one event for each cancellation.
	Log zerolog.Logger

	mu sync.Mutex
	// orphanSince holds the time at which each orphaned request was first
	// observed.
	orphanSince map[orphan]time.Time
}

// orphan identifies an orphaned request on an engine.
type orphan struct {
	server    sardineknot.BackendServerName
	requestID string
}

// Run queries the engines at the set intervals until ctx is done. It always
// returns nil.
func (w *Watcher) Run(ctx context.Context) error {
	l := time.NewTicker(w.LoadInterval)
	defer l.Stop()
	h := time.NewTicker(w.RequestInterval)
	defer h.Stop()
	for {
		select {
		case <-l.C:
			w.ObserveLoad(ctx)
		case <-h.C:
			w.CancelOrphans(ctx)
		case <-ctx.Done():
			return nil
		}
	}
}

// ObserveLoad queries the load of every engine once and passes it to the
// scheduler of its shard. Engines that do not respond are skipped.
func (w *Watcher) ObserveLoad(ctx context.Context) {
	w.forEachEngine(func(owned *local.Shard, server sardineknot.BackendServer) {
		r, err := w.Engine.Load(ctx, server)
		if err == nil {
			r.MeasuredAt = w.Clock.Now().Add(-reportLag)
			owned.Observe(r)
		}
	})
}

// CancelOrphans queries the requests of every engine once. It cancels the
// requests that have been orphaned for the grace period, and ends the jobs of
// hosts that have been dead for the grace period.
func (w *Watcher) CancelOrphans(ctx context.Context) {
	for s := range w.OwnedShards() {
		s.CancelOrphanedJobs(w.IsDead, w.GracePeriod)
	}
	n := w.Clock.Now()
	f := &orphanScan{orphans: make(map[orphan]bool)}
	w.forEachEngine(func(owned *local.Shard, server sardineknot.BackendServer) {
		l, err := w.Engine.HeldRequests(ctx, server)
		if err != nil {
			f.markUnreachable(server.Name)
			return
		}
		for _, h := range l {
			o := orphan{server.Name, h.EngineRequestID}
			if !w.isOrphan(owned, h) {
				continue
			}
			f.add(o)
			if w.graceExpired(n, o) {
				w.cancel(ctx, server, h)
			}
		}
	})
	w.removeGone(f)
}

// isOrphan reports whether held is orphaned. owned is the shard of the engine
// that holds the request.
func (w *Watcher) isOrphan(owned *local.Shard, held sardineknot.HeldRequest) bool {
	if held.Owner == "" {
		return false
	}
	if w.IsDead(held.Owner, held.OwnerIncarnation) {
		return true
	}
	k, ok := jobKey(held)
	if !ok {
		return false
	}
	r, e := owned.JobStatus(k)
	return !r && e
}

// graceExpired reports whether request was first observed as orphaned at least
// the grace period ago. It records the first observation.
func (w *Watcher) graceExpired(now time.Time, request orphan) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.orphanSince == nil {
		w.orphanSince = make(map[orphan]time.Time)
	}
	t, ok := w.orphanSince[request]
	if !ok {
		w.orphanSince[request] = now
		return w.GracePeriod <= 0
	}
	return now.Sub(t) >= w.GracePeriod
}

func (w *Watcher) cancel(ctx context.Context, server sardineknot.BackendServer, held sardineknot.HeldRequest) {
	err := w.Engine.Cancel(ctx, server, held.EngineRequestID)
	w.Log.Info().Stringer("event", sardineknot.LogOrphanCancelled).Str("server", string(server.Name)).Str("request", held.EngineRequestID).Str("owner", string(held.Owner)).Err(err).Send()
}

// removeGone deletes the records of orphans that scan did not find. It keeps
// those on engines that did not respond.
func (w *Watcher) removeGone(scan *orphanScan) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for o := range w.orphanSince {
		if !scan.orphans[o] && !scan.unreachable[o.server] {
			delete(w.orphanSince, o)
		}
	}
}

// forEachEngine passes every engine of the shards that this host owns to call,
// with up to maxCalls calls at a time. It returns when all calls have returned.
func (w *Watcher) forEachEngine(call func(*local.Shard, sardineknot.BackendServer)) {
	var g errgroup.Group
	g.SetLimit(maxCalls)
	for s, d := range w.OwnedShards() {
		for _, b := range d.Servers {
			g.Go(func() error {
				call(s, b)
				return nil
			})
		}
	}
	_ = g.Wait()
}
