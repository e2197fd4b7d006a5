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
	// ownDelay is the time beyond that of streams after which a host deletes a segment
	// that it has written itself. The host that ranks first for segments does so before,
	// unless it is of an earlier build, which does not support them.
	ownDelay = 3 * cleanInterval
)

// cleaner deletes old segments. The zero value has none.
type cleaner struct {
	mu sync.Mutex
	// until is the time until which there may be segments, as far as this host has seen.
	until time.Time
	// own holds the time of the last write to each segment of this host.
	own map[string]time.Time

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

// markOwn records that this host writes the segment under key.
func (k *Keeper) markOwn(key string) {
	k.markSegments()
	c := &k.cleaner
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.own == nil {
		c.own = make(map[string]time.Time)
	}
	c.own[key] = k.Clock.Now()
}

// HasSegments reports whether there may be segments, as far as this host has seen.
func (k *Keeper) HasSegments() bool {
	c := &k.cleaner
	c.mu.Lock()
	defer c.mu.Unlock()
	return k.Clock.Now().Before(c.until)
}

// clean deletes the segments that were last written before any stream whose caller
// can return began, if this host ranks first for segments. Ages are measured by
// this host's clock from its first look at a revision, so that a segment may stay
// longer but never goes early.
func (k *Keeper) clean(ctx context.Context) {
	c := &k.cleaner
	n := k.Clock.Now()
	if n.Sub(c.cleanedAt) < cleanInterval {
		return
	}
	c.cleanedAt = n
	k.cleanOwn(ctx, n)
	if !k.HasSegments() || !k.owns(segmentPrefix) {
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

// cleanOwn deletes the old segments of this host that are still there.
func (k *Keeper) cleanOwn(ctx context.Context, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for _, s := range k.oldOwn(now) {
		e, err := k.Store.Get(ctx, s)
		if err == nil && !e.Revision.Absent() {
			err = k.Store.Delete(ctx, s, e.Revision)
		}
		if err != nil {
			k.Log.Warn().Stringer("event", sardineknot.LogVersionsNotWritten).Str("key", s).Err(err).Send()
			return
		}
		c := &k.cleaner
		c.mu.Lock()
		delete(c.own, s)
		c.mu.Unlock()
	}
}

// oldOwn returns at most maxDeletions old segments of this host.
func (k *Keeper) oldOwn(now time.Time) (l []string) {
	t := k.StreamTime() + ownDelay
	c := &k.cleaner
	c.mu.Lock()
	defer c.mu.Unlock()
	for s, w := range c.own {
		if now.Sub(w) > t && len(l) < maxDeletions {
			l = append(l, s)
		}
	}
	return l
}
