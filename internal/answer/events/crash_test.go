package events_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/answer/events"
)

// errBrokenOff is the error with which an engine breaks a request off.
var errBrokenOff = &sardineknot.UnavailableError{Peer: "d", Cause: errReset}

// runGuarded runs a call with parts of a prompt in virtual time, with engines
// that answer with l in turn. prepare may change the runner and its guard first.
func runGuarded(t *testing.T, prepare func(*events.Runner, *slots, *engines, *guard), l ...answer) (*engines, *guard, error) {
	t.Helper()
	e, g := &engines{answers: l}, &guard{}
	var err error
	synctest.Test(t, func(t *testing.T) {
		s := &slots{decode: []sardineknot.BackendServerName{"d", "e", "f"}}
		r := newRunner(e, &grantsOnce{s})
		r.Guard = g
		prepare(r, s, e, g)
		c := newCall(true)
		c.Generation.Parts = sardineknot.TraitList{1, 2}
		err = r.Run(t.Context(), c, &writer{})
	})
	return e, g, err
}

func asIs(*events.Runner, *slots, *engines, *guard) {}

// prefillHook calls hook at each prefill of its engines.
type prefillHook struct {
	*engines
	hook func()
}

func (p *prefillHook) Prefill(ctx context.Context, s sardineknot.BackendServer, c *sardineknot.Call, t time.Time) (sardineknot.KVCacheReference, error) {
	p.hook()
	return p.engines.Prefill(ctx, s, c, t)
}

// assertNotRun checks that err reports a call that did not run.
func assertNotRun(t *testing.T, err error) {
	t.Helper()
	var n *sardineknot.NotRunError
	is.New(t).True(errors.As(err, &n))
}

// TestBarredPrompt guards against a request that reaches an engine although its
// prompt has a part that crashes engines.
func TestBarredPrompt(t *testing.T) {
	t.Run("known before", func(t *testing.T) {
		is := is.New(t)
		e, _, err := runGuarded(t, func(_ *events.Runner, _ *slots, _ *engines, g *guard) { g.bar() })
		assertNotRun(t, err)
		is.Equal(e.prefills+len(e.sends), 0)
	})
	t.Run("found while the job waits", func(t *testing.T) {
		is := is.New(t)
		var s *slots
		e, _, err := runGuarded(t, func(_ *events.Runner, l *slots, _ *engines, g *guard) {
			s = l
			l.onGrant = map[sardineknot.BackendServerName]func(){"d": g.bar}
		})
		assertNotRun(t, err)
		is.Equal(e.prefills+len(e.sends), 0)
		is.Equal(s.cancelledJobs(), 1) // the engines are given back
	})
	t.Run("found during the prefill", func(t *testing.T) {
		is := is.New(t)
		var s *slots
		e, _, err := runGuarded(t, func(r *events.Runner, l *slots, e *engines, g *guard) {
			s = l
			r.Forwarder = &prefillHook{engines: e, hook: g.bar}
		})
		assertNotRun(t, err)
		is.Equal(len(e.sends), 0)
		is.Equal(s.cancelledJobs(), 1)
	})
	t.Run("found when the first engine has ended", func(t *testing.T) {
		is := is.New(t)
		e, _, err := runGuarded(t, func(_ *events.Runner, s *slots, _ *engines, g *guard) {
			s.onGrant = map[sardineknot.BackendServerName]func(){"e": g.bar}
		}, answer{err: errBrokenOff})
		is.True(err != nil)
		var n *sardineknot.NotRunError
		is.True(!errors.As(err, &n)) // it has run
		is.Equal(len(e.sends), 1)
	})
	t.Run("found while the engine is silent", func(t *testing.T) {
		is := is.New(t)
		e, _, err := runGuarded(t, func(_ *events.Runner, s *slots, _ *engines, g *guard) {
			s.onGrant = map[sardineknot.BackendServerName]func(){"e": g.bar}
		}, answer{status: 200, body: one, continuation: two, pause: shortSilence})
		is.NoErr(err)
		is.Equal(len(e.sends), 1)
	})
}

// TestCrashReports guards against crashes that are not reported, and against
// reports of requests that did not end their engine.
func TestCrashReports(t *testing.T) {
	reports := func(t *testing.T, crashes []sardineknot.BackendServerName, sound int, l ...answer) {
		t.Helper()
		is := is.New(t)
		_, g, _ := runGuarded(t, asIs, l...)
		is.Equal(g.crashes, crashes)
		is.Equal(g.sound, sound)
	}
	d := []sardineknot.BackendServerName{"d"}
	t.Run("before the header", func(t *testing.T) {
		reports(t, d, 1, answer{err: errBrokenOff}, answer{status: 200, body: one})
	})
	t.Run("after the first event", func(t *testing.T) {
		reports(t, d, 1, answer{status: 200, body: one, err: errBrokenOff}, answer{status: 200, body: two})
	})
	t.Run("inside an event of a stream without a length", func(t *testing.T) {
		reports(t, d, 1, answer{status: 200, body: one + "id: 2\nda"}, answer{status: 200, body: two})
	})
	t.Run("a stream that has gone on for some time", func(t *testing.T) {
		reports(t, nil, 0, answer{status: 200, body: one, continuation: two, pause: 550 * time.Millisecond, err: errBrokenOff}, answer{err: errReset})
	})
	t.Run("a silent engine that was left", func(t *testing.T) {
		reports(t, nil, 1, answer{status: 200, silent: true}, answer{status: 200, body: one})
	})
	t.Run("an engine that refuses", func(t *testing.T) {
		reports(t, nil, 1, refusedBusy, answer{status: 200, body: one})
	})
	t.Run("an engine that is not reached", func(t *testing.T) {
		reports(t, nil, 1, answer{err: &sardineknot.UnsentError{Cause: errReset}}, answer{status: 200, body: one})
	})
	t.Run("during the prefill", func(t *testing.T) {
		is := is.New(t)
		_, g, err := runGuarded(t, func(_ *events.Runner, _ *slots, e *engines, _ *guard) { e.prefillErr = errBrokenOff })
		is.True(err != nil)
		is.Equal(g.crashes[0], sardineknot.BackendServerName("p"))
	})
}

// TestReplacedEngine guards against a request that counts as what ended its engine, although the
// next process of the engine has answered it.
func TestReplacedEngine(t *testing.T) {
	replaced := &sardineknot.UnavailableError{Peer: "d", Cause: &sardineknot.UnconfirmedInstanceError{Server: "d", Cause: &sardineknot.InstanceError{Server: "d"}}}
	_, g, err := runGuarded(t, asIs, answer{err: replaced}, answer{status: 200, body: one})
	is := is.New(t)
	is.NoErr(err)
	is.Equal(g.replaced, []sardineknot.BackendServerName{"d"})
	is.Equal(len(g.crashes), 0)
}
