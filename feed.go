package sardineknot

import (
	"context"
	"time"
)

// Feed reads the keys of the platform's key-value service and follows their
// changes.
//
// Every method fails with an UnavailableError if the service does not answer.
type Feed interface {
	// Snapshot returns all entries and a revision that is not later than any
	// of them was read.
	Snapshot(ctx context.Context) ([]StoreEntry, StoreRevision, error)
	// Next waits for changes after a revision, for the time wait at most, and
	// returns them with the revision to go on from. It fails with a
	// CompactedError if these changes are no longer kept.
	Next(ctx context.Context, after StoreRevision, wait time.Duration) ([]StoreEntry, StoreRevision, error)
}

// CompactedError reports that the changes after a revision are no longer kept.
type CompactedError struct {
	// After is the revision.
	After StoreRevision
}

// Error implements error.
func (e *CompactedError) Error() string { return "changes of the store are no longer kept" }

// EntryDecoder decodes what others write into the platform's key-value service.
type EntryDecoder interface {
	// Configuration decodes the operators' configuration. ok is false if the
	// entry is something else. Its backend servers are left out.
	Configuration(e StoreEntry) (c *Configuration, ok bool, err error)
	// Server decodes the entry of a backend server. ok is false if the entry is
	// something else. Name is set also if err is not nil.
	Server(e StoreEntry) (s BackendServer, ok bool, err error)
}
