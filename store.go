package sardineknot

import (
	"context"
	"time"
)

// StoreRevision is the version of a key in the platform's key-value service.
// Zero means that the key is absent.
type StoreRevision int64

// LeaseID identifies a lease of the platform's key-value service. Zero means
// no lease.
type LeaseID int64

// StoreEntry is a key with its value.
type StoreEntry struct {
	// Key is not empty.
	Key string
	// Value is at most MaxStoreValueBytes long. It is nil if the key is
	// absent.
	Value []byte
	// Revision is zero if and only if the key is absent.
	Revision StoreRevision
}

// MaxStoreValueBytes is the longest value that the service takes, in bytes.
const MaxStoreValueBytes = 1 << 20

// Store is the platform's key-value service.
//
// Every method fails with an UnavailableError if the service does not answer.
// A write that fails in this way may have taken effect.
type Store interface {
	// Get returns the entry of key. An absent key is not an error.
	Get(ctx context.Context, key string) (StoreEntry, error)
	// List returns the entries whose keys start with prefix, ordered by key.
	List(ctx context.Context, prefix string) ([]StoreEntry, error)
	// Keys returns what List does, without the values.
	Keys(ctx context.Context, prefix string) ([]StoreEntry, error)
	// CompareAndSwap writes value to key if the key is at revision expected
	// and returns the new revision. It fails with a ConflictError otherwise.
	CompareAndSwap(ctx context.Context, key string, expected StoreRevision, value []byte, lease LeaseID) (StoreRevision, error)
	// Delete removes key if it is at revision expected. It fails with a
	// ConflictError otherwise.
	Delete(ctx context.Context, key string, expected StoreRevision) error
	// Grant returns a new lease that lapses after ttl without KeepAlive.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive extends a lease by its time to live.
	KeepAlive(ctx context.Context, id LeaseID) error
}

// WatchedStore is a Store that reports changes as they happen.
type WatchedStore interface {
	Store
	// Watch reports every change below prefix that is later than after, until
	// ctx is done or the connection fails. The channel is closed at the end.
	Watch(ctx context.Context, prefix string, after StoreRevision) (<-chan StoreEntry, error)
}
