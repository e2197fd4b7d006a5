package cancel_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/answer/cancel"
)

// engine is a fake engine whose Cancel fails before the time until. It holds a
// request of this host and one of another host.
type engine struct {
	sardineknot.EngineClient
	until time.Time

	mu        sync.Mutex
	cancelled []string
}

func (e *engine) Cancel(_ context.Context, _ sardineknot.BackendServer, k string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Now().Before(e.until) {
		return &sardineknot.UnavailableError{Peer: "d", Cause: context.DeadlineExceeded}
	}
	e.cancelled = append(e.cancelled, k)
	return nil
}

func (*engine) HeldRequests(context.Context, sardineknot.BackendServer) ([]sardineknot.HeldRequest, error) {
	return []sardineknot.HeldRequest{{EngineRequestID: "own", Owner: "self"}, {EngineRequestID: "adopted", Owner: "other"}}, nil
}

// run runs f in a synctest bubble with an engine that fails cancellations for
// the duration outage.
func run(t *testing.T, name string, outage time.Duration, f func(*testing.T, *cancel.Queue, *engine)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			e := &engine{until: time.Now().Add(outage)}
			f(t, &cancel.Queue{Self: "self", Engine: e, Log: zerolog.Nop()}, e)
		})
	})
}

// checkCancels cancels the requests with the given keys, waits until the queue
// is done with all of them, and checks which requests the engine has cancelled.
func checkCancels(t *testing.T, q *cancel.Queue, e *engine, checked bool, keys []string, want ...string) {
	t.Helper()
	n := 0
	d := make(chan struct{}, len(keys))
	for _, k := range keys {
		q.Cancel(sardineknot.BackendServer{Name: "d"}, k, checked, func() { d <- struct{}{} })
	}
	for range keys {
		<-d
		n++
	}
	synctest.Wait()
	is.New(t).Equal(n, len(keys))
	is.New(t).Equal(e.cancelled, want)
	is.New(t).Equal(q.Pending(), 0)
}

func TestCancel(t *testing.T) {
	run(t, "is retried until the engine confirms", 30*time.Second, func(t *testing.T, q *cancel.Queue, e *engine) {
		checkCancels(t, q, e, false, []string{"own"}, "own")
	})
	run(t, "is given up after the last attempt", time.Hour, func(t *testing.T, q *cancel.Queue, e *engine) {
		checkCancels(t, q, e, false, []string{"own"})
	})
	run(t, "does not cancel a request that another host has taken over", 0, func(t *testing.T, q *cancel.Queue, e *engine) {
		checkCancels(t, q, e, true, []string{"adopted", "unknown"})
	})
	run(t, "cancels a request of this host after the check", 0, func(t *testing.T, q *cancel.Queue, e *engine) {
		checkCancels(t, q, e, true, []string{"own"}, "own")
	})
	run(t, "is bounded in number", time.Hour, func(t *testing.T, q *cancel.Queue, _ *engine) {
		for i := range 10000 {
			q.Cancel(sardineknot.BackendServer{Name: "d"}, fmt.Sprint(i), false, func() {})
		}
		is.New(t).True(q.Pending() < 5000)
		time.Sleep(time.Hour)
		synctest.Wait()
		is.New(t).Equal(q.Pending(), 0)
	})
}
