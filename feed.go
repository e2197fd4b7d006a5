package sardineknot

import (
	"context"
	"time"
)

// ChangeFeed reads a snapshot of the platform's key-value service and the
// changes that follow it.
//
// Every method fails with an UnavailableError if the service does not answer.
type ChangeFeed interface {
	// Snapshot returns all entries and a revision, all of one era. Each entry was read at that
	// revision or later, so that Next, called with the revision, returns every
	// change that the entries do not reflect.
	Snapshot(ctx context.Context) ([]StoreEntry, StoreRevision, error)
	// Next returns the changes that were made after revision, and the revision
	// to pass to the next call. If there are no such changes yet, Next waits
	// for them, for at most timeout. With a timeout of zero, the result holds all
	// changes that were made before the call, but for large values that take longer to arrive
	// and are among the results of later calls. Next fails with a CompactedError if the
	// service no longer keeps these changes, or if a new era has begun.
	Next(ctx context.Context, revision StoreRevision, timeout time.Duration) ([]StoreEntry, StoreRevision, error)
}

// CompactedError reports that the store has discarded changes that were
// requested.
type CompactedError struct {
	// After is the revision after which changes were requested.
	After StoreRevision
}

// Error implements error.
func (e *CompactedError) Error() string { return "store has discarded the requested changes" }

// StoreEntryDecoder decodes store entries that operators and backend servers
// write.
type StoreEntryDecoder interface {
	// DecodeConfiguration decodes the operators' configuration, without its
	// backend servers. ok is false if entry is not a configuration.
	DecodeConfiguration(entry StoreEntry) (configuration *Configuration, ok bool, err error)
	// DecodeServer decodes the registration of a backend server. ok is false if
	// entry is not a registration. server.Name is set even if err is not nil.
	DecodeServer(entry StoreEntry) (server BackendServer, ok bool, err error)
	// Redact returns entry with digests in place of the keys of client accounts. It
	// decodes to the same as entry. Other hosts get the result only.
	Redact(entry StoreEntry) StoreEntry
}
