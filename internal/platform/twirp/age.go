package twirp

import (
	"time"

	"sardineknot.example/sardineknot"
)

// Commit makes the entries that were recorded visible to other hosts. They are complete
// up to revision and reflect the last answer. While a large value among them is still being
// read, they are held back: what other hosts get is always complete up to its revision.
func (f *Feed) Commit(revision sardineknot.StoreRevision) {
	c := !f.transfers.pending()
	switch {
	case !c:
		f.Entries.Hold()
	case f.snapshot:
		f.Entries.CommitSnapshot(revision)
		f.snapshot = false
	default:
		f.Entries.Commit(revision)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.currentAsOf = f.readAsOf
	if c {
		f.completeAsOf = f.readAsOf
	}
}

// ViewAge returns the time since the view of this host was last known to be current, large
// values included. It is zero before the first Commit.
func (f *Feed) ViewAge() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sinceLocked(f.completeAsOf)
}

// changesAge returns the same as ViewAge, but for large values that are being read.
func (f *Feed) changesAge() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ageLocked()
}

// Outdated reports whether changes may exist that should have reached this host by now.
func (f *Feed) Outdated() bool { return f.ViewAge() > f.Bound() }

func (f *Feed) ageLocked() time.Duration { return f.sinceLocked(f.currentAsOf) }

// sinceLocked returns the time since asOf, or zero if asOf is zero.
func (f *Feed) sinceLocked(asOf time.Time) time.Duration {
	if asOf.IsZero() {
		return 0
	}
	return f.Clock.Now().Sub(asOf)
}

// recordRead records that the answer of a read which ended with err shows the service as
// of the given time and up to revision. Answers of followers may be older than those
// before.
func (f *Feed) recordRead(asOf time.Time, revision sardineknot.StoreRevision, err error) {
	if err != nil {
		return
	}
	n := f.Clock.Now()
	if asOf.After(n) {
		asOf = n
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.readTo = f.readTo.Later(revision)
	if asOf.After(f.readAsOf) {
		f.readAsOf = asOf
	}
}

// recordFailure records that a call to peer, or to the service if peer is empty, failed
// with err after received bytes of the answer of a peer. The first failure of each since the
// last answer is logged.
func (f *Feed) recordFailure(peer sardineknot.EntryHostID, begin time.Time, received int64, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if peer == "" {
		f.storeFailedAt = f.Clock.Now()
	}
	if f.failed[peer] {
		return
	}
	if f.failed == nil {
		f.failed = make(map[sardineknot.EntryHostID]bool)
	}
	f.failed[peer] = true
	f.Log.Info().Stringer("event", sardineknot.LogStoreSourceFailed).Str("peer", string(peer)).Bool("direct", peer == "").
		Dur("took_ms", f.Clock.Now().Sub(begin)).Dur("view_ms", f.ageLocked()).Int64("received_bytes", received).Err(err).Send()
}

// currentSince returns the time from begin until Entries were last known to be current, in
// microseconds. It is negative if that was before begin.
func (f *Feed) currentSince(begin time.Time) *int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := f.completeAsOf.Sub(begin).Microseconds()
	return &d
}
