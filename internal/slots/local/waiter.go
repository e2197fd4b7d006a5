package local

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

// waiter collects the decisions about one job.
type waiter struct {
	mu sync.Mutex
	// servers holds the server decided for each action.
	servers map[sardineknot.Action]sardineknot.BackendServerName
	// refusal is not nil once the job is refused.
	refusal *sardineknot.NotRunError
	// changed is closed and replaced at every decision.
	changed chan struct{}
}

func newWaiter() *waiter {
	return &waiter{
		servers: make(map[sardineknot.Action]sardineknot.BackendServerName),
		changed: make(chan struct{}),
	}
}

func (w *waiter) decide(d sardineknot.Decision) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if d.Action == sardineknot.ActionRefuse {
		w.refusal = &sardineknot.NotRunError{Reason: d.Reason, RetryAfter: d.RetryAfter}
	} else {
		w.servers[d.Action] = d.Server
	}
	close(w.changed)
	w.changed = make(chan struct{})
}

// decided returns the server decided for a, or the empty string.
func (w *waiter) decided(a sardineknot.Action) sardineknot.BackendServerName {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.servers[a]
}

// wait returns the server decided for a. It fails with a NotRunError if the
// job is refused and with the error of ctx.
func (w *waiter) wait(ctx context.Context, a sardineknot.Action) (sardineknot.BackendServerName, error) {
	for {
		w.mu.Lock()
		s, f, c := w.servers[a], w.refusal, w.changed
		w.mu.Unlock()
		if s != "" {
			return s, nil
		}
		if f != nil {
			return "", errors.WithStack(f)
		}
		select {
		case <-c:
		case <-ctx.Done():
			return "", errors.WithStack(ctx.Err())
		}
	}
}
