// Package release releases the claims of requests that were not dispatched. It
// retries each release until the ledger confirms it.
//
// A call that claims a request may take effect although it has failed for its
// caller, so the claim is released even if it may never have been recorded. The
// release is retried through any outage of the store. The ledger refuses a
// claim that arrives after its release.
package release

import (
	"context"
	"sync"
	"time"

	"sardineknot.example/sardineknot"
)

// retryInterval is the time between two attempts to release the pending claims.
const retryInterval = time.Second

// Queue holds the claims that one entry host has still to release. It is safe
// for concurrent use.
type Queue struct {
	ledger sardineknot.ClaimLedger
	clock  sardineknot.Clock
	// retention is the time for which a request is remembered after the last
	// confirmed release of one of its claims.
	retention time.Duration

	mu sync.Mutex
	// byKey holds an item for each remembered request with a claim that was
	// added.
	byKey map[sardineknot.RequestKey]*item
	// wake wakes up Run. It has a buffer of one, so that senders never block.
	wake chan struct{}
}

// item holds the releases of one request.
type item struct {
	// pending holds the attempts whose claims are not confirmed as released
	// yet.
	pending []sardineknot.ClaimAttempt
	// releasedAt is the time of the last confirmed release.
	releasedAt time.Time
}

// NewQueue returns an empty queue that releases claims in l. The queue
// remembers a request until retention has passed since the last release of its
// claims.
func NewQueue(l sardineknot.ClaimLedger, c sardineknot.Clock, retention time.Duration) *Queue {
	return &Queue{
		ledger:    l,
		clock:     c,
		retention: retention,
		byKey:     make(map[sardineknot.RequestKey]*item),
		wake:      make(chan struct{}, 1),
	}
}

// Add queues the release of the claim of attempt. The request must neither have
// been dispatched under this claim nor be dispatched under it later.
func (q *Queue) Add(attempt sardineknot.ClaimAttempt) {
	q.mu.Lock()
	defer q.mu.Unlock()
	e := q.byKey[attempt.Key]
	if e == nil {
		e = &item{}
		q.byKey[attempt.Key] = e
	}
	e.pending = append(e.pending, attempt)
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// Flush immediately releases the pending claims of the request with the given
// key. known reports whether a claim of the request was added and is still
// remembered.
func (q *Queue) Flush(ctx context.Context, key sardineknot.RequestKey) (known bool, err error) {
	l, ok := q.pendingAttempts(key)
	for _, a := range l {
		err = q.ledger.Release(ctx, a)
		if err != nil {
			return ok, err
		}
		q.confirm(a)
	}
	return ok, nil
}

// Run releases pending claims until ctx is done.
func (q *Queue) Run(ctx context.Context) error {
	t := time.NewTicker(retryInterval)
	defer t.Stop()
	for {
		q.releasePending(ctx)
		select {
		case <-q.wake:
		case <-t.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// releasePending releases the pending claims, up to the first failure.
func (q *Queue) releasePending(ctx context.Context) {
	for _, k := range q.pendingKeys() {
		_, err := q.Flush(ctx, k)
		if err != nil {
			return
		}
	}
}

// pendingKeys returns the requests with pending attempts, and removes the items
// whose retention time has passed.
func (q *Queue) pendingKeys() []sardineknot.RequestKey {
	q.mu.Lock()
	defer q.mu.Unlock()
	var l []sardineknot.RequestKey
	t := q.clock.Now().Add(-q.retention)
	for k, e := range q.byKey {
		switch {
		case len(e.pending) > 0:
			l = append(l, k)
		case e.releasedAt.Before(t):
			delete(q.byKey, k)
		}
	}
	return l
}

func (q *Queue) pendingAttempts(key sardineknot.RequestKey) ([]sardineknot.ClaimAttempt, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	e := q.byKey[key]
	if e == nil {
		return nil, false
	}
	return append([]sardineknot.ClaimAttempt(nil), e.pending...), true
}

func (q *Queue) confirm(attempt sardineknot.ClaimAttempt) {
	q.mu.Lock()
	defer q.mu.Unlock()
	e := q.byKey[attempt.Key]
	if e == nil {
		return
	}
	e.releasedAt = q.clock.Now()
	for i, p := range e.pending {
		if p == attempt {
			e.pending = append(e.pending[:i:i], e.pending[i+1:]...)
			return
		}
	}
}
