package sardineknot

import (
	"fmt"
	"time"
)

// NotRunError reports that a request did not run and will not run. The caller
// may ask again.
type NotRunError struct {
	// Reason is a short phrase, such as "queue is full".
	Reason string
	// RetryAfter is the time after which asking again is expected to help. It
	// is not negative.
	RetryAfter time.Duration
}

// Error implements error.
func (e *NotRunError) Error() string {
	return fmt.Sprintf("not run: %s (retry after %v)", e.Reason, e.RetryAfter)
}

// OutcomeUnknownError reports that an unrepeatable request may have run. It
// will not be repeated.
type OutcomeUnknownError struct {
	// Key identifies the request.
	Key RequestKey
	// Reason is a short phrase.
	Reason string
}

// Error implements error.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("outcome of %s is unknown, it will not be repeated: %s", e.Key, e.Reason)
}

// InterruptedError reports that an answer broke off. The caller may ask for
// the rest with the offset that it has.
type InterruptedError struct {
	// Offset is the number of tokens that were delivered.
	Offset int
	// Reason is a short phrase.
	Reason string
}

// Error implements error.
func (e *InterruptedError) Error() string {
	return fmt.Sprintf("answer interrupted after %d tokens: %s", e.Offset, e.Reason)
}

// UnknownError reports a name that the configuration in force lacks.
type UnknownError struct {
	// What is the kind of thing, such as "ClientAccount".
	What string
	// Name is the name that was looked up.
	Name string
}

// Error implements error.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("unknown %s %q", e.What, e.Name)
}

// InvalidError reports input from outside that breaks its format.
type InvalidError struct {
	// What names the field or header.
	What string
	// Got is the offending value, shortened.
	Got string
	// Expected says what would have been accepted.
	Expected string
}

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("%s is %q, expected %s", e.What, e.Got, e.Expected)
}

// ConflictError reports a compare-and-swap that found another revision.
type ConflictError struct {
	// Key is the key in the store.
	Key string
	// Expected is the revision that the writer had seen. Zero means absent.
	Expected StoreRevision
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("key %q is no longer at revision %d", e.Key, e.Expected)
}

// UnavailableError reports that a peer could not be reached or did not answer
// in time. Whether the call took effect is unknown.
type UnavailableError struct {
	// Peer names what was called.
	Peer string
	// Cause is the underlying error. It is not nil.
	Cause error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("%s is unavailable: %v", e.Peer, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// RefusedError reports that a backend server refused a request before running
// it.
type RefusedError struct {
	// Server is the backend server.
	Server BackendServerName
	// Status is the HTTP status code.
	Status int
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("%s refused before running, status %d", e.Server, e.Status)
}

// DisplacedError reports that another connection took over the delivery of an
// answer.
type DisplacedError struct {
	// Key identifies the request.
	Key RequestKey
}

// Error implements error.
func (e *DisplacedError) Error() string {
	return fmt.Sprintf("delivery of %s moved to another connection", e.Key)
}

// MismatchError reports a request identifier that was used before with another
// content.
type MismatchError struct {
	// Key identifies the request.
	Key RequestKey
}

// Error implements error.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("%s was used before with another content", e.Key)
}

// FailedError reports that a request that may be repeated has failed after it
// may have run in part. The caller may ask again.
type FailedError struct {
	// Reason is a short phrase.
	Reason string
	// RetryAfter is the time after which asking again is expected to help. It
	// is not negative.
	RetryAfter time.Duration
}

// Error implements error.
func (e *FailedError) Error() string {
	return fmt.Sprintf("failed: %s (retry after %v)", e.Reason, e.RetryAfter)
}

// OlderConfigurationError reports a configuration that must not replace the
// one in force: its revision is smaller, or equal with another content.
type OlderConfigurationError struct {
	// Got is the revision that was offered. Zero means that there was none.
	Got Revision
	// InForce is the revision in force.
	InForce Revision
}

// Error implements error.
func (e *OlderConfigurationError) Error() string {
	return fmt.Sprintf("configuration of revision %d must not replace that of revision %d", e.Got, e.InForce)
}

// LostError reports an answer whose earlier part was lost with the hosts that
// produced it, so that the rest cannot be produced. The caller may ask again
// from the start under a new request identifier.
type LostError struct {
	// Key identifies the request.
	Key RequestKey
	// Offset is the index from which the caller asked.
	Offset int
}

// Error implements error.
func (e *LostError) Error() string {
	return fmt.Sprintf("answer to %s cannot be continued from token %d", e.Key, e.Offset)
}

// ElsewhereError reports that another entry host produces the answer.
type ElsewhereError struct {
	// Record tells which host.
	Record AnswerRecord
}

// Error implements error.
func (e *ElsewhereError) Error() string {
	return fmt.Sprintf("answer to %s is produced by %s", e.Record.Key, e.Record.Host)
}
