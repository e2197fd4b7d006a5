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

// noBudget is a fake retry budget that allows no retry.
type noBudget struct{ unlimitedBudget }

func (noBudget) AllowRetry(sardineknot.ServiceName) bool { return false }

// watchedSlots is a fake slot pool that records whole events.
type watchedSlots struct {
	*slots
	reported []sardineknot.JobEvent
}

func (s *watchedSlots) Report(_ sardineknot.Job, e sardineknot.JobEvent) {
	s.reported = append(s.reported, e)
}

// givenBack returns the servers that were reported as leaving. All of them were
// born at 7.
func (s *watchedSlots) givenBack() (names []sardineknot.BackendServerName) {
	for _, e := range s.reported {
		if e.Leaving && e.Born == 7 && e.Kind == sardineknot.JobCancelled {
			names = append(names, e.Server)
		}
	}
	return names
}

// enginesWithHook is a fake sardineknot.Forwarder that calls onPrefill at each
// prefill and onForward at each other call, unless they are nil.
type enginesWithHook struct {
	*engines
	onPrefill func()
	onForward func()
}

func (e *enginesWithHook) Forward(ctx context.Context, s sardineknot.BackendServer, c *sardineknot.Call, o sardineknot.ForwardOptions) (*sardineknot.Response, error) {
	if e.onForward != nil {
		e.onForward()
	}
	return e.engines.Forward(ctx, s, c, o)
}

func (e *enginesWithHook) Prefill(ctx context.Context, s sardineknot.BackendServer, c *sardineknot.Call, t time.Time) (sardineknot.KVCacheReference, error) {
	if e.onPrefill != nil {
		e.onPrefill()
	}
	return e.engines.Prefill(ctx, s, c, t)
}

// markLeaving makes r see that engine n, born at 7, is leaving.
func markLeaving(r *events.Runner, n sardineknot.BackendServerName) {
	o, _ := r.Source.(*source)
	c := *o.Current()
	c.BackendServers = append([]sardineknot.BackendServer(nil), c.BackendServers...)
	for i := range c.BackendServers {
		c.BackendServers[i].Born = 7
		if c.BackendServers[i].Name == n {
			c.BackendServers[i].State = sardineknot.BackendLeaving
		}
	}
	r.Source = &source{c}
}

// newWatchedRunner returns a runner without retry budget, whose engines answer
// with l in turn, and its fakes.
func newWatchedRunner(l ...answer) (*events.Runner, *enginesWithHook, *watchedSlots) {
	e := &enginesWithHook{engines: &engines{answers: l}}
	s := &watchedSlots{slots: &slots{decode: []sardineknot.BackendServerName{"d", "e", "f", "d", "e", "f"}}}
	r := newRunner(e.engines, s)
	r.Forwarder, r.Budget = e, noBudget{}
	markLeaving(r, "none")
	return r, e, s
}

// TestLeavingEngine guards against work for an engine that is leaving by what
// this host knows, while the owner of the shard takes it for ready.
func TestLeavingEngine(t *testing.T) {
	t.Run("a grant of it is given back and another asked for", func(t *testing.T) {
		is := is.New(t)
		r, e, s := newWatchedRunner(answer{status: 200, body: one})
		markLeaving(r, "d")
		w := &writer{}
		is.NoErr(r.Run(t.Context(), newCall(false), w))
		is.Equal(w.got(), one)
		is.Equal(e.servers, []sardineknot.BackendServerName{"e"})
		is.Equal(e.prefills, 1)
		is.Equal(s.givenBack(), []sardineknot.BackendServerName{"d"})
	})
	t.Run("a decode engine that begins to leave during the prefill gets no call", func(t *testing.T) {
		is := is.New(t)
		r, e, s := newWatchedRunner(answer{status: 200, body: one})
		e.onPrefill = func() { markLeaving(r, "d") }
		is.NoErr(r.Run(t.Context(), newCall(false), &writer{}))
		is.Equal(e.servers, []sardineknot.BackendServerName{"e"})
		is.Equal(e.prefills, 1) // the KV cache goes to the other engine
		is.Equal(e.sends[0].Cache.Handle, "k")
		is.Equal(s.givenBack(), []sardineknot.BackendServerName{"d"})
	})
	t.Run("a leaving prefill engine that is granted again and again gets nothing", func(t *testing.T) {
		is := is.New(t)
		r, e, s := newWatchedRunner()
		markLeaving(r, "p")
		var n *sardineknot.NotRunError
		is.True(errors.As(r.Run(t.Context(), newCall(false), &writer{}), &n))
		is.Equal(e.prefills, 0)
		is.True(len(s.givenBack()) > 1)
	})
}

// TestLeavingAfterSend guards against repeating a call on an engine that is known
// to leave since the call was sent.
func TestLeavingAfterSend(t *testing.T) {
	t.Run("an engine that is leaving and refuses the KV cache is not asked again", func(t *testing.T) {
		is := is.New(t)
		r, e, _ := newWatchedRunner(answer{err: &sardineknot.RefusedError{Server: "d", Status: 503}}, answer{status: 200, body: one})
		r.Budget = unlimitedBudget{}
		e.onForward = func() { markLeaving(r, "d") }
		is.NoErr(r.Run(t.Context(), newCall(false), &writer{}))
		is.Equal(e.servers, []sardineknot.BackendServerName{"d", "e"})
		is.Equal(e.prefills, 1) // the KV cache goes to the other engine
	})
	t.Run("a stream that breaks off does not go on there", func(t *testing.T) {
		is := is.New(t)
		r, e, _ := newWatchedRunner(answer{status: 200, body: one, err: errReset}, answer{status: 200, body: two})
		r.Budget = unlimitedBudget{}
		s, _ := r.Slots.(*watchedSlots)
		s.onGrant = map[sardineknot.BackendServerName]func(){"e": func() { markLeaving(r, "e") }}
		w := &writer{}
		is.NoErr(r.Run(t.Context(), newCall(true), w))
		is.Equal(w.got(), one+two)
		is.Equal(e.servers, []sardineknot.BackendServerName{"d", "f"})
	})
}
