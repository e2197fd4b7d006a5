package events_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

func TestStream(t *testing.T) {
	t.Run("relays events and reports completion", func(t *testing.T) {
		is := is.New(t)
		e := &engines{answers: []answer{{status: 200, body: one + two}}}
		s := &slots{decode: []sardineknot.BackendServerName{"d"}}
		w := &writer{}
		is.NoErr(newRunner(e, s).Run(t.Context(), newCall(false), w))
		is.Equal(w.got(), one+two)
		is.Equal(e.sends[0].Cache.Handle, "k")
		is.Equal(s.lastEvent(), sardineknot.JobFinished)
	})
	t.Run("resumes on another engine after the last complete event", func(t *testing.T) {
		is := is.New(t)
		e := &engines{answers: []answer{{status: 200, body: one + two + "id: 3\nda", err: errReset}, {status: 200, body: two + three}}}
		s := &slots{decode: []sardineknot.BackendServerName{"d", "e"}}
		w := &writer{}
		is.NoErr(newRunner(e, s).Run(t.Context(), newCall(true), w))
		is.Equal(w.got(), one+two+three) // without duplicate events
		is.Equal(e.sends[1].ResumeAfter, 2)
		is.Equal(w.header.Get("Engine"), "d") // the header of the first engine is kept
		is.Equal(s.jobs[1].PromptTokens, 1020)
	})
	t.Run("truncation within an event is an error", func(t *testing.T) {
		is := is.New(t)
		e := &engines{answers: []answer{{status: 200, body: one + "id: 2\nda"}}}
		s := &slots{decode: []sardineknot.BackendServerName{"d"}}
		w := &writer{}
		err := newRunner(e, s).Run(t.Context(), newCall(false), w)
		is.True(err != nil)
		is.Equal(w.got(), one)
	})
	t.Run("a non-resumable call runs once", func(t *testing.T) {
		is := is.New(t)
		e := &engines{answers: []answer{{err: errReset}}}
		s := &slots{decode: []sardineknot.BackendServerName{"d", "e"}}
		err := newRunner(e, s).Run(t.Context(), newCall(false), &writer{})
		var n *sardineknot.NotRunError
		is.True(err != nil && !errors.As(err, &n)) // the call may have run
		is.Equal(len(e.sends), 1)
	})
	t.Run("fails over from a silent engine", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			e := &engines{answers: []answer{{status: 200, body: one, silent: true}, {status: 200, body: two}}}
			s := &slots{decode: []sardineknot.BackendServerName{"d", "e"}}
			w := &writer{}
			is.NoErr(newRunner(e, s).Run(t.Context(), newCall(true), w))
			is.Equal(w.got(), one+two)
		})
	})
}

func TestSilence(t *testing.T) {
	runResumable := func(t *testing.T, e *engines, l sardineknot.SlotPool) (*writer, error) {
		w := &writer{}
		return w, newRunner(e, l).Run(t.Context(), newCall(true), w)
	}
	t.Run("stays on a silent engine while no other is granted", func(t *testing.T) {
		// Failing over without a grant cancelled streams that their engine
		// would have finished a second later.
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			e := &engines{answers: []answer{{status: 200, body: one, continuation: two, pause: time.Second}}}
			w, err := runResumable(t, e, &grantsOnce{slots: &slots{decode: []sardineknot.BackendServerName{"d"}}})
			is.NoErr(err)
			is.Equal(w.got(), one+two)
		})
	})
	t.Run("cancels an unused reservation", func(t *testing.T) {
		// The caller disconnects while its stream waits for another engine.
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithCancel(t.Context())
			e := &engines{answers: []answer{{status: 200, body: one, silent: true}}}
			s := &slots{decode: []sardineknot.BackendServerName{"d", "e"}, onGrant: map[sardineknot.BackendServerName]func(){"e": cancel}}
			is.True(newRunner(e, s).Run(ctx, newCall(true), &writer{}) != nil)
			synctest.Wait()
			is.Equal(s.lastEvent(), sardineknot.JobCancelled)
			is.Equal(s.cancelledJobs(), 2)
		})
	})
	t.Run("stays on an engine that continues in time", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			e := &engines{answers: []answer{{status: 200, body: one, continuation: two, pause: 500 * time.Millisecond}}}
			s := &slots{decode: []sardineknot.BackendServerName{"d", "e"}}
			w, err := runResumable(t, e, s)
			is.NoErr(err)
			is.Equal(w.got(), one+two)
			is.Equal(len(e.sends), 1)
		})
	})
}

func TestPrefill(t *testing.T) {
	refusal := errors.WithStack(&sardineknot.RefusedError{Server: "d", Status: 503})
	t.Run("decode engine prefills the prompt after a lost cache", func(t *testing.T) {
		is := is.New(t)
		e := &engines{answers: []answer{{err: refusal}, {status: 200, body: one}}}
		s := &slots{decode: []sardineknot.BackendServerName{"d"}}
		is.NoErr(newRunner(e, s).Run(t.Context(), newCall(false), &writer{}))
		is.Equal(e.sends[1].Cache.Handle, "")
		is.Equal(s.events[1], sardineknot.JobCacheLost)
	})
	t.Run("decode engine does not prefill a long prompt", func(t *testing.T) {
		// While a decode engine prefills a long prompt, its other answers pause
		// for longer than their target.
		is := is.New(t)
		e := &engines{answers: []answer{{err: refusal}, {status: 200, body: one}}}
		s := &slots{decode: []sardineknot.BackendServerName{"d", "e"}}
		c := newCall(true)
		c.Generation.PromptLength = sardineknot.MaxLocalPrefillTokens + 1
		is.NoErr(newRunner(e, s).Run(t.Context(), c, &writer{}))
		is.Equal(e.sends[1].Cache.Handle, "k")
		is.Equal(e.prefills, 2)
	})
	t.Run("reports a refused grant as not run", func(t *testing.T) {
		is := is.New(t)
		s := &slots{err: errors.WithStack(&sardineknot.NotRunError{Reason: "full", RetryAfter: time.Second})}
		err := newRunner(&engines{}, s).Run(t.Context(), newCall(true), &writer{})
		var n *sardineknot.NotRunError
		is.True(errors.As(err, &n))
	})
	t.Run("does not report a call that ran as not run", func(t *testing.T) {
		is := is.New(t)
		e := &engines{answers: []answer{{err: errReset}}}
		s := &slots{decode: []sardineknot.BackendServerName{"d"}, err: nil}
		r := newRunner(e, &grantsOnce{slots: s})
		err := r.Run(t.Context(), newCall(true), &writer{})
		var n *sardineknot.NotRunError
		is.True(err != nil && !errors.As(err, &n))
	})
}

func TestRetainedCache(t *testing.T) {
	refusal := errors.WithStack(&sardineknot.RefusedError{Server: "d", Status: 503})
	t.Run("next decode engine imports an unused cache", func(t *testing.T) {
		// Without the retained cache, prompts were prefilled twice when a
		// connection to a decode engine was reset or refused.
		for _, err := range []error{errReset, &sardineknot.UnsentError{Cause: errReset}} {
			is := is.New(t)
			e := &engines{answers: []answer{{err: errors.WithStack(err)}, {status: 200, body: one}}}
			s := &slots{decode: []sardineknot.BackendServerName{"d", "e"}}
			is.NoErr(newRunner(e, s).Run(t.Context(), newCall(true), &writer{}))
			is.Equal(e.sends[1].Cache.Handle, "k")
			is.Equal(e.prefills, 1)
			is.Equal(e.released, 0)
			is.Equal(s.jobs[1].CachedOn, sardineknot.BackendServerName("p"))
		}
	})
	t.Run("discards a retained cache that the next engine refuses", func(t *testing.T) {
		is := is.New(t)
		e := &engines{answers: []answer{{err: errReset}, {err: refusal}, {status: 200, body: one}}}
		s := &slots{decode: []sardineknot.BackendServerName{"d", "e"}}
		w := &writer{}
		is.NoErr(newRunner(e, s).Run(t.Context(), newCall(true), w))
		is.Equal(w.got(), one)
		is.Equal(e.sends[2].Cache.Handle, "") // the decode engine prefills the prompt
	})
	t.Run("releases an unused cache", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			e := &engines{answers: []answer{{err: errReset}}}
			s := &slots{decode: []sardineknot.BackendServerName{"d"}}
			is.True(newRunner(e, &grantsOnce{slots: s}).Run(t.Context(), newCall(true), &writer{}) != nil)
			synctest.Wait()
			is.Equal(e.released, 1)
		})
	})
}

// TestServerGone guards against an UnknownError, which callers see as 404, for a
// call whose engine has left the configuration.
func TestServerGone(t *testing.T) {
	var u *sardineknot.UnknownError
	var n *sardineknot.NotRunError
	t.Run("before the call ran", func(t *testing.T) {
		is := is.New(t)
		s := &slots{decode: []sardineknot.BackendServerName{"gone"}}
		r := newRunner(&engines{}, &grantsOnce{slots: s})
		r.Budget = &limitedBudget{}
		err := r.Run(t.Context(), newCall(true), &writer{})
		is.True(!errors.As(err, &u))
		is.True(errors.As(err, &n))
	})
	t.Run("after the call ran", func(t *testing.T) {
		is := is.New(t)
		e := &engines{answers: []answer{{err: errReset}}}
		s := &slots{decode: []sardineknot.BackendServerName{"d", "gone"}}
		r := newRunner(e, &grantsOnce{slots: s})
		r.Budget = &limitedBudget{left: 1}
		err := r.Run(t.Context(), newCall(true), &writer{})
		is.True(!errors.As(err, &u))
		is.True(err != nil && !errors.As(err, &n))
	})
}
