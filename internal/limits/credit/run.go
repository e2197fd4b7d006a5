package credit

import (
	"context"
	"time"

	"sardineknot.example/sardineknot"
)

const (
	// returnInterval is the time between two searches for unused cost.
	returnInterval = 250 * time.Millisecond
	// maxReturns bounds the messages that one search causes.
	maxReturns = 64
)

// Run returns cost that is not used in time to the owners, until ctx is done.
func (l *Limiter) Run(ctx context.Context) error {
	t := time.NewTicker(returnInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			l.giveBack(ctx)
		case <-ctx.Done():
			return nil
		}
	}
}

// giveBack returns the unused cost of at most maxReturns accounts.
func (l *Limiter) giveBack(ctx context.Context) {
	var r []sardineknot.CostRequest
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		for n, a := range s.accounts {
			if len(r) >= maxReturns {
				break
			}
			if q, ok := a.idle(n, l.Clock.Now()); ok {
				r = append(r, q)
			}
		}
		s.mu.Unlock()
	}
	for _, q := range r {
		// Cost that does not reach the owner is lost, which is on the safe side.
		_, _ = l.Source.Borrow(ctx, q)
	}
}
