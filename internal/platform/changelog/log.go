package changelog

import (
	"context"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

// maxChanges is the number of changes that are kept besides the current
// entries. Readers that are further behind read all entries again.
const maxChanges = 4096

// Log holds the current entries and the recent changes. It is safe for
// concurrent use. Use NewLog to create one.
type Log struct {
	mu sync.Mutex
	// entries holds the current entries by key.
	entries map[string]sardineknot.StoreEntry
	// pending holds the changes recorded since the last Commit.
	pending []sardineknot.StoreEntry
	// ahead holds the changes in entries whose revisions are after end. A reader may have
	// got to end at another host, without them, so that the batch that reaches the revision
	// of one of them includes it once more.
	ahead []sardineknot.StoreEntry
	// batches holds the kept batches in the order of their revisions. None is
	// empty. A large value that was replaced since is left out: with thousands of changes,
	// all its versions would take more memory than a host has.
	batches []batch
	// versions holds the last versions of the large values in entries, by key and in the
	// order of their revisions. The last one is the one in entries.
	versions map[string][]sardineknot.StoreEntry
	// changes is the number of changes in batches.
	changes int
	// start is the revision after which batches is complete. end is the
	// revision up to which the log is complete: every change up to it is in entries, and a
	// change after start in a batch that ends at its revision or later. Both are zero before
	// the first Commit.
	start, end sardineknot.StoreRevision
	// skipped is the last span of revisions that CommitSnapshot has skipped. It is empty if
	// there is none after start.
	skipped span
	// grown is closed and replaced when a batch is added or an era begins.
	grown chan struct{}
}

// batch is a group of changes that were recorded together.
type batch struct {
	// end is the revision up to which the log is complete with this batch.
	end     sardineknot.StoreRevision
	changes []sardineknot.StoreEntry
}

// span is a span of revisions between two others, which are not part of it.
type span struct {
	after, before sardineknot.StoreRevision
}

func (s span) contains(revision sardineknot.StoreRevision) bool {
	return revision.Compare(s.after) > 0 && revision.Compare(s.before) < 0
}

// NewLog returns an empty log.
func NewLog() *Log {
	return &Log{
		entries:  make(map[string]sardineknot.StoreEntry),
		versions: make(map[string][]sardineknot.StoreEntry),
		grown:    make(chan struct{}),
	}
}

// Record records a change. An entry without a revision number was removed.
// Readers do not see the change before the next Commit.
func (l *Log) Record(entry sardineknot.StoreEntry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = append(l.pending, entry)
}

// Precedes reports whether the log has no state of era yet. The first batch of
// an era must hold all entries, whether they tell something new or not.
func (l *Log) Precedes(era sardineknot.StoreEra) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.end.Era < era
}

// Hold keeps the recorded changes for a later Commit, because one up to the same
// revision is missing. Only the last change of each key is kept, so that they do not
// take more memory than the entries.
func (l *Log) Hold() {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := make(map[string]int, len(l.pending))
	for i, e := range l.pending {
		m[e.Key] = i
	}
	var k []sardineknot.StoreEntry
	for i, e := range l.pending {
		if m[e.Key] == i {
			k = append(k, e)
		}
	}
	l.pending = k
}

// Commit makes the recorded changes visible to readers. The log is then
// complete up to revision, so no change up to it may be missing among them. If a new
// era begins, the recorded changes replace all entries. Changes of an earlier era are
// discarded.
func (l *Log) Commit(revision sardineknot.StoreRevision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.commitLocked(revision)
}

// CommitSnapshot is Commit for changes that were found by a comparison with all entries at
// revision, because the changes since the last Commit are not known. An entry that was
// written and removed since is not among them. A reader that has read it reads all
// entries again.
func (l *Log) CommitSnapshot(revision sardineknot.StoreRevision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if revision.Era == l.end.Era && revision.Compare(l.end) > 0 {
		l.discardLocked(l.skipped.before)
		l.skipped = span{after: l.end, before: revision}
	}
	l.commitLocked(revision)
}

func (l *Log) commitLocked(revision sardineknot.StoreRevision) {
	switch {
	case revision.Era < l.end.Era:
		l.pending = nil
		return
	case revision.Era > l.end.Era || l.end.Absent():
		l.beginLocked(revision)
		return
	}
	l.applyLocked()
	l.end = l.end.Later(revision)
	c := append(l.takeReachedLocked(), l.takePendingLocked()...)
	if len(c) == 0 {
		return
	}
	l.batches = append(l.batches, batch{end: l.end, changes: c})
	l.changes += len(c)
	l.trimLocked()
	l.notifyLocked()
}

// beginLocked begins an era, or the first one, with the recorded changes.
// Readers that wait for changes of the era before notice it.
func (l *Log) beginLocked(revision sardineknot.StoreRevision) {
	clear(l.entries)
	clear(l.versions)
	l.pending = slices.DeleteFunc(l.pending, func(e sardineknot.StoreEntry) bool {
		return !e.Revision.Absent() && e.Revision.Era < revision.Era
	})
	l.applyLocked()
	l.ahead, l.batches, l.changes = nil, nil, 0
	l.start, l.end, l.skipped = revision, revision, span{}
	_ = l.takePendingLocked()
	l.notifyLocked()
}

// takeReachedLocked returns the changes that were ahead of end, are not any more, and are
// still current.
func (l *Log) takeReachedLocked() []sardineknot.StoreEntry {
	var r []sardineknot.StoreEntry
	l.ahead = slices.DeleteFunc(l.ahead, func(e sardineknot.StoreEntry) bool {
		if l.entries[e.Key].Revision != e.Revision {
			return true
		}
		if e.Revision.Compare(l.end) > 0 {
			return false
		}
		r = append(r, e)
		return true
	})
	return r
}

// takePendingLocked returns the recorded changes. Those after end are ahead as well.
func (l *Log) takePendingLocked() []sardineknot.StoreEntry {
	p := l.pending
	l.pending = nil
	for _, e := range p {
		if e.Revision.Compare(l.end) > 0 {
			l.ahead = append(l.ahead, e)
		}
	}
	return p
}

// applyLocked applies the recorded changes to the entries.
func (l *Log) applyLocked() {
	for _, e := range l.pending {
		if l.versions[e.Key] != nil {
			l.dropReplacedLocked(e.Key)
		}
		if e.Revision.Absent() {
			delete(l.entries, e.Key)
			delete(l.versions, e.Key)
			continue
		}
		l.entries[e.Key] = e
		l.addVersionLocked(e)
	}
	l.pending = slices.DeleteFunc(l.pending, func(e sardineknot.StoreEntry) bool {
		return e.Large() && l.entries[e.Key].Revision != e.Revision
	})
}

// notifyLocked wakes the readers that wait.
func (l *Log) notifyLocked() {
	close(l.grown)
	l.grown = make(chan struct{})
}

// trimLocked discards the oldest batches until at most maxChanges changes are
// left.
func (l *Log) trimLocked() {
	n := l.changes
	for i := 0; n > maxChanges; i++ {
		n -= len(l.batches[i].changes)
		l.start = l.batches[i].end
	}
	l.discardLocked(l.start)
}

// discardLocked discards the batches that end at revision or before. It has no effect if
// revision is before start.
func (l *Log) discardLocked(revision sardineknot.StoreRevision) {
	l.start = l.start.Later(revision)
	l.batches = slices.DeleteFunc(l.batches, func(b batch) bool {
		d := b.end.Compare(l.start) <= 0
		if d {
			l.changes -= len(b.changes)
		}
		return d
	})
	if l.skipped.before.Compare(l.start) <= 0 {
		l.skipped = span{}
	}
}

// End returns the revision up to which the log is complete. It is zero before the first
// Commit.
func (l *Log) End() sardineknot.StoreRevision {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.end
}

// Snapshot returns the current entries, in no particular order, and the
// revision up to which they are complete. The revision is zero before the first
// Commit.
func (l *Log) Snapshot() ([]sardineknot.StoreEntry, sardineknot.StoreRevision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := make([]sardineknot.StoreEntry, 0, len(l.entries))
	for _, e := range l.entries {
		r = append(r, e)
	}
	return r, l.end
}

// Next returns the changes made after revision, and the revision up to which
// they are complete, which is never below the given one. If there are no such
// changes yet, Next waits for them, for at most timeout. It fails with a
// CompactedError if the log does not reach back to revision, and with a
// StaleEraError if revision is of a later era than the log.
func (l *Log) Next(ctx context.Context, revision sardineknot.StoreRevision, timeout time.Duration) ([]sardineknot.StoreEntry, sardineknot.StoreRevision, error) {
	t := time.NewTimer(timeout)
	defer t.Stop()
	for {
		r, n, g, err := l.after(revision)
		if err != nil || len(r) > 0 {
			return r, n, err
		}
		select {
		case <-g:
		case <-t.C:
			return nil, n, nil
		case <-ctx.Done():
			return nil, revision, errors.WithStack(ctx.Err())
		}
	}
}

// after returns the changes of all batches that end after revision, the
// revision up to which they are complete, and a channel that is closed when the
// next batch is added or an era begins.
func (l *Log) after(revision sardineknot.StoreRevision) ([]sardineknot.StoreEntry, sardineknot.StoreRevision, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if revision.Era > l.end.Era {
		return nil, revision, nil, errors.WithStack(&sardineknot.StaleEraError{Got: l.end.Era, Latest: revision.Era})
	}
	if revision.Compare(l.start) < 0 || l.end.Absent() || l.skipped.contains(revision) {
		return nil, revision, nil, errors.WithStack(&sardineknot.CompactedError{After: revision})
	}
	i := sort.Search(len(l.batches), func(i int) bool { return l.batches[i].end.Compare(revision) > 0 })
	var r []sardineknot.StoreEntry
	for _, b := range l.batches[i:] {
		r = append(r, b.changes...)
	}
	return r, revision.Later(l.end), l.grown, nil
}
