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

// shortSilence is a silence after which an engine goes on by itself. It is
// longer than any silence that a runner waits for before it looks for another
// engine.
const shortSilence = 2 * time.Second

// limitedBudget is a fake retry budget that allows a number of retries.
type limitedBudget struct{ left int }

func (b *limitedBudget) RecordCall(sardineknot.ServiceName) {}

func (b *limitedBudget) AllowRetry(sardineknot.ServiceName) bool {
	b.left--
	return b.left >= 0
}

// servesWhole checks that a resumable call is answered with both events and
// nothing else by a runner on e and l. If change is not nil, it changes the
// runner before the call.
func servesWhole(t *testing.T, e *engines, l sardineknot.SlotPool, change func(*events.Runner)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRunner(e, l)
		if change != nil {
			change(r)
		}
		c, w := newCall(true), &writer{}
		ctx, cancel := context.WithDeadline(t.Context(), c.Deadline)
		defer cancel()
		is.NoErr(r.Run(ctx, c, w))
		is.Equal(w.got(), one+two)
	})
}

// TestSilentEngineKeepsStream guards against answers that are cut off because
// an engine was silent for a moment and no other engine continued the stream.
func TestSilentEngineKeepsStream(t *testing.T) {
	refusal := errors.WithStack(&sardineknot.RefusedError{Server: "e", Status: 503})
	pauses := func() answer {
		return answer{status: 200, body: one, continuation: two, pause: shortSilence}
	}
	both := func() *slots { return &slots{decode: []sardineknot.BackendServerName{"d", "e"}} }
	t.Run("retry budget is exhausted", func(t *testing.T) {
		e := &engines{answers: []answer{pauses()}}
		servesWhole(t, e, &grantsOnce{both()}, func(r *events.Runner) { r.Budget = &limitedBudget{left: 1} })
	})
	t.Run("prefill for the other engine fails", func(t *testing.T) {
		e := &engines{answers: []answer{pauses()}}
		s := both()
		s.onGrant = map[sardineknot.BackendServerName]func(){"e": func() { e.prefillErr = errReset }}
		servesWhole(t, e, &grantsOnce{s}, nil)
	})
	t.Run("other engine refuses", func(t *testing.T) {
		e := &engines{answers: []answer{pauses(), {err: refusal}, {err: refusal}}}
		servesWhole(t, e, &grantsOnce{both()}, nil)
	})
	t.Run("connection to the other engine is reset", func(t *testing.T) {
		e := &engines{answers: []answer{pauses(), {err: errReset}}}
		servesWhole(t, e, &grantsOnce{both()}, nil)
	})
	t.Run("other engine is silent as well", func(t *testing.T) {
		e := &engines{answers: []answer{pauses(), {status: 200, silent: true}}}
		servesWhole(t, e, &grantsOnce{both()}, nil)
	})
	t.Run("silent engine is granted again", func(t *testing.T) {
		e := &engines{answers: []answer{pauses(), {err: refusal}, {err: refusal}}}
		servesWhole(t, e, &grantsOnce{&slots{decode: []sardineknot.BackendServerName{"d", "d"}}}, nil)
	})
	t.Run("response header is late and no other engine is granted", func(t *testing.T) {
		e := &engines{answers: []answer{{status: 200, body: one + two, delay: shortSilence}}}
		servesWhole(t, e, &grantsOnce{&slots{decode: []sardineknot.BackendServerName{"d"}}}, nil)
	})
	t.Run("response header is late and the other engine refuses", func(t *testing.T) {
		e := &engines{answers: []answer{{status: 200, body: one + two, delay: shortSilence}, {err: refusal}, {err: refusal}}}
		servesWhole(t, e, &grantsOnce{both()}, nil)
	})
}

// TestLateHeaderSpendsAttempt guards against running a call on more engines than
// its route allows, because an engine that owes its response header was not
// counted.
func TestLateHeaderSpendsAttempt(t *testing.T) {
	for n := 1; n <= 2; n++ {
		synctest.Test(t, func(t *testing.T) {
			e := &engines{answers: []answer{{status: 200, body: one + two, delay: 5 * time.Second}, {status: 200, body: one, err: errReset}, {status: 200, body: one + two}}}
			c := newCall(true)
			c.Route.Attempts = n
			s := &slots{decode: []sardineknot.BackendServerName{"d", "e", "d"}}
			_ = newRunner(e, s).Run(t.Context(), c, &writer{})
			is.New(t).True(len(e.sends) <= n)
		})
	}
}

// slowWriter is a fake response writer whose first write blocks.
type slowWriter struct {
	writer
	slept bool
}

func (w *slowWriter) Write(b []byte) error {
	if !w.slept {
		w.slept = true
		time.Sleep(shortSilence)
	}
	return w.writer.Write(b)
}

// TestSlowCaller guards against taking an engine for silent while its events wait
// for a slow caller.
func TestSlowCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := &engines{answers: []answer{{status: 200, body: one + two}, {status: 200, body: two}}}
		s := &slots{decode: []sardineknot.BackendServerName{"d", "e"}}
		w := &slowWriter{}
		is.NoErr(newRunner(e, s).Run(t.Context(), newCall(true), w))
		is.Equal(w.got(), one+two)
		is.Equal(len(e.sends), 1)
	})
}

// TestTakeoverBudget guards against one silent stream that spends the retries of
// all others on takeovers that fail.
func TestTakeoverBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		refusal := answer{err: errors.WithStack(&sardineknot.RefusedError{Server: "e", Status: 503})}
		l := []answer{{status: 200, body: one, continuation: two, pause: 9 * time.Second}}
		s := &slots{decode: []sardineknot.BackendServerName{"d"}}
		for range 20 {
			l = append(l, refusal)
			s.decode = append(s.decode, "e")
		}
		r := newRunner(&engines{answers: l}, &grantsOnce{s})
		b := &limitedBudget{left: 100}
		r.Budget = b
		is.NoErr(r.Run(t.Context(), newCall(true), &writer{}))
		is.True(100-b.left <= 6)
	})
}

// TestEmptyTakeover guards against leaving an engine for one that ends the stream
// without an event.
func TestEmptyTakeover(t *testing.T) {
	e := &engines{answers: []answer{{status: 200, body: one, continuation: two, pause: shortSilence}, {status: 200, body: one}}}
	servesWhole(t, e, &grantsOnce{&slots{decode: []sardineknot.BackendServerName{"d", "e"}}}, nil)
}

// TestLateHeader checks that a stream whose engine never answers begins on
// another engine.
func TestLateHeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := &engines{answers: []answer{{status: 200, body: one, delay: time.Hour}, {status: 200, body: one + two}}}
		w := &writer{}
		s := &slots{decode: []sardineknot.BackendServerName{"d", "e"}}
		is.NoErr(newRunner(e, s).Run(t.Context(), newCall(true), w))
		is.Equal(w.got(), one+two)
		is.Equal(w.header.Get("Engine"), "e")
	})
}

// TestSilentEngineIsLeft checks that the silent engine stops working on a
// stream as soon as another engine continues it.
func TestSilentEngineIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := &engines{answers: []answer{{status: 200, body: one, silent: true}, {status: 200, body: two, continuation: three, pause: time.Second}}}
		s := &slots{decode: []sardineknot.BackendServerName{"d", "e"}}
		w := &writer{}
		is.NoErr(newRunner(e, s).Run(context.Background(), newCall(true), w))
		is.Equal(w.got(), one+two+three)
		is.Equal(len(e.sends), 2)
		is.Equal(e.sends[1].ResumeAfter, 1)
		is.Equal(s.lastEvent(), sardineknot.JobFinished)
	})
}
