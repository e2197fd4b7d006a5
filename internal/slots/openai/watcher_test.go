package openai_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/host/clock"
	"sardineknot.example/sardineknot/internal/policy/roundrobin"
	"sardineknot.example/sardineknot/internal/slots/local"
	"sardineknot.example/sardineknot/internal/slots/openai"
	"sardineknot.example/sardineknot/internal/slots/shard"
)

const grace = 10 * time.Second

// engine holds requests until they are cancelled.
type engine struct {
	sardineknot.Engine
	held []sardineknot.HeldRequest
	// deaf is the number of cancellations that fail.
	deaf int
}

func (e *engine) Held(context.Context, sardineknot.BackendServer) ([]sardineknot.HeldRequest, error) {
	return e.held, nil
}

func (e *engine) Cancel(_ context.Context, _ sardineknot.BackendServer, k string) error {
	if e.deaf > 0 {
		e.deaf--
		return &sardineknot.UnavailableError{Peer: "d", Cause: context.DeadlineExceeded}
	}
	var l []sardineknot.HeldRequest
	for _, h := range e.held {
		if h.EngineKey != k {
			l = append(l, h)
		}
	}
	e.held = l
	return nil
}

// fixture is a watcher of one engine that holds one request of each host.
type fixture struct {
	*openai.Watcher
	engine *engine
	shard  *local.Shard
}

func run(t *testing.T, name string, f func(*testing.T, fixture)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			e := &engine{held: []sardineknot.HeldRequest{
				{EngineKey: "a/dead/0", Owner: "dead", OwnerIncarnation: 1},
				{EngineKey: "a/live/0", Owner: "live", OwnerIncarnation: 1},
				{EngineKey: "foreign"},
			}}
			s := local.NewShard(clock.System{}, &roundrobin.Scheduler{}, 0)
			m := map[*local.Shard]shard.Shard{s: {Servers: []sardineknot.BackendServer{{Name: "d"}}}}
			f(t, fixture{engine: e, shard: s, Watcher: &openai.Watcher{
				Engine: e, Owned: func() map[*local.Shard]shard.Shard { return m }, Clock: clock.System{}, Grace: grace,
				Dead: func(h sardineknot.EntryHostID, _ sardineknot.Incarnation) bool { return h == "dead" },
			}})
		})
	})
}

// checkHeld checks what the engine holds after two looks, a grace apart.
func checkHeld(t *testing.T, f fixture, want ...string) {
	t.Helper()
	f.Reap(t.Context())
	time.Sleep(grace)
	f.Reap(t.Context())
	checkHolds(t, f, want...)
}

func checkHolds(t *testing.T, f fixture, want ...string) {
	t.Helper()
	var l []string
	for _, h := range f.engine.held {
		l = append(l, h.EngineKey)
	}
	is.New(t).Equal(l, want)
}

func TestReap(t *testing.T) {
	run(t, "cancels what a dead host holds, and nothing else", func(t *testing.T, f fixture) {
		checkHeld(t, f, "a/live/0", "foreign")
	})
	run(t, "cancels nothing before the grace has passed", func(t *testing.T, f fixture) {
		f.Reap(t.Context())
		time.Sleep(grace - 1)
		f.Reap(t.Context())
		checkHolds(t, f, "a/dead/0", "a/live/0", "foreign")
	})
	run(t, "leaves what another host has taken over", func(t *testing.T, f fixture) {
		f.Reap(t.Context())
		f.engine.held[0].Owner = "live"
		time.Sleep(grace)
		f.Reap(t.Context())
		checkHolds(t, f, "a/dead/0", "a/live/0", "foreign")
	})
	run(t, "cancels what a live host has reported as ended", func(t *testing.T, f fixture) {
		k := sardineknot.RequestKey{Account: "a", ID: "live/0"}
		f.shard.Report("live", sardineknot.JobEvent{Key: k, Kind: sardineknot.JobCancelled})
		checkHeld(t, f, "foreign")
	})
	run(t, "cancels again until the engine does", func(t *testing.T, f fixture) {
		f.engine.deaf = 2
		checkHeld(t, f, "a/dead/0", "a/live/0", "foreign")
		f.Reap(t.Context())
		f.Reap(t.Context())
		checkHolds(t, f, "a/live/0", "foreign")
	})
}

// observer keeps the last load report.
type observer struct {
	roundrobin.Scheduler
	last sardineknot.LoadReport
}

func (o *observer) Observe(_ time.Time, r sardineknot.LoadReport) { o.last = r }

func (e *engine) Load(context.Context, sardineknot.BackendServer) (sardineknot.LoadReport, error) {
	return sardineknot.LoadReport{Server: "d"}, nil
}

func TestObserveLoad(t *testing.T) {
	run(t, "counts with a report that is seconds old", func(t *testing.T, f fixture) {
		o := &observer{}
		s := local.NewShard(clock.System{}, o, 0)
		f.Owned = func() map[*local.Shard]shard.Shard {
			return map[*local.Shard]shard.Shard{s: {Servers: []sardineknot.BackendServer{{Name: "d"}}}}
		}
		f.ObserveLoad(t.Context())
		i := is.New(t)
		i.Equal(o.last.Server, sardineknot.BackendServerName("d"))
		i.True(!o.last.At.After(time.Now().Add(-5 * time.Second)))
	})
}
