package events_test

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/policy/streampace"
)

// runUntilClose begins a stop that closes the connection of the caller after the given time, runs
// the call and returns its error and whether it ended before the close.
func (c *stopCase) runUntilClose(t *testing.T, duration time.Duration) (inTime bool, err error) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	c.stop(duration)
	time.AfterFunc(duration, cancel)
	b := time.Now()
	err = c.runner.Run(ctx, c.call, c.writer)
	return time.Since(b) < duration, err
}

// hangingPrefill is a fake forwarder whose prefills take longer than any host waits.
type hangingPrefill struct{ *engines }

func (hangingPrefill) Prefill(ctx context.Context, _ sardineknot.BackendServer, _ *sardineknot.Call, _ time.Time) (sardineknot.KVCacheReference, error) {
	<-ctx.Done()
	return sardineknot.KVCacheReference{}, errors.WithStack(&sardineknot.UnavailableError{Peer: "p", Cause: ctx.Err()})
}

// stopAtGrant makes the stop begin when the engine is granted, so that the call is not late.
type stopAtGrant struct {
	*slots
	stop func()
}

func (s *stopAtGrant) Acquire(ctx context.Context, j sardineknot.Job) (sardineknot.Grant, error) {
	s.stop()
	return s.slots.Acquire(ctx, j)
}

// delayedSlots grants after a delay, unless ctx ends first.
type delayedSlots struct {
	*slots
	delay time.Duration
}

func (s *delayedSlots) Acquire(ctx context.Context, j sardineknot.Job) (sardineknot.Grant, error) {
	select {
	case <-time.After(s.delay):
		return s.slots.Acquire(ctx, j)
	case <-ctx.Done():
		return sardineknot.Grant{}, errors.WithStack(ctx.Err())
	}
}

// TestPrefillInStop guards against a stream whose prefill hangs until its host closes its connections,
// and that gets no answer. A prefill is no run, so that a refusal is true.
func TestPrefillInStop(t *testing.T) {
	for _, resumable := range []bool{false, true} {
		runStopCase(t, "sent in the stop, resumable "+strconv.FormatBool(resumable), func(t *testing.T) {
			c := newStopCase("d", resumable)
			c.call.Generation.MaxTokens = 11 // two events
			c.runner.Forwarder = hangingPrefill{c.engines}
			k, err := c.runUntilClose(t, time.Second)
			checkRefusedInTime(t, k, err)
			is.New(t).Equal(c.slots.cancelledJobs(), 1)
		})
		runStopCase(t, "sent before, resumable "+strconv.FormatBool(resumable), func(t *testing.T) {
			c := newStopCase("d", resumable)
			c.call.Generation.MaxTokens = 11
			c.runner.Forwarder = hangingPrefill{c.engines}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			b := time.Now()
			c.runner.Slots = &stopAtGrant{c.slots, func() {
				c.stop(time.Second)
				time.AfterFunc(time.Second, cancel)
			}}
			err := c.runner.Run(ctx, c.call, c.writer)
			checkRefusedInTime(t, time.Since(b) < time.Second, err)
		})
	}
}

// checkRefusedInTime checks that a call has ended in time with err, a NotRunError.
func checkRefusedInTime(t *testing.T, inTime bool, err error) {
	t.Helper()
	is := is.New(t)
	var n *sardineknot.NotRunError
	is.True(errors.As(err, &n))
	is.True(inTime)
	is.Equal(n.RetryAfter, time.Duration(0))
}

// TestEarlyDeadline guards against a stream that is refused because of a stop although its deadline
// comes before the close.
func TestEarlyDeadline(t *testing.T) {
	for name, prepare := range map[string]func(c *stopCase){
		"nothing is known":       func(c *stopCase) { c.runner.Paces = &streampace.Paces{} },
		"no maximum length":      func(c *stopCase) { c.call.Generation.MaxTokens = 0 },
		"a large maximum length": func(c *stopCase) { c.call.Generation.MaxTokens = 5000 },
	} {
		for _, late := range []bool{false, true} {
			runStopCase(t, name+", sent in the stop "+strconv.FormatBool(late), func(t *testing.T) {
				c := newStopCase("d", false)
				prepare(c)
				c.call.Deadline = c.call.ArrivedAt.Add(2 * time.Second)
				c.runner.Slots = &delayedSlots{c.slots, 10 * time.Millisecond}
				if late {
					c.stop(7500 * time.Millisecond)
				} else {
					time.AfterFunc(time.Millisecond, func() { c.stop(7500 * time.Millisecond) })
				}
				c.serves(t)
			})
		}
	}
}

// bodyOf returns a stream of n events.
func bodyOf(n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString("id: " + strconv.Itoa(i+1) + "\ndata: a\n\n")
	}
	return b.String()
}

// pausingWriter is a caller that takes its answer slowly.
type pausingWriter struct {
	writer
	pause time.Duration
}

func (w *pausingWriter) Write(b []byte) error {
	time.Sleep(w.pause)
	return w.writer.Write(b)
}

// TestObservedPace guards against a pace that a few events, their caller or streams that are stalled
// make too quick or too slow.
func TestObservedPace(t *testing.T) {
	runStopCase(t, "two events at once tell little", func(t *testing.T) {
		c := newStopCase("d", false)
		c.runner.Paces = &streampace.Paces{}
		c.engines.answers = []answer{{status: 200, body: one + two, delay: 100 * time.Millisecond}, {status: 200, body: one}}
		c.slots.decode = []sardineknot.BackendServerName{"d", "d"}
		is.New(t).NoErr(c.run(t))
		c.stop(500 * time.Millisecond)
		c.engines.sends, c.writer = nil, &writer{}
		c.refuses(t, 0)
	})
	runStopCase(t, "a caller that takes its answer slowly", func(t *testing.T) {
		c := newStopCase("d", false)
		c.engines.answers = []answer{{status: 200, body: bodyOf(20)}, {status: 200, body: one}}
		c.slots.decode = []sardineknot.BackendServerName{"d", "d"}
		is.New(t).NoErr(c.runner.Run(t.Context(), c.call, &pausingWriter{pause: time.Second}))
		c.call.Deadline = time.Now().Add(14 * time.Second)
		c.stop(7500 * time.Millisecond)
		c.serves(t)
	})
	runStopCase(t, "a stream that has stalled", func(t *testing.T) {
		c := newStopCase("d", false)
		c.engines.answers = []answer{{status: 200, body: one, silent: true}, {status: 200, body: one}}
		c.slots.decode = []sardineknot.BackendServerName{"d", "d"}
		ctx, cancel := context.WithCancel(t.Context())
		var g sync.WaitGroup
		g.Go(func() { _ = c.runner.Run(ctx, newCall(false), &writer{}) })
		time.Sleep(5 * time.Second)
		c.engines.sends = nil
		c.call.Deadline = time.Now().Add(14 * time.Second)
		c.stop(lateTime)
		c.refuses(t, 0)
		cancel()
		g.Wait()
	})
	runStopCase(t, "blocks of events", func(t *testing.T) {
		c := newStopCase("d", false)
		c.runner.Paces = &streampace.Paces{}
		c.engines.answers = []answer{{status: 200, body: bodyOf(9), continuation: bodyOf(17)[len(bodyOf(9)):], pause: 8 * slowPace}, {status: 200, body: one}}
		c.slots.decode = []sardineknot.BackendServerName{"d", "d"}
		is := is.New(t)
		is.NoErr(c.run(t))
		_, d, ok := c.runner.Paces.Bound(time.Now(), sardineknot.ServicePoolName("llm", "m"), "d", 1)
		is.True(ok)
		is.Equal(d, slowPace)
	})
}

// TestFirstEventInStop guards against a stream that is cut because its first event comes later than
// those of others lately did, by less than the factor of two.
func TestFirstEventInStop(t *testing.T) {
	const whole = prefillTime + 2*(time.Second+2*quickPace) + closeMargin
	for name, c := range map[string]struct{ prefill, first, stop time.Duration }{
		"a long prefill":         {2 * time.Second, 800 * time.Millisecond, whole},
		"a late first event":     {prefillTime, 1900 * time.Millisecond, whole},
		"no time for a late one": {prefillTime, 1900 * time.Millisecond, whole - 900*time.Millisecond},
		"both are as they were":  {prefillTime, 800 * time.Millisecond, whole},
	} {
		runStopCase(t, name, func(t *testing.T) {
			k := newStopCase("d", false)
			k.call.Generation.MaxTokens = 11 // two events
			k.runner.Paces.RecordFirst(time.Now(), sardineknot.ServicePoolName("llm", "m"), time.Second)
			k.runner.Forwarder = &enginesWithHook{engines: k.engines, onPrefill: func() { time.Sleep(c.prefill) }}
			k.engines.answers = []answer{{status: 200, body: one + two, delay: c.first}}
			in, _ := k.runUntilClose(t, c.stop)
			is.New(t).True(in)
		})
	}
}

// TestGoesOnInStop guards against a stream that its caller has a part of, or that an engine may have
// run, and that is refused by the rules for streams that have not begun.
func TestGoesOnInStop(t *testing.T) {
	runStopCase(t, "no time is left for an admission", func(t *testing.T) {
		c := newStopCase("d", true)
		c.slots.decode = []sardineknot.BackendServerName{"d", "e"}
		c.engines.answers = []answer{{status: 200, body: one, err: errReset}, {status: 200, body: two}}
		c.slots.onGrant = map[sardineknot.BackendServerName]func(){"e": func() { c.stop(150 * time.Millisecond) }}
		is := is.New(t)
		is.NoErr(c.run(t))
		is.Equal(c.writer.got(), one+two)
	})
	runStopCase(t, "it waits for an engine", func(t *testing.T) {
		c := newStopCase("d", true)
		c.slots.decode = []sardineknot.BackendServerName{"d", "e"}
		c.runner.Slots = &delayedSlots{c.slots, 120 * time.Millisecond}
		c.engines.answers = []answer{{status: 200, body: one, err: errReset}, {status: 200, body: two}}
		time.AfterFunc(130*time.Millisecond, func() { c.stop(200 * time.Millisecond) })
		is := is.New(t)
		is.NoErr(c.run(t))
		is.Equal(c.writer.got(), one+two)
	})
	runStopCase(t, "an engine may have run it", func(t *testing.T) {
		c := newStopCase("d", true)
		c.slots.decode = []sardineknot.BackendServerName{"d", "e"}
		c.engines.answers = []answer{{status: 200, err: errReset}, {status: 200, body: one}}
		c.slots.onGrant = map[sardineknot.BackendServerName]func(){"e": func() { c.stop(150 * time.Millisecond) }}
		is := is.New(t)
		is.NoErr(c.run(t))
		is.Equal(c.writer.got(), one)
	})
}
