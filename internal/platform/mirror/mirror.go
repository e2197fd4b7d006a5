// Package mirror keeps a copy of the platform's key-value service and tells of
// its changes.
//
// Changes are gathered: after each answer of the service the mirror pauses, so
// that frequent small changes cost few calls. If the service has discarded the
// changes that the mirror lacks, it reads everything again.
package mirror

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"sardineknot.example/sardineknot"
)

const (
	// wait is the longest time that the service holds a call without changes.
	wait = 2 * time.Second
	// waitMargin is the time beyond wait after which a call has failed.
	waitMargin = 600 * time.Millisecond
	// readTimeout bounds the reading of everything.
	readTimeout = 2 * time.Second
	// firstPause and maxPause bound the pause after a failed call.
	firstPause = 100 * time.Millisecond
	maxPause   = 400 * time.Millisecond
)

// Mirror is a copy of all keys. Its exported fields are set before Run. It is
// safe for concurrent use.
type Mirror struct {
	// Feed reads the service.
	Feed sardineknot.Feed
	// Clock gives the time.
	Clock sardineknot.Clock
	// Sleep waits for a duration, or returns an error when the context ends.
	Sleep func(context.Context, time.Duration) error
	// Pause returns the time between two calls that brought changes.
	Pause func() time.Duration
	// Log takes an event when the service is lost or regained.
	Log zerolog.Logger
	// Changed is called, by one goroutine, with each changed entry. An entry
	// with a zero revision is gone.
	Changed func(sardineknot.StoreEntry)
	// Settled is called after each group of changes.
	Settled func()

	mu sync.Mutex
	// contact is the time of the last transition between reachable and not.
	contact   time.Time
	reachable bool

	entries map[string]sardineknot.StoreEntry
}

// Contact reports whether the service answers, and since when this is so.
func (m *Mirror) Contact() (reachable bool, since time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reachable, m.contact
}

// Run follows the service until ctx is done.
func (m *Mirror) Run(ctx context.Context) error {
	m.entries = make(map[string]sardineknot.StoreEntry)
	p := firstPause
	var at sardineknot.StoreRevision
	for ctx.Err() == nil {
		n, err := m.step(ctx, at)
		if ctx.Err() != nil {
			return nil
		}
		m.note(err)
		var c *sardineknot.CompactedError
		switch {
		case err == nil:
			at, p = n, firstPause
			_ = m.Sleep(ctx, m.Pause())
		case errors.As(err, &c):
			at = 0
		default:
			_ = m.Sleep(ctx, p)
			p = min(2*p, maxPause)
		}
	}
	return nil
}

// step reads the changes after at, or everything if at is zero. It returns the
// revision to go on from.
func (m *Mirror) step(ctx context.Context, at sardineknot.StoreRevision) (sardineknot.StoreRevision, error) {
	if at == 0 {
		return m.load(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, wait+waitMargin)
	defer cancel()
	l, n, err := m.Feed.Next(ctx, at, wait)
	if err != nil {
		return at, err
	}
	for _, e := range l {
		m.apply(e)
	}
	m.Settled()
	return n, nil
}

func (m *Mirror) load(ctx context.Context) (sardineknot.StoreRevision, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	l, n, err := m.Feed.Snapshot(ctx)
	if err != nil {
		return 0, err
	}
	k := make(map[string]bool, len(l))
	for _, e := range l {
		k[e.Key] = true
		m.apply(e)
	}
	for s := range m.entries {
		if !k[s] {
			m.apply(sardineknot.StoreEntry{Key: s})
		}
	}
	m.Settled()
	return n, nil
}

// apply takes in e unless it is older than what is known.
func (m *Mirror) apply(e sardineknot.StoreEntry) {
	o := m.entries[e.Key]
	switch {
	case e.Revision == 0:
		delete(m.entries, e.Key)
	case e.Revision <= o.Revision:
		return
	default:
		m.entries[e.Key] = sardineknot.StoreEntry{Key: e.Key, Revision: e.Revision}
	}
	m.Changed(e)
}

// note takes in whether the service answered.
func (m *Mirror) note(err error) {
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
	m.reachable, m.contact = r, m.Clock.Now()
	if r {
		m.Log.Info().Stringer("event", sardineknot.LogStoreRegained).Send()
		return
	}
	m.Log.Warn().Stringer("event", sardineknot.LogStoreLost).Err(err).Send()
}
