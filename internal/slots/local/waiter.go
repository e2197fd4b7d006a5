package local

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

// errClosed is the cause of the UnavailableError of a shard that moved.
var errClosed = errors.New("the shard has moved")

// waiter collects the decisions about one job.
type waiter struct {
	mu sync.Mutex
	// job is the job with its present holder.
	job sardineknot.Job
	// servers holds the server decided for each action.
	servers map[sardineknot.Action]sardineknot.BackendServerName
	// refusal is not nil once the job is refused.
	refusal *sardineknot.NotRunError
	// changed is closed and replaced at every decision.
	changed chan struct{}
}

func newWaiter(j sardineknot.Job) *waiter {
	return &waiter{
		job:     j,
		servers: make(map[sardineknot.Action]sardineknot.BackendServerName),
		changed: make(chan struct{}),
	}
}

// decide takes the first decision for each action.
func (w *waiter) decide(d sardineknot.Decision) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case d.Action == sardineknot.ActionRefuse:
		w.refusal = &sardineknot.NotRunError{Reason: d.Reason, RetryAfter: d.RetryAfter}
	case w.servers[d.Action] == "":
		w.servers[d.Action] = d.Server
	}
	close(w.changed)
	w.changed = make(chan struct{})
}

// adopt takes the engines that an earlier owner granted.
func (w *waiter) adopt(g sardineknot.Grant) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.servers[sardineknot.ActionPrefill] = g.Prefill
	w.servers[sardineknot.ActionDecode] = g.Decode
}

func (w *waiter) setJob(j sardineknot.Job) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.job = j
}

func (w *waiter) heldJob() sardineknot.Job {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.job
}

func (w *waiter) holder() sardineknot.EntryHostID { return w.heldJob().Owner }

// decided returns the server decided for a, or the empty string.
func (w *waiter) decided(a sardineknot.Action) sardineknot.BackendServerName {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.servers[a]
}

// wait returns the server decided for a. It fails with a NotRunError if the
// job is refused, with an UnavailableError when closed is closed, and with the
// error of ctx.
func (w *waiter) wait(ctx context.Context, closed <-chan struct{}, a sardineknot.Action) (sardineknot.BackendServerName, error) {
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
		case <-closed:
			return "", errors.WithStack(&sardineknot.UnavailableError{Peer: "owner of " + string(w.heldJob().Pool), Cause: errClosed})
		case <-ctx.Done():
			return "", errors.WithStack(ctx.Err())
		}
	}
}
