package sardineknot

import (
	"context"
	"time"
)

// StoreEntry is a key with its value.
type StoreEntry struct {
	// Key is not empty.
	Key string
	// Value is at most MaxStoreValueBytes long. It is nil if the key is
	// absent.
	Value []byte
	// Revision says in its Number whether the key is absent.
	Revision StoreRevision
}

// largeValueBytes is the length from which on a value is large: it takes several packets, so that
// sending what has changed in its place pays.
const largeValueBytes = 4 << 10

// Large reports whether the value is large. Entry hosts send each other large values apart
// from others, and what has changed in place of them.
func (e StoreEntry) Large() bool { return len(e.Value) >= largeValueBytes }

// MaxStoreValueBytes is the maximum length of a value, in bytes.
const MaxStoreValueBytes = 1 << 20

// Store is the platform's key-value service.
//
// Every method fails with an UnavailableError if the service does not answer, or
// if its answer is of an era before the latest one known. A write that fails
// with this error may have taken effect.
//
// A revision or a lease of an earlier era counts as one that the service does
// not have. If a write or a renewal is the call that finds the new era, its
// failure does not tell whether it took effect.
type Store interface {
	// Get returns the entry of key. An absent key is not an error; its revision
	// holds the era.
	Get(ctx context.Context, key string) (StoreEntry, error)
	// List returns the entries whose keys start with prefix, ordered by key.
	List(ctx context.Context, prefix string) ([]StoreEntry, error)
	// Keys returns the same entries as List, but without their values.
	Keys(ctx context.Context, prefix string) ([]StoreEntry, error)
	// CompareAndSwap writes value to key if the revision of key equals
	// expected, and returns the new revision. Otherwise it fails with a
	// ConflictError. The key is attached to lease unless lease is zero.
	// CompareAndSwap may fail with an UnknownError if the lease has expired.
	CompareAndSwap(ctx context.Context, key string, expected StoreRevision, value []byte, lease LeaseID) (StoreRevision, error)
	// Delete removes key if its revision equals expected. Otherwise it fails
	// with a ConflictError.
	Delete(ctx context.Context, key string, expected StoreRevision) error
	// GrantLease creates a lease that expires after ttl unless KeepAlive
	// extends it.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive restarts the time to live of the lease id. It fails with an
	// UnknownError if the lease has expired.
	KeepAlive(ctx context.Context, id LeaseID) error
}

// WatchableStore is a Store that can also report changes as they happen.
type WatchableStore interface {
	Store
	// Watch sends every change that is made after revision to a key with the
	// given prefix on the returned channel. It closes the channel when ctx is
	// done or the connection fails.
	Watch(ctx context.Context, prefix string, revision StoreRevision) (<-chan StoreEntry, error)
}
