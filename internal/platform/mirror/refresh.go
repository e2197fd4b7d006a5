package mirror

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

const (
	// refreshInterval is the least time between two polls for calls of Refresh. Calls
	// that arrive meanwhile share the next poll.
	refreshInterval = 100 * time.Millisecond
	// outageFailures is the number of such polls in succession whose failure shows that
	// the service does not answer. They time out sooner than others, so that a slow
	// answer alone does not end the use of the service.
	outageFailures = 2
	// returnTime is the time after the service has become available again in which
	// keys that expired during the outage may still be missing.
	returnTime = 2200 * time.Millisecond
)

// refreshes holds the calls of Refresh. It is guarded by Mirror.mu.
type refreshes struct {
	// waiting holds the calls that wait for the next poll. Each channel has room for
	// the result.
	waiting []chan error
	// interrupt ends the present pause or long poll. It is nil if there is none.
	interrupt context.CancelFunc
	// polledAt is the time of the last poll for such calls.
	polledAt time.Time
	// failures is the number of polls for such calls that have failed since the last poll
	// that succeeded. Only Run uses it.
	failures int
	// regainedAt is the time at which the service last became available again or
	// returned from an older copy. It is zero if it has not.
	regainedAt time.Time
}

// Refresh waits until all changes that were made before the call are reported. It
// fails with an UnavailableError if the service does not answer. It also does so for
// a short time after an outage, because the absence of a key proves nothing then.
func (m *Mirror) Refresh(ctx context.Context) error {
	c, err := m.requestPoll()
	if err != nil {
		return err
	}
	select {
	case err = <-c:
	case <-ctx.Done():
		err = ctx.Err()
	}
	if err != nil {
		return errors.WithStack(&sardineknot.UnavailableError{Peer: storePeer, Cause: err})
	}
	return nil
}

// requestPoll makes Run poll the service soon. The result of the poll is sent to the
// returned channel.
func (m *Mirror) requestPoll() (<-chan error, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.reachable {
		return nil, errors.WithStack(&sardineknot.UnavailableError{Peer: storePeer})
	}
	c := make(chan error, 1)
	m.refreshes.waiting = append(m.refreshes.waiting, c)
	if m.refreshes.interrupt != nil {
		m.refreshes.interrupt()
	}
	return c, nil
}

// interruptible returns a context that is done with ctx or as soon as a call of
// Refresh waits.
func (m *Mirror) interruptible(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refreshes.interrupt = cancel
	if len(m.refreshes.waiting) > 0 {
		cancel()
	}
	return ctx, cancel
}

// takeRefreshes returns the calls of Refresh that wait. If there are any, it first
// waits until the next poll for such calls is due.
func (m *Mirror) takeRefreshes(ctx context.Context) []chan error {
	d := m.refreshDelay()
	if d > 0 {
		_ = m.Sleep(ctx, d)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.refreshes.waiting
	m.refreshes.waiting = nil
	if len(l) > 0 {
		m.refreshes.polledAt = m.Clock.Now()
	}
	return l
}

// refreshDelay returns the time until the next poll for calls of Refresh is due. It is
// zero if no call waits.
func (m *Mirror) refreshDelay() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.refreshes.waiting) == 0 {
		return 0
	}
	return m.refreshes.polledAt.Add(refreshInterval).Sub(m.Clock.Now())
}

// finishRefreshes ends calls of Refresh with the result of the poll that was made for
// them. If the poll has found that all keys must be read, the calls wait for the one
// after that.
func (m *Mirror) finishRefreshes(calls []chan error, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var c *sardineknot.CompactedError
	if errors.As(err, &c) {
		m.refreshes.waiting = append(m.refreshes.waiting, calls...)
		return
	}
	if err == nil && !m.refreshes.regainedAt.IsZero() && m.Clock.Now().Sub(m.refreshes.regainedAt) < returnTime {
		err = errors.WithStack(&sardineknot.UnavailableError{Peer: storePeer})
	}
	for _, r := range calls {
		r <- err
	}
}

// isIsolatedFailure reports whether err, the result of a poll, is no reason to consider
// the service unavailable. refreshing is set if the poll was made for calls of Refresh.
func (m *Mirror) isIsolatedFailure(refreshing bool, err error) bool {
	var c *sardineknot.CompactedError
	if err == nil || errors.As(err, &c) {
		m.refreshes.failures = 0
		return false
	}
	if !refreshing {
		return false
	}
	m.refreshes.failures++
	return m.refreshes.failures < outageFailures
}

// interruptedError reports that a call of Refresh has ended a wait for changes.
type interruptedError struct{}

// Error implements error.
func (e *interruptedError) Error() string { return "the wait for changes was interrupted" }
