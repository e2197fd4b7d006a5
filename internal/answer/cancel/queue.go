// Package cancel cancels requests on engines and retries each cancellation
// until the engine confirms it.
//
// The pending cancellations are bounded in number and time. A request whose
// cancellation is given up is left to the owner of the engine's pool shard,
// which cancels the requests that engines hold for jobs that have ended.
package cancel

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"sardineknot.example/sardineknot"
)

const (
	// maxPending bounds the number of pending cancellations.
	maxPending = 4096
	// maxAttempts bounds the attempts of one cancellation. With backoffs
	// between initialBackoff and maxBackoff, all attempts together take about a
	// minute.
	maxAttempts    = 60
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = time.Second
)

// Queue performs cancellations in the background. It is safe for concurrent
// use. All exported fields must be set before use.
type Queue struct {
	// Self is the identifier of this entry host.
	Self sardineknot.EntryHostID
	// Engine calls engines.
	Engine sardineknot.EngineClient
	// Log receives an event for each cancellation that is given up.
	Log zerolog.Logger

	mu sync.Mutex
	// pending is the set of pending cancellations.
	pending map[cancellation]bool
}

type cancellation struct {
	server    sardineknot.BackendServerName
	requestID string
}

// Cancel cancels a request on engine s in the background. engineRequestID
// identifies the request on the engine. If checked is true, a request that the
// engine holds for another entry host is not cancelled. done is called when the
// engine has confirmed the cancellation or the queue has given it up. The queue
// gives up a cancellation at once if the same one is already pending or if
// maxPending are pending.
func (q *Queue) Cancel(s sardineknot.BackendServer, engineRequestID string, checked bool, done func()) {
	i := cancellation{s.Name, engineRequestID}
	if !q.add(i) {
		done()
		return
	}
	go func() {
		defer done()
		defer q.remove(i)
		q.cancelWithRetry(s, engineRequestID, checked)
	}()
}

// Pending returns the number of pending cancellations.
func (q *Queue) Pending() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.pending)
}

func (q *Queue) cancelWithRetry(s sardineknot.BackendServer, engineRequestID string, checked bool) {
	p := initialBackoff
	for range maxAttempts {
		err := q.cancelOnce(s, engineRequestID, checked)
		if err == nil {
			return
		}
		time.Sleep(p)
		p = min(2*p, maxBackoff)
	}
	q.Log.Error().Stringer("event", sardineknot.LogCancelGivenUp).Str("server", string(s.Name)).Str("request", engineRequestID).Send()
}

func (q *Queue) cancelOnce(s sardineknot.BackendServer, engineRequestID string, checked bool) error {
	ctx := context.Background()
	if !checked {
		return q.Engine.Cancel(ctx, s, engineRequestID)
	}
	l, err := q.Engine.HeldRequests(ctx, s)
	if err != nil {
		return err
	}
	for _, h := range l {
		if h.EngineRequestID == engineRequestID && h.Owner == q.Self {
			return q.Engine.Cancel(ctx, s, engineRequestID)
		}
	}
	return nil
}

func (q *Queue) add(i cancellation) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.pending[i] || len(q.pending) >= maxPending {
		return false
	}
	if q.pending == nil {
		q.pending = make(map[cancellation]bool)
	}
	q.pending[i] = true
	return true
}

func (q *Queue) remove(i cancellation) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.pending, i)
}
