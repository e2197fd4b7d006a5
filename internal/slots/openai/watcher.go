// Package openai watches the engines of the pool shards that this entry host
// owns. It passes their load reports to the schedulers and cancels what they
// hold for nobody.
//
// An engine holds something for nobody if the entry host that asked for it is
// dead, and no other has adopted it, or if its job was reported as ended and
// the cancellation got lost. What a live host holds is left alone. Each case is
// cancelled only after it was seen for a grace period, and until it is gone.
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
	// maxCalls bounds the calls to engines at once.
	maxCalls = 8
	// reportLag is the greatest age of a load report. Engines do not tell when
	// they measured.
	reportLag = 5 * time.Second
)

// Watcher watches engines. It is used by one goroutine, but for its calls to
// engines. All exported fields are set before use.
type Watcher struct {
	// Engine calls engines.
	Engine sardineknot.Engine
	// Owned returns the shards that this host owns.
	Owned func() map[*local.Shard]shard.Shard
	// Dead tells which incarnations of hosts are dead.
	Dead func(sardineknot.EntryHostID, sardineknot.Incarnation) bool
	// Clock gives the time.
	Clock sardineknot.Clock
	// Grace is the time for which a request has to be held for nobody before
	// it is cancelled.
	Grace time.Duration
	// LoadInterval and HeldInterval are the times between two looks at the
	// load of an engine and at what it holds. They are positive.
	LoadInterval time.Duration
	HeldInterval time.Duration
	// Log takes one event for each cancellation.
	Log zerolog.Logger

	mu sync.Mutex
	// orphans holds the time since which a request is held for nobody.
	orphans map[orphan]time.Time
}

type orphan struct {
	server sardineknot.BackendServerName
	key    string
}

// Run looks at the engines until ctx is done.
func (w *Watcher) Run(ctx context.Context) error {
	l := time.NewTicker(w.LoadInterval)
	defer l.Stop()
	h := time.NewTicker(w.HeldInterval)
	defer h.Stop()
	for {
		select {
		case <-l.C:
			w.ObserveLoad(ctx)
		case <-h.C:
			w.Reap(ctx)
		case <-ctx.Done():
			return nil
		}
	}
}

// ObserveLoad asks every engine for its load once.
func (w *Watcher) ObserveLoad(ctx context.Context) {
	w.each(func(s *local.Shard, b sardineknot.BackendServer) {
		r, err := w.Engine.Load(ctx, b)
		if err == nil {
			r.At = w.Clock.Now().Add(-reportLag)
			s.Observe(r)
		}
	})
}

// Reap looks once at what every engine holds. It cancels what was held for
// nobody for the grace period, and ends the jobs of hosts that are dead for as
// long.
func (w *Watcher) Reap(ctx context.Context) {
	for s := range w.Owned() {
		s.DropDead(w.Dead, w.Grace)
	}
	n := w.Clock.Now()
	f := &finds{seen: make(map[orphan]bool)}
	w.each(func(s *local.Shard, b sardineknot.BackendServer) {
		l, err := w.Engine.Held(ctx, b)
		if err != nil {
			f.skip(b.Name)
			return
		}
		for _, h := range l {
			o := orphan{b.Name, h.EngineKey}
			if !w.orphaned(s, h) {
				continue
			}
			f.add(o)
			if w.due(n, o) {
				w.cancel(ctx, b, h)
			}
		}
	})
	w.forget(f)
}

// orphaned reports whether h is held for nobody.
func (w *Watcher) orphaned(s *local.Shard, h sardineknot.HeldRequest) bool {
	if h.Owner == "" {
		return false
	}
	if w.Dead(h.Owner, h.OwnerIncarnation) {
		return true
	}
	k, ok := jobKey(h)
	if !ok {
		return false
	}
	r, e := s.Known(k)
	return !r && e
}

// due reports whether o was seen for the grace period.
func (w *Watcher) due(now time.Time, o orphan) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.orphans == nil {
		w.orphans = make(map[orphan]time.Time)
	}
	t, ok := w.orphans[o]
	if !ok {
		w.orphans[o] = now
		return w.Grace <= 0
	}
	return now.Sub(t) >= w.Grace
}

func (w *Watcher) cancel(ctx context.Context, b sardineknot.BackendServer, h sardineknot.HeldRequest) {
	err := w.Engine.Cancel(ctx, b, h.EngineKey)
	w.Log.Info().Stringer("event", sardineknot.LogOrphanCancelled).Str("server", string(b.Name)).Str("request", h.EngineKey).Str("owner", string(h.Owner)).Err(err).Send()
}

// forget removes the orphans that are gone.
func (w *Watcher) forget(f *finds) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for o := range w.orphans {
		if !f.seen[o] && !f.skipped[o.server] {
			delete(w.orphans, o)
		}
	}
}

// each calls f with every engine of the shards that this host owns, some at
// once.
func (w *Watcher) each(f func(*local.Shard, sardineknot.BackendServer)) {
	var g errgroup.Group
	g.SetLimit(maxCalls)
	for s, d := range w.Owned() {
		for _, b := range d.Servers {
			g.Go(func() error {
				f(s, b)
				return nil
			})
		}
	}
	_ = g.Wait()
}
