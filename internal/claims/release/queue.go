// Package release gives up claims that were never dispatched, until the ledger
// has confirmed it.
//
// The claim of an attempt may take effect after the attempt has failed. Its
// release is therefore repeated until it succeeds, through any outage of the
// store; the ledger refuses a claim that arrives after its release.
package release

import (
	"context"
	"sync"
	"time"

	"sardineknot.example/sardineknot"
)

// pause is the time between two passes over pending releases.
const pause = time.Second

// Queue holds the claims that one entry host gave up. It is safe for
// concurrent use.
type Queue struct {
	ledger sardineknot.ClaimLedger
	clock  sardineknot.Clock
	// retention is the time for which a released request is remembered.
	retention time.Duration

	mu sync.Mutex
	// byKey holds an item for each request that was given up.
	byKey map[sardineknot.RequestKey]*item
	// added has room for one wake-up of Run.
	added chan struct{}
}

// item is what is known about one request.
type item struct {
	// pending holds the attempts whose release is not confirmed.
	pending []sardineknot.ClaimAttempt
	// released is the time of the last confirmation.
	released time.Time
}

// NewQueue returns an empty queue that releases in l. A released request is
// remembered for retention.
func NewQueue(l sardineknot.ClaimLedger, c sardineknot.Clock, retention time.Duration) *Queue {
	return &Queue{
		ledger:    l,
		clock:     c,
		retention: retention,
		byKey:     make(map[sardineknot.RequestKey]*item),
		added:     make(chan struct{}, 1),
	}
}

// Add gives up a, which was not and will not be dispatched.
func (q *Queue) Add(a sardineknot.ClaimAttempt) {
	q.mu.Lock()
	defer q.mu.Unlock()
	e := q.byKey[a.Key]
	if e == nil {
		e = &item{}
		q.byKey[a.Key] = e
	}
	e.pending = append(e.pending, a)
	select {
	case q.added <- struct{}{}:
	default:
	}
}

// Flush releases the pending attempts of k now. known reports whether an
// attempt of k was given up.
func (q *Queue) Flush(ctx context.Context, k sardineknot.RequestKey) (known bool, err error) {
	l, ok := q.pending(k)
	for _, a := range l {
		err = q.ledger.Release(ctx, a)
		if err != nil {
			return ok, err
		}
		q.confirm(a)
	}
	return ok, nil
}

// Run releases until ctx is done.
func (q *Queue) Run(ctx context.Context) error {
	t := time.NewTicker(pause)
	defer t.Stop()
	for {
		q.pass(ctx)
		select {
		case <-q.added:
		case <-t.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// pass releases what is pending, up to the first failure.
func (q *Queue) pass(ctx context.Context) {
	for _, k := range q.keys() {
		_, err := q.Flush(ctx, k)
		if err != nil {
			return
		}
	}
}

// keys returns the requests with pending attempts and forgets old ones.
func (q *Queue) keys() []sardineknot.RequestKey {
	q.mu.Lock()
	defer q.mu.Unlock()
	var l []sardineknot.RequestKey
	t := q.clock.Now().Add(-q.retention)
	for k, e := range q.byKey {
		switch {
		case len(e.pending) > 0:
			l = append(l, k)
		case e.released.Before(t):
			delete(q.byKey, k)
		}
	}
	return l
}

func (q *Queue) pending(k sardineknot.RequestKey) ([]sardineknot.ClaimAttempt, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	e := q.byKey[k]
	if e == nil {
		return nil, false
	}
	return append([]sardineknot.ClaimAttempt(nil), e.pending...), true
}

func (q *Queue) confirm(a sardineknot.ClaimAttempt) {
	q.mu.Lock()
	defer q.mu.Unlock()
	e := q.byKey[a.Key]
	if e == nil {
		return
	}
	e.released = q.clock.Now()
	for i, p := range e.pending {
		if p == a {
			e.pending = append(e.pending[:i:i], e.pending[i+1:]...)
			return
		}
	}
}
