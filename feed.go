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
	// Snapshot returns all entries and a revision. Each entry was read at that
	// revision or later, so that Next, called with the revision, returns every
	// change that the entries do not reflect.
	Snapshot(ctx context.Context) ([]StoreEntry, StoreRevision, error)
	// Next waits up to wait for changes after the revision after. It returns
	// the changes and the revision from which to continue, or a CompactedError
	// if the service no longer keeps these changes.
	Next(ctx context.Context, after StoreRevision, wait time.Duration) ([]StoreEntry, StoreRevision, error)
}

// CompactedError reports that the store has discarded the changes after a
// revision.
type CompactedError struct {
	// After is the revision whose subsequent changes were requested.
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
}
