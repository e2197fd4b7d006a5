package store

import (
	"context"
	"sync"
	"time"

	"sardineknot.example/sardineknot"
)

const (
	// cleanInterval is the time between two searches for old segments.
	cleanInterval = 5 * time.Second
	// maxDeletions bounds the segments that one search deletes.
	maxDeletions = 8
)

// cleaner deletes old segments. The zero value knows of none.
type cleaner struct {
	mu sync.Mutex
	// until is the time until which there may be segments, as far as this host knows.
	until time.Time

	// cleanedAt is the time of the last search, and seen holds the segments that it
	// has found. Only clean uses them.
	cleanedAt time.Time
	seen      map[string]seenSegment
}

// seenSegment is a segment that has had a revision since the given time at least.
type seenSegment struct {
	revision sardineknot.StoreRevision
	since    time.Time
}

// markSegments records that there may be segments until all that may be there now are
// deleted.
func (k *Keeper) markSegments() {
	c := &k.cleaner
	t := k.Clock.Now().Add(k.StreamTime() + 2*cleanInterval)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.until = t
}

// HasSegments reports whether there may be segments, as far as this host knows.
func (k *Keeper) HasSegments() bool {
	c := &k.cleaner
	c.mu.Lock()
	defer c.mu.Unlock()
	return k.Clock.Now().Before(c.until)
}

// clean deletes the segments that were last written before any stream whose caller
// can come back began, if this host ranks first for segments. Ages are measured by
// this host's clock from its first look at a revision, so that a segment may stay
// longer but never goes early.
func (k *Keeper) clean(ctx context.Context) {
	c := &k.cleaner
	n := k.Clock.Now()
	if !k.HasSegments() || n.Sub(c.cleanedAt) < cleanInterval {
		return
	}
	c.cleanedAt = n
	if !k.owns(segmentPrefix) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	l, err := k.Store.Keys(ctx, segmentPrefix)
	if err != nil {
		k.Log.Warn().Stringer("event", sardineknot.LogVersionsNotRead).Str("key", segmentPrefix).Err(err).Send()
		return
	}
	m := make(map[string]seenSegment)
	d := 0
	for _, e := range l {
		s, ok := c.seen[e.Key]
		if !ok || s.revision != e.Revision {
			s = seenSegment{revision: e.Revision, since: n}
		}
		m[e.Key] = s
		if n.Sub(s.since) <= k.StreamTime() || d >= maxDeletions {
			continue
		}
		d++
		if err := k.Store.Delete(ctx, e.Key, e.Revision); err != nil {
			k.Log.Warn().Stringer("event", sardineknot.LogVersionsNotWritten).Str("key", e.Key).Err(err).Send()
		}
	}
	c.seen = m
	if len(l) > 0 {
		k.markSegments()
	}
}
