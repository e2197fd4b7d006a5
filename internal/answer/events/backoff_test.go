package events_test

import (
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/answer/events"
)

// runWithBackoffs runs test in virtual time, with engines that answer with l in
// turn. The engine "p" prefills and all others decode; they form the pool of the
// calls.
func runWithBackoffs(t *testing.T, name string, l []answer, test func(*testing.T, *events.Runner, *enginesWithHook, *watchedSlots)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			r, e, s := newWatchedRunner(l...)
			r.Budget = unlimitedBudget{}
			c := r.Source.Current()
			for i := range c.BackendServers {
				b := &c.BackendServers[i]
				b.Service, b.Model, b.Role = "llm", "m", sardineknot.RoleDecode
				if b.Name == "p" {
					b.Role, b.Address = sardineknot.RolePrefill, netip.MustParseAddrPort("127.0.0.1:1")
				}
			}
			test(t, r, e, s)
		})
	})
}

// backOff makes each of the engines n want no requests from the host of r.
func backOff(r *events.Runner, wait time.Duration, n ...sardineknot.BackendServerName) {
	for _, b := range n {
		r.Backoffs.Record(time.Now(), sardineknot.BackendServer{Name: b, Born: 7}, wait)
	}
}

// assertRefusedUntil checks that err reports a call that did not run, with a retry
// time from wait to a quarter more.
func assertRefusedUntil(t *testing.T, err error, wait time.Duration) {
	t.Helper()
	is := is.New(t)
	var n *sardineknot.NotRunError
	is.True(errors.As(err, &n))
	is.True(n.RetryAfter >= wait && n.RetryAfter <= wait+wait/4)
}

var (
	refusedBusy = answer{err: &sardineknot.RefusedError{Server: "d", Status: 503}}
	whole       = answer{status: 200, body: one}
)

// TestBackoff guards against requests to an engine that has turned one away and
// has said for how long it wants no others, while the owner of the shard grants
// it.
func TestBackoff(t *testing.T) {
	runWithBackoffs(t, "a grant of the engine is given back and the next job names it", []answer{whole},
		func(t *testing.T, r *events.Runner, e *enginesWithHook, s *watchedSlots) {
			is := is.New(t)
			s.onGrant = map[sardineknot.BackendServerName]func(){"d": func() { backOff(r, time.Minute, "d") }}
			is.NoErr(r.Run(t.Context(), newCall(false), &writer{}))
			is.Equal(e.servers, []sardineknot.BackendServerName{"e"})
			is.Equal(e.prefills, 1)
			is.Equal(s.reported[0].Kind, sardineknot.JobCancelled)
			is.Equal(len(s.givenBack()), 0) // the engine is not leaving
			is.Equal(len(s.jobs[0].Backoffs), 0)
			is.Equal(s.jobs[1].Backoffs, []sardineknot.ServerBackoff{{Server: "d", Until: time.Now().Add(time.Minute)}})
		})
	runWithBackoffs(t, "the engine that refuses a call gets no other, and the KV cache is kept", []answer{refusedBusy, whole},
		func(t *testing.T, r *events.Runner, e *enginesWithHook, _ *watchedSlots) {
			is := is.New(t)
			e.onForward = func() { backOff(r, time.Minute, "d") }
			is.NoErr(r.Run(t.Context(), newCall(false), &writer{}))
			is.Equal(e.servers, []sardineknot.BackendServerName{"d", "e"})
			is.Equal(e.prefills, 1)
		})
	runWithBackoffs(t, "a KV cache is not released there", []answer{refusedBusy, whole},
		func(t *testing.T, r *events.Runner, e *enginesWithHook, _ *watchedSlots) {
			is := is.New(t)
			e.onForward = func() { backOff(r, time.Minute, "p") }
			is.NoErr(r.Run(t.Context(), newCall(false), &writer{}))
			synctest.Wait()
			is.Equal(e.released, 0)
		})
}

// TestBackoffOfPool guards against callers that wait, or that return at once, for
// engines none of which accepts requests.
func TestBackoffOfPool(t *testing.T) {
	runWithBackoffs(t, "without a decode engine calls are refused at once", nil,
		func(t *testing.T, r *events.Runner, e *enginesWithHook, s *watchedSlots) {
			backOff(r, 30*time.Second, "d", "e", "f")
			assertRefusedUntil(t, r.Run(t.Context(), newCall(false), &writer{}), 30*time.Second)
			is.New(t).Equal(len(s.jobs)+e.prefills, 0)
		})
	runWithBackoffs(t, "without a prefill engine long prompts are refused at once", []answer{whole},
		func(t *testing.T, r *events.Runner, e *enginesWithHook, s *watchedSlots) {
			backOff(r, 8*time.Second, "p")
			c := newCall(false)
			c.Generation.PromptLength = sardineknot.MaxLocalPrefillTokens + 1
			assertRefusedUntil(t, r.Run(t.Context(), c, &writer{}), 8*time.Second)
			is.New(t).Equal(len(s.jobs)+e.prefills, 0)
		})
	runWithBackoffs(t, "a stream that has begun waits for a short time", []answer{{status: 200, body: one, err: errReset}, {status: 200, body: two}},
		func(t *testing.T, r *events.Runner, e *enginesWithHook, s *watchedSlots) {
			is := is.New(t)
			e.onForward = func() { backOff(r, time.Second, "d", "e", "f") }
			s.onGrant = map[sardineknot.BackendServerName]func(){"e": func() { time.Sleep(time.Second) }}
			w := &writer{}
			is.NoErr(r.Run(t.Context(), newCall(true), w))
			is.Equal(w.got(), one+two)
		})
	runWithBackoffs(t, "a stream that has begun does not wait for long", []answer{{status: 200, body: one, err: errReset}},
		func(t *testing.T, r *events.Runner, e *enginesWithHook, s *watchedSlots) {
			is := is.New(t)
			e.onForward = func() { backOff(r, time.Minute, "d", "e", "f") }
			b := time.Now()
			is.True(r.Run(t.Context(), newCall(true), &writer{}) != nil)
			is.Equal(time.Since(b), time.Duration(0))
			is.Equal(len(s.jobs), 1)
		})
}
