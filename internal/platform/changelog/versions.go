package changelog

import (
	"slices"

	"sardineknot.example/sardineknot"
)

// maxVersions and maxVersionBytes bound the versions of a large value that are kept,
// the current one included, which is kept in any case.
const (
	maxVersions     = 4
	maxVersionBytes = 2 * sardineknot.MaxStoreValueBytes
)

// dropReplacedLocked removes the changes of key from the batches.
func (l *Log) dropReplacedLocked(key string) {
	for i := range l.batches {
		b := &l.batches[i]
		n := len(b.changes)
		b.changes = slices.DeleteFunc(b.changes, func(e sardineknot.StoreEntry) bool { return e.Key == key })
		l.changes -= n - len(b.changes)
	}
	l.batches = slices.DeleteFunc(l.batches, func(b batch) bool { return len(b.changes) == 0 })
}

// addVersionLocked records e as the current version of its key. Only large values have
// versions.
func (l *Log) addVersionLocked(e sardineknot.StoreEntry) {
	if !e.Large() {
		delete(l.versions, e.Key)
		return
	}
	v := append(slices.Clip(l.versions[e.Key]), e)
	n := 0
	for _, o := range v {
		n += len(o.Value)
	}
	for len(v) > maxVersions || len(v) > 1 && n > maxVersionBytes {
		n -= len(v[0].Value)
		v = v[1:]
	}
	l.versions[e.Key] = v
}

// Versions returns the last versions of the large value of key in the order of their
// revisions, or nothing if its value is not large. The last one is the current one.
func (l *Log) Versions(key string) []sardineknot.StoreEntry {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.versions[key]
}

// Large returns the current entries with large values, in no particular order.
func (l *Log) Large() []sardineknot.StoreEntry {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := make([]sardineknot.StoreEntry, 0, len(l.versions))
	for _, v := range l.versions {
		r = append(r, v[len(v)-1])
	}
	return r
}

// LargeUpTo returns the current entries with large values that were written up to revision,
// in no particular order. It returns none if the log does not reach revision: some of them
// may have been replaced or removed since.
func (l *Log) LargeUpTo(revision sardineknot.StoreRevision) []sardineknot.StoreEntry {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.end.Era != revision.Era || l.end.Compare(revision) < 0 {
		return nil
	}
	var r []sardineknot.StoreEntry
	for _, v := range l.versions {
		e := v[len(v)-1]
		if e.Revision.Compare(revision) <= 0 {
			r = append(r, e)
		}
	}
	return r
}
