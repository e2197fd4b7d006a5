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
	"sardineknot.example/sardineknot/internal/caller/stopping"
	"sardineknot.example/sardineknot/internal/policy/streampace"
)

const (
	// quickPace and slowPace are the times for an event on the engine d and on e. A stream has
	// at most 50 events, so that it takes 2.5 s on d after its prefill and its first event.
	quickPace   = 50 * time.Millisecond
	slowPace    = 200 * time.Millisecond
	prefillTime = 200 * time.Millisecond
	firstTime   = 100 * time.Millisecond
	// closeMargin is the time before the close at which a stream must have ended.
	closeMargin = 100 * time.Millisecond
	// lateTime is the time before the close at which a stream on d is admitted during a stop at
	// the latest, and waitTime that for one that was admitted before.
	lateTime = prefillTime + 2*(firstTime+50*quickPace) + closeMargin
	waitTime = prefillTime + firstTime + 50*quickPace + closeMargin
)

// stopCase is a stream at a host that may be stopping.
type stopCase struct {
	engines *engines
	slots   *slots
	runner  *events.Runner
	call    *sardineknot.Call
	writer  *writer
}

// newStopCase returns a stream of a route that may be resumed or not. Its engine is granted.
func newStopCase(engine sardineknot.BackendServerName, resumable bool) *stopCase {
	c := &stopCase{engines: &engines{answers: []answer{{status: 200, body: one}}}, slots: &slots{decode: []sardineknot.BackendServerName{engine}}, call: newCall(resumable), writer: &writer{}}
	c.runner = newRunner(c.engines, c.slots)
	c.runner.Stop, c.runner.Paces = &stopping.Schedule{}, &streampace.Paces{}
	c.call.Deadline = c.call.ArrivedAt.Add(14 * time.Second)
	n, p := time.Now(), sardineknot.ServicePoolName("llm", "m")
	c.runner.Paces.RecordPrefill(n, p, prefillTime)
	c.runner.Paces.RecordFirst(n, p, firstTime)
	c.runner.Paces.RecordPace(n, p, "d", quickPace)
	c.runner.Paces.RecordPace(n, p, "e", slowPace)
	return c
}

// stop begins the stop of the host, which closes its connections after the given time.
func (c *stopCase) stop(duration time.Duration) {
	n := time.Now()
	c.runner.Stop.Begin(n, n.Add(duration))
}

// run runs the call, which ends with its deadline.
func (c *stopCase) run(t *testing.T) error {
	ctx, cancel := context.WithDeadline(t.Context(), c.call.Deadline)
	defer cancel()
	return c.runner.Run(ctx, c.call, c.writer)
}

// serves checks that the call is run and answered.
func (c *stopCase) serves(t *testing.T) {
	t.Helper()
	is := is.New(t)
	is.NoErr(c.run(t))
	is.Equal(c.writer.got(), one)
}

// refuses checks that the call is refused after the given time, that no engine has run it, and
// that its caller may retry at another host at once.
func (c *stopCase) refuses(t *testing.T, after time.Duration) {
	t.Helper()
	is := is.New(t)
	b := time.Now()
	err := c.run(t)
	var n *sardineknot.NotRunError
	is.True(errors.As(err, &n))
	is.Equal(n.RetryAfter, time.Duration(0))
	is.Equal(time.Since(b), after)
	is.Equal(len(c.engines.sends), 0)
	is.Equal(c.writer.status, 0)
}

// waitingSlots is a fake slot pool that grants nothing.
type waitingSlots struct{ *slots }

func (waitingSlots) Acquire(ctx context.Context, _ sardineknot.Job) (sardineknot.Grant, error) {
	<-ctx.Done()
	return sardineknot.Grant{}, errors.WithStack(ctx.Err())
}

// runStopCase runs test in virtual time.
func runStopCase(t *testing.T, name string, test func(t *testing.T)) {
	t.Run(name, func(t *testing.T) { synctest.Test(t, test) })
}

// TestLateStream guards against a stream that is admitted while its host stops although it may
// not end before the connections are closed, and against one that is refused although it ends.
func TestLateStream(t *testing.T) {
	runStopCase(t, "a stream that ends at half of the pace of its engine", func(t *testing.T) {
		c := newStopCase("d", false)
		c.stop(lateTime)
		c.serves(t)
	})
	runStopCase(t, "a stream that may not end", func(t *testing.T) {
		c := newStopCase("d", false)
		c.stop(lateTime - time.Millisecond)
		c.refuses(t, 0)
		is.New(t).Equal(len(c.slots.jobs), 0)
	})
	runStopCase(t, "one that may be resumed", func(t *testing.T) {
		c := newStopCase("d", true)
		c.stop(lateTime - time.Millisecond)
		c.refuses(t, 0)
	})
	runStopCase(t, "a short one still ends", func(t *testing.T) {
		c := newStopCase("d", false)
		c.call.Generation.MaxTokens = 11 // two events
		c.stop(prefillTime + 2*(firstTime+2*quickPace) + closeMargin)
		c.serves(t)
	})
	runStopCase(t, "one whose deadline comes before the close", func(t *testing.T) {
		c := newStopCase("e", false)
		c.call.Deadline = c.call.ArrivedAt.Add(time.Second)
		c.stop(1200 * time.Millisecond)
		c.serves(t)
	})
	runStopCase(t, "nothing is known of the pool", func(t *testing.T) {
		c := newStopCase("d", false)
		c.runner.Paces = &streampace.Paces{}
		c.stop(10 * time.Second)
		c.refuses(t, 0)
	})
	runStopCase(t, "its caller states no longest length", func(t *testing.T) {
		c := newStopCase("d", false)
		c.call.Generation.MaxTokens = 0
		c.stop(10 * time.Second)
		c.refuses(t, 0)
	})
	runStopCase(t, "the host is not stopping", func(t *testing.T) {
		c := newStopCase("e", false)
		c.runner.Paces = nil
		c.serves(t)
	})
}

// TestStopAfterGrant guards against a stream that goes to engines on which it may not end before
// its host closes its connections.
func TestStopAfterGrant(t *testing.T) {
	runStopCase(t, "the granted engine is slow", func(t *testing.T) {
		c := newStopCase("e", false)
		c.stop(lateTime)
		c.refuses(t, 0)
		is := is.New(t)
		is.Equal(c.engines.prefills, 0)
		is.Equal(c.slots.cancelledJobs(), 1)
	})
	runStopCase(t, "the prefill takes long", func(t *testing.T) {
		c := newStopCase("d", false)
		c.runner.Forwarder = &enginesWithHook{engines: c.engines, onPrefill: func() { time.Sleep(time.Second) }}
		c.stop(lateTime + time.Second - prefillTime - time.Millisecond)
		c.refuses(t, time.Second)
		is := is.New(t)
		is.Equal(c.slots.cancelledJobs(), 1)
		synctest.Wait()
		is.Equal(c.engines.released, 1)
	})
}

// TestStopDuringWait guards against a stream that waits for engines until its host closes its
// connections, and that gets no answer.
func TestStopDuringWait(t *testing.T) {
	waiting := func() *stopCase {
		c := newStopCase("d", false)
		c.runner.Slots = waitingSlots{c.slots}
		return c
	}
	runStopCase(t, "it can't end any more", func(t *testing.T) {
		c := waiting()
		time.AfterFunc(time.Second, func() { c.stop(waitTime - time.Millisecond) })
		c.refuses(t, time.Second)
	})
	runStopCase(t, "it waits while it can still end", func(t *testing.T) {
		c := waiting()
		time.AfterFunc(time.Second, func() { c.stop(waitTime + 3*time.Second) })
		c.refuses(t, 4*time.Second)
	})
	runStopCase(t, "a stream that may be resumed waits while it can begin", func(t *testing.T) {
		c := waiting()
		c.call.Route.Resumable = true
		time.AfterFunc(time.Second, func() { c.stop(3 * time.Second) })
		c.refuses(t, 4*time.Second-prefillTime-firstTime-closeMargin)
	})
	runStopCase(t, "one that may not is bounded by its longest length", func(t *testing.T) {
		c := waiting()
		c.call.Generation.ExpectedTokens = 300
		time.AfterFunc(time.Second, func() { c.stop(waitTime) })
		c.refuses(t, time.Second)
	})
	runStopCase(t, "nothing is known of the pool", func(t *testing.T) {
		c := waiting()
		c.runner.Paces = &streampace.Paces{}
		time.AfterFunc(time.Second, func() { c.stop(10 * time.Second) })
		c.refuses(t, time.Second)
	})
	runStopCase(t, "it was admitted during the stop", func(t *testing.T) {
		c := waiting()
		c.stop(10 * time.Second)
		c.refuses(t, 500*time.Millisecond)
	})
}
