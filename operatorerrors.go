package sardineknot

import (
	"fmt"
	"time"
)

// ConfigurationConflictError reports that a change was rejected because another
// change had been accepted after the revision on which it was based. No part of
// the rejected change is in force.
type ConfigurationConflictError struct {
	// Seen is the revision on which the operator based the change.
	Seen Revision
	// Current is the accepted revision.
	Current Revision
	// Other is the first accepted change after Seen, or the oldest change that
	// is still recorded.
	Other ConfigurationChange
}

// Error implements error.
func (e *ConfigurationConflictError) Error() string {
	return fmt.Sprintf("conflict: revision %d was seen, but %s accepted revision %d at %s (operation %s); revision %d is accepted now",
		e.Seen, e.Other.Author, e.Other.Revision, e.Other.AcceptedAt.Format(time.RFC3339), e.Other.Operation, e.Current)
}

// ConfigurationOutcomeUnknownError reports that the reply to a configuration
// change was lost, and that the store does not show whether this change took
// effect.
type ConfigurationOutcomeUnknownError struct {
	// Operation identifies the configuration change whose reply was lost.
	Operation string
	// Seen is the revision on which the operator based that change.
	Seen Revision
	// Cause is the last error of the store. It is nil if the store could be
	// read, but so many other changes were accepted in the meantime that the
	// configuration head no longer lists those directly after Seen.
	Cause error
}

// Error implements error.
func (e *ConfigurationOutcomeUnknownError) Error() string {
	return fmt.Sprintf("whether operation %s on revision %d took effect is unknown: %v", e.Operation, e.Seen, e.Cause)
}

// Unwrap returns e.Cause.
func (e *ConfigurationOutcomeUnknownError) Unwrap() error { return e.Cause }
