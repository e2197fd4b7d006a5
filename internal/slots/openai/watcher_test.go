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

// engine is a fake engine that holds the requests in held until they are
// cancelled.
type engine struct {
	sardineknot.EngineClient
	held []sardineknot.HeldRequest
	// failures is the number of further calls of Cancel that fail.
	failures int
}

func (e *engine) HeldRequests(context.Context, sardineknot.BackendServer) ([]sardineknot.HeldRequest, error) {
	return e.held, nil
}

func (e *engine) Cancel(_ context.Context, _ sardineknot.BackendServer, key string) error {
	if e.failures > 0 {
		e.failures--
		return &sardineknot.UnavailableError{Peer: "d", Cause: context.DeadlineExceeded}
	}
	var l []sardineknot.HeldRequest
	for _, h := range e.held {
		if h.EngineRequestID != key {
			l = append(l, h)
		}
	}
	e.held = l
	return nil
}

// watcherFixture is a watcher of one engine that holds a request of a dead
// host, one of a live host and one that no entry host sent.
type watcherFixture struct {
	*openai.Watcher
	engine *engine
	shard  *local.Shard
}

func run(t *testing.T, name string, test func(*testing.T, watcherFixture)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			e := &engine{held: []sardineknot.HeldRequest{
				{EngineRequestID: "a/dead/0", Owner: "dead", OwnerIncarnation: 1},
				{EngineRequestID: "a/live/0", Owner: "live", OwnerIncarnation: 1},
				{EngineRequestID: "foreign"},
			}}
			s := local.NewShard(clock.System{}, &roundrobin.Scheduler{}, 0)
			m := map[*local.Shard]shard.Shard{s: {Servers: []sardineknot.BackendServer{{Name: "d"}}}}
			test(t, watcherFixture{engine: e, shard: s, Watcher: &openai.Watcher{
				Engine: e, OwnedShards: func() map[*local.Shard]shard.Shard { return m }, Clock: clock.System{}, GracePeriod: grace,
				IsDead: func(host sardineknot.EntryHostID, _ sardineknot.Incarnation) bool { return host == "dead" },
			}})
		})
	})
}

// checkHeld calls CancelOrphans twice, one grace period apart. It then checks
// that the fake engine holds exactly the requests with the identifiers want, in
// this order.
func checkHeld(t *testing.T, fixture watcherFixture, want ...string) {
	t.Helper()
	fixture.CancelOrphans(t.Context())
	time.Sleep(grace)
	fixture.CancelOrphans(t.Context())
	checkHolds(t, fixture, want...)
}

// checkHolds checks that the fake engine holds exactly the requests with the
// identifiers want, in this order.
func checkHolds(t *testing.T, fixture watcherFixture, want ...string) {
	t.Helper()
	var l []string
	for _, h := range fixture.engine.held {
		l = append(l, h.EngineRequestID)
	}
	is.New(t).Equal(l, want)
}

func TestCancelOrphans(t *testing.T) {
	run(t, "cancels only the requests of a dead host", func(t *testing.T, fixture watcherFixture) {
		checkHeld(t, fixture, "a/live/0", "foreign")
	})
	run(t, "cancels nothing before the grace period has passed", func(t *testing.T, fixture watcherFixture) {
		fixture.CancelOrphans(t.Context())
		time.Sleep(grace - 1)
		fixture.CancelOrphans(t.Context())
		checkHolds(t, fixture, "a/dead/0", "a/live/0", "foreign")
	})
	run(t, "keeps a request that another host has taken over", func(t *testing.T, fixture watcherFixture) {
		fixture.CancelOrphans(t.Context())
		fixture.engine.held[0].Owner = "live"
		time.Sleep(grace)
		fixture.CancelOrphans(t.Context())
		checkHolds(t, fixture, "a/dead/0", "a/live/0", "foreign")
	})
	run(t, "cancels a request whose job a live host reported as ended", func(t *testing.T, fixture watcherFixture) {
		k := sardineknot.RequestKey{Account: "a", ID: "live/0"}
		fixture.shard.Report("live", sardineknot.JobEvent{Key: k, Kind: sardineknot.JobCancelled})
		checkHeld(t, fixture, "foreign")
	})
	run(t, "repeats a failed cancellation", func(t *testing.T, fixture watcherFixture) {
		fixture.engine.failures = 2
		checkHeld(t, fixture, "a/dead/0", "a/live/0", "foreign")
		fixture.CancelOrphans(t.Context())
		fixture.CancelOrphans(t.Context())
		checkHolds(t, fixture, "a/live/0", "foreign")
	})
}

// observer is a fake scheduler that keeps the last load report passed to it.
type observer struct {
	roundrobin.Scheduler
	last sardineknot.LoadReport
}

func (o *observer) ObserveLoad(_ time.Time, report sardineknot.LoadReport) { o.last = report }

func (e *engine) Load(context.Context, sardineknot.BackendServer) (sardineknot.LoadReport, error) {
	return sardineknot.LoadReport{Server: "d"}, nil
}

func TestObserveLoad(t *testing.T) {
	run(t, "assumes that a report is seconds old", func(t *testing.T, fixture watcherFixture) {
		o := &observer{}
		s := local.NewShard(clock.System{}, o, 0)
		fixture.OwnedShards = func() map[*local.Shard]shard.Shard {
			return map[*local.Shard]shard.Shard{s: {Servers: []sardineknot.BackendServer{{Name: "d"}}}}
		}
		fixture.ObserveLoad(t.Context())
		i := is.New(t)
		i.Equal(o.last.Server, sardineknot.BackendServerName("d"))
		i.True(!o.last.MeasuredAt.After(time.Now().Add(-5 * time.Second)))
	})
}
