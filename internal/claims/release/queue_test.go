package release

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

// systemClock is a sardineknot.Clock.
type systemClock struct{}

// Now returns the virtual time within a synctest bubble.
func (systemClock) Now() time.Time { return time.Now() }

// ledger is a fake ClaimLedger that counts the releases of each attempt.
// Release fails while down is set.
type ledger struct {
	sardineknot.ClaimLedger
	mu       sync.Mutex
	down     bool
	released map[sardineknot.ClaimAttempt]int
}

func (l *ledger) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// expectReleased checks how often attempt was released.
func (l *ledger) expectReleased(t *testing.T, attempt sardineknot.ClaimAttempt, count int) {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	is.New(t).Equal(l.released[attempt], count)
}

func (l *ledger) Release(_ context.Context, attempt sardineknot.ClaimAttempt) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return errors.New("store down")
	}
	l.released[attempt]++
	return nil
}

func attempt(nonce uint64) sardineknot.ClaimAttempt {
	return sardineknot.ClaimAttempt{Key: sardineknot.RequestKey{ID: "r"}, Nonce: nonce}
}

// inBubble runs f in a synctest bubble with a running queue.
func inBubble(t *testing.T, name string, f func(t *testing.T, q *Queue, l *ledger)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			l := &ledger{released: make(map[sardineknot.ClaimAttempt]int)}
			q := NewQueue(l, systemClock{}, time.Minute)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go q.Run(ctx)
			f(t, q, l)
		})
	})
}

// expectKnown flushes the queue and checks whether the request is known.
func expectKnown(t *testing.T, q *Queue, known bool) {
	t.Helper()
	i := is.New(t)
	ok, err := q.Flush(context.Background(), attempt(0).Key)
	i.NoErr(err)
	i.Equal(ok, known)
}

func TestQueue(t *testing.T) {
	inBubble(t, "releases once", func(t *testing.T, q *Queue, l *ledger) {
		q.Add(attempt(1))
		q.Add(attempt(2))
		time.Sleep(10 * time.Second)
		l.expectReleased(t, attempt(1), 1)
		l.expectReleased(t, attempt(2), 1)
	})
	inBubble(t, "retries through an outage", func(t *testing.T, q *Queue, l *ledger) {
		l.setDown(true)
		q.Add(attempt(1))
		time.Sleep(time.Hour)
		l.setDown(false)
		time.Sleep(2 * retryInterval)
		l.expectReleased(t, attempt(1), 1)
	})
	inBubble(t, "remembers requests for the retention time", func(t *testing.T, q *Queue, _ *ledger) {
		expectKnown(t, q, false)
		q.Add(attempt(1))
		expectKnown(t, q, true)
		time.Sleep(time.Minute / 2)
		expectKnown(t, q, true)
		time.Sleep(time.Minute)
		expectKnown(t, q, false)
	})
	inBubble(t, "fails while the store is down", func(t *testing.T, q *Queue, l *ledger) {
		l.setDown(true)
		q.Add(attempt(1))
		_, err := q.Flush(context.Background(), attempt(1).Key)
		is.New(t).True(err != nil)
	})
}
