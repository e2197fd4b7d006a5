// Package mirror follows the keys of the platform's key-value service and
// reports their changes.
//
// After each answer of the service the mirror pauses, so that frequent small
// changes are batched into few calls. If the service has discarded changes that
// the mirror has not read yet, the mirror reads all keys again. It does so too if
// the service came back from an older copy, which begins a new era; the mirror
// never goes back to an earlier one.
package mirror

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"sardineknot.example/sardineknot"
)

const (
	// longPollTimeout is the maximum time for which the service holds a call
	// while there are no changes.
	longPollTimeout = time.Second
	// minBackoff and maxBackoff bound the delay after a failed call. The delay
	// doubles with each consecutive failure.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
)

// storePeer is the name of the service in errors.
const storePeer = "key-value service"

// Mirror follows all keys of the service. It is safe for concurrent use. The
// exported fields must be set before Run is called.
type Mirror struct {
	// Feed reads from the key-value service. It bounds the time of each call.
	Feed sardineknot.ChangeFeed
	// Clock provides the current time.
	Clock sardineknot.Clock
	// Sleep waits for a duration, or returns an error when the context is done.
	Sleep func(context.Context, time.Duration) error
	// PollDelay returns the delay between a successful call and the next one.
	PollDelay func() time.Duration
	// Log receives an event when the service becomes unavailable, becomes
	// available again, or has discarded changes that the mirror needs.
	Log zerolog.Logger
	// OnChange is called with each changed entry, from a single goroutine. An
	// entry without a revision number was removed.
	OnChange func(sardineknot.StoreEntry)
	// OnBatch is called after each batch of changes, which may be empty, from
	// the goroutine that calls OnChange. All changes up to revision were
	// reported.
	OnBatch func(revision sardineknot.StoreRevision)
	// OnRestore is called, from the same goroutine, when the service has come
	// back from an older copy, before the entries of the new era are reported.
	OnRestore func(era sardineknot.StoreEra)
	// Restores counts the calls of OnRestore.
	Restores metrics.Counter
	// List, if set, reads the entries of Prefix before all keys are read for the first
	// time. They are reported to OnChange. After that, OnList is called; it returns how
	// long to wait before they are read once more, or zero to go on. calls is the number
	// of its earlier calls.
	List   func(ctx context.Context, prefix string) ([]sardineknot.StoreEntry, error)
	Prefix string
	OnList func(calls int) time.Duration

	mu sync.Mutex
	// reachabilityChanged is the time at which reachable last changed, or at
	// which a new era was found.
	reachabilityChanged time.Time
	reachable           bool
	refreshes           refreshes

	// entries holds the entries of all keys, without their values. loaded
	// reports whether they were read at least once. Only Run uses both.
	entries map[string]sardineknot.StoreEntry
	loaded  bool
	// lists is the number of calls of List that succeeded, listedAt the time of the
	// last one, and listedEra the latest era of its entries. Only Run uses them.
	lists     int
	listedAt  time.Time
	listedEra sardineknot.StoreEra
}

// Reachability reports whether the service answers. since is the time at which
// it last started or stopped answering, or zero if it has not answered yet. A
// return from an older copy counts as a new start.
func (m *Mirror) Reachability() (reachable bool, since time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reachable, m.reachabilityChanged
}

// Run follows the service until ctx is done.
func (m *Mirror) Run(ctx context.Context) error {
	m.entries = make(map[string]sardineknot.StoreEntry)
	p := minBackoff
	var at sardineknot.StoreRevision
	for ctx.Err() == nil {
		var l []chan error
		if !at.Absent() {
			l = m.takeRefreshes(ctx)
		}
		n, err := m.poll(ctx, at, len(l) > 0)
		if ctx.Err() != nil {
			return nil
		}
		var i *interruptedError
		if errors.As(err, &i) {
			continue
		}
		m.finishRefreshes(l, err)
		if m.isIsolatedFailure(len(l) > 0, err) {
			continue
		}
		m.recordReachability(err)
		var c *sardineknot.CompactedError
		switch {
		case err == nil:
			at, p = n, minBackoff
			m.pause(ctx)
		case errors.As(err, &c):
			at.Number = 0
		default:
			_ = m.Sleep(ctx, p)
			p = min(2*p, maxBackoff)
		}
	}
	return nil
}

// pause waits between two polls, unless a call of Refresh waits.
func (m *Mirror) pause(ctx context.Context) {
	ctx, cancel := m.interruptible(ctx)
	defer cancel()
	_ = m.Sleep(ctx, m.PollDelay())
}

// poll reads the changes made after revision, or all keys if revision has no
// number. It returns the revision to pass to the next call. If current is set, it reads
// what there is and does not wait for changes.
func (m *Mirror) poll(ctx context.Context, revision sardineknot.StoreRevision, current bool) (sardineknot.StoreRevision, error) {
	if revision.Absent() {
		return m.loadSnapshot(ctx, revision.Era)
	}
	l, n, err := m.next(ctx, revision, current)
	if err != nil {
		return revision, err
	}
	if n.Era != revision.Era {
		return revision, errors.WithStack(&sardineknot.CompactedError{After: revision})
	}
	for _, e := range l {
		m.apply(e)
	}
	m.OnBatch(n)
	return n, nil
}

// next reads the changes made after revision. Unless current is set, it waits for them,
// and fails with an interruptedError if a call of Refresh ends the wait.
func (m *Mirror) next(ctx context.Context, revision sardineknot.StoreRevision, current bool) ([]sardineknot.StoreEntry, sardineknot.StoreRevision, error) {
	if current {
		return m.Feed.Next(ctx, revision, 0)
	}
	c, cancel := m.interruptible(ctx)
	defer cancel()
	l, n, err := m.Feed.Next(c, revision, longPollTimeout)
	if err != nil && c.Err() != nil {
		err = errors.WithStack(&interruptedError{})
	}
	return l, n, err
}

// loadSnapshot reads all keys and reports those that changed or were removed
// since the last read, which was of the given era. It returns the revision to
// pass to the next call of poll. It fails with a StaleEraError if what was read
// is of an earlier era.
func (m *Mirror) loadSnapshot(ctx context.Context, era sardineknot.StoreEra) (sardineknot.StoreRevision, error) {
	err := m.listPrefix(ctx)
	if err != nil {
		return sardineknot.StoreRevision{}, err
	}
	l, n, err := m.Feed.Snapshot(ctx)
	if err != nil {
		return sardineknot.StoreRevision{}, err
	}
	era = max(era, m.listedEra)
	if n.Era < era {
		return sardineknot.StoreRevision{}, errors.WithStack(&sardineknot.StaleEraError{Got: n.Era, Latest: era})
	}
	if m.loaded && n.Era > era {
		m.beginEra(era, n.Era)
	}
	m.loaded = true
	m.replace(l, n.Era)
	m.OnBatch(n)
	return n, nil
}

// replace reports the differences between entries, which were read in era and are
// complete, and those that are known.
func (m *Mirror) replace(entries []sardineknot.StoreEntry, era sardineknot.StoreEra) {
	k := make(map[string]bool, len(entries))
	for _, e := range entries {
		k[e.Key] = true
		m.apply(e)
	}
	for s := range m.entries {
		if !k[s] {
			m.apply(sardineknot.StoreEntry{Key: s, Revision: sardineknot.StoreRevision{Era: era}})
		}
	}
}

// beginEra records that the service has come back from an older copy. Entries
// that it lost are then treated as those that lapsed during an outage.
func (m *Mirror) beginEra(previous, era sardineknot.StoreEra) {
	m.mu.Lock()
	m.reachabilityChanged = m.Clock.Now()
	m.refreshes.regainedAt = m.reachabilityChanged
	m.mu.Unlock()
	m.Restores.Inc(1)
	m.Log.Warn().Stringer("event", sardineknot.LogStoreRestored).Int64("old_era", int64(previous)).Int64("new_era", int64(era)).Send()
	m.OnRestore(era)
}

// apply records e and passes it to OnChange. It ignores an entry whose revision
// is not greater than the known one, but always reports a removal.
func (m *Mirror) apply(e sardineknot.StoreEntry) {
	o := m.entries[e.Key]
	switch {
	case e.Revision.Absent():
		delete(m.entries, e.Key)
	case e.Revision.Compare(o.Revision) <= 0:
		return
	default:
		m.entries[e.Key] = sardineknot.StoreEntry{Key: e.Key, Revision: e.Revision}
	}
	m.OnChange(e)
}

// recordReachability updates reachable from the result of a call and logs a
// change. A CompactedError counts as an answer.
func (m *Mirror) recordReachability(err error) {
	var c *sardineknot.CompactedError
	r := err == nil || errors.As(err, &c)
	m.mu.Lock()
	defer m.mu.Unlock()
	if c != nil {
		m.Log.Info().Stringer("event", sardineknot.LogStoreHistoryLost).Send()
	}
	if r == m.reachable {
		return
	}
	n := m.Clock.Now()
	if r && !m.reachabilityChanged.IsZero() {
		m.refreshes.regainedAt = n
	}
	m.reachable, m.reachabilityChanged = r, n
	if r {
		m.Log.Info().Stringer("event", sardineknot.LogStoreRegained).Send()
		return
	}
	m.Log.Warn().Stringer("event", sardineknot.LogStoreLost).Err(err).Send()
}
