package sardineknot

import (
	"fmt"
	"time"
)

// ConfigurationConflictError reports that another change was accepted after
// the revision that an operator saw. Nothing of the refused change is in
// force.
type ConfigurationConflictError struct {
	// Seen is the revision that the operator saw.
	Seen Revision
	// Current is the accepted revision.
	Current Revision
	// Other is the first accepted change after Seen, or the oldest one that
	// is still known.
	Other ConfigurationChange
}

// Error implements error.
func (e *ConfigurationConflictError) Error() string {
	return fmt.Sprintf("conflict: revision %d was seen, but %s accepted revision %d at %s (operation %s); revision %d is accepted now",
		e.Seen, e.Other.Author, e.Other.Revision, e.Other.AcceptedAt.Format(time.RFC3339), e.Other.Operation, e.Current)
}

// ConfigurationUnknownError reports that the reply to a change was lost and
// that the store does not tell whether the change took effect.
type ConfigurationUnknownError struct {
	// Operation identifies the change.
	Operation string
	// Seen is the revision that the operator saw.
	Seen Revision
	// Cause is the last error of the store, or nil if so many changes followed
	// that the head no longer lists those after Seen.
	Cause error
}

// Error implements error.
func (e *ConfigurationUnknownError) Error() string {
	return fmt.Sprintf("whether operation %s on revision %d took effect is unknown: %v", e.Operation, e.Seen, e.Cause)
}

// Unwrap returns the cause.
func (e *ConfigurationUnknownError) Unwrap() error { return e.Cause }
