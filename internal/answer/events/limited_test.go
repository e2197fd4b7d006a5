package events_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/answer/events"
)

// limitedEngines is a fake sardineknot.Forwarder that sends nothing to the engines
// in without, since they have no permit left. Each denies once.
type limitedEngines struct {
	*engines
	runner  *events.Runner
	without map[sardineknot.BackendServerName]bool
}

// deny fails if engine has no permit left.
func (l *limitedEngines) deny(engine sardineknot.BackendServer) error {
	if !l.without[engine.Name] {
		return nil
	}
	delete(l.without, engine.Name)
	l.runner.Backoffs.Record(time.Now(), engine, 50*time.Millisecond)
	return errors.WithStack(&sardineknot.BackedOffError{Server: engine.Name, Left: 50 * time.Millisecond})
}

func (l *limitedEngines) Prefill(ctx context.Context, s sardineknot.BackendServer, c *sardineknot.Call, t time.Time) (sardineknot.KVCacheReference, error) {
	err := l.deny(s)
	if err != nil {
		return sardineknot.KVCacheReference{}, err
	}
	return l.engines.Prefill(ctx, s, c, t)
}

func (l *limitedEngines) Forward(ctx context.Context, s sardineknot.BackendServer, c *sardineknot.Call, o sardineknot.ForwardOptions) (*sardineknot.Response, error) {
	err := l.deny(s)
	if err != nil {
		return nil, err
	}
	return l.engines.Forward(ctx, s, c, o)
}

// TestLimitedEngine guards against streams that fail, or are charged with a retry,
// because a granted engine has no permit left.
func TestLimitedEngine(t *testing.T) {
	run := func(t *testing.T, without sardineknot.BackendServerName) {
		t.Helper()
		is := is.New(t)
		var s *slots
		e, g, err := runGuarded(t, func(r *events.Runner, l *slots, e *engines, _ *guard) {
			s = l
			r.Budget = noBudget{}
			r.Forwarder = &limitedEngines{engines: e, runner: r, without: map[sardineknot.BackendServerName]bool{without: true}}
			l.onGrant = map[sardineknot.BackendServerName]func(){"e": func() { time.Sleep(50 * time.Millisecond) }}
		}, answer{status: 200, body: one})
		is.NoErr(err)
		is.Equal(len(g.crashes), 0)
		is.Equal(s.cancelledJobs(), 1) // the grant is given back
		is.Equal(e.servers, []sardineknot.BackendServerName{"e"})
		is.Equal(e.prefills, 1)
	}
	t.Run("the decode engine, whose KV cache goes to the next one", func(t *testing.T) { run(t, "d") })
	t.Run("the prefill engine", func(t *testing.T) { run(t, "p") })
}
