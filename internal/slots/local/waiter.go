package local

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

// errOwnerChanged is the cause of the UnavailableError with which waiting
// requests fail when their shard is closed. Shards are closed when another host
// becomes their owner.
var errOwnerChanged = errors.New("another host became the owner of the shard")

// waiter holds the decisions about one job and lets requests wait for them.
type waiter struct {
	mu sync.Mutex
	// job is the job as its current holder last sent it.
	job sardineknot.Job
	// servers holds the server chosen for each action.
	servers map[sardineknot.Action]sardineknot.BackendServerName
	// refusal is set when the job is refused, and nil before.
	refusal *sardineknot.NotRunError
	// changed is closed and replaced by every decision.
	changed chan struct{}
}

func newWaiter(j sardineknot.Job) *waiter {
	return &waiter{
		job:     j,
		servers: make(map[sardineknot.Action]sardineknot.BackendServerName),
		changed: make(chan struct{}),
	}
}

// record records a decision. Only the first decision for each action has
// effect.
func (w *waiter) record(decision sardineknot.Decision) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case decision.Action == sardineknot.ActionRefuse:
		w.refusal = &sardineknot.NotRunError{Reason: decision.Reason, RetryAfter: decision.RetryAfter}
	case w.servers[decision.Action] == "":
		w.servers[decision.Action] = decision.Server
	}
	close(w.changed)
	w.changed = make(chan struct{})
}

// setGrant records the engines that an earlier owner granted.
func (w *waiter) setGrant(grant sardineknot.Grant) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.servers[sardineknot.ActionPrefill] = grant.PrefillEngine
	w.servers[sardineknot.ActionDecode] = grant.DecodeEngine
}

func (w *waiter) setJob(latest sardineknot.Job) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.job = latest
}

func (w *waiter) currentJob() sardineknot.Job {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.job
}

// holder returns the entry host that holds the job.
func (w *waiter) holder() sardineknot.EntryHostID { return w.currentJob().Owner }

// server returns the server chosen for action, or the empty string.
func (w *waiter) server(action sardineknot.Action) sardineknot.BackendServerName {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.servers[action]
}

// wait waits until a server is chosen for action and returns it. It fails with
// a NotRunError if the job is refused, with an UnavailableError if the channel
// closed is closed, and with the error of ctx if ctx is done.
func (w *waiter) wait(ctx context.Context, closed <-chan struct{}, action sardineknot.Action) (sardineknot.BackendServerName, error) {
	for {
		w.mu.Lock()
		s, f, c := w.servers[action], w.refusal, w.changed
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
			return "", errors.WithStack(&sardineknot.UnavailableError{Peer: "owner of " + string(w.currentJob().Pool), Cause: errOwnerChanged})
		case <-ctx.Done():
			return "", errors.WithStack(ctx.Err())
		}
	}
}
