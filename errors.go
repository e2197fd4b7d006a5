package sardineknot

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// NotRunError reports that a request did not run and will not run later. The
// caller may retry.
type NotRunError struct {
	// Reason is a short phrase, such as "queue is full".
	Reason string
	// RetryAfter is the time after which a retry is expected to succeed. It is
	// not negative.
	RetryAfter time.Duration
}

// Error implements error.
func (e *NotRunError) Error() string {
	return fmt.Sprintf("not run: %s (retry after %v)", e.Reason, e.RetryAfter)
}

// StoppingError reports that an operation was cancelled because this host is stopping.
type StoppingError struct {
	// EndsAt is the time at which the host closes its connections.
	EndsAt time.Time
}

// Error implements error.
func (e *StoppingError) Error() string { return "the host is stopping" }

// UnauthorizedError reports that a request has no key, or one that belongs to no
// client account. The request did not run.
type UnauthorizedError struct{}

// Error implements error.
func (*UnauthorizedError) Error() string {
	return "the request has no key of a client account"
}

// LimitedError reports that a client account has reached its limit. The request did
// not run and will not run later.
type LimitedError struct {
	// Account is the client account.
	Account ClientAccountName
	// RetryAfter is the time after which the request will be within the limit. It
	// is not negative.
	RetryAfter time.Duration
}

// Error implements error.
func (e *LimitedError) Error() string {
	return fmt.Sprintf("limit of client account %s is reached (retry after %v)", e.Account, e.RetryAfter)
}

// OutcomeUnknownError reports that an unrepeatable request may have run. The
// request is therefore not repeated.
type OutcomeUnknownError struct {
	// Key identifies the request.
	Key RequestKey
	// Reason is a short phrase that gives the cause.
	Reason string
}

// Error implements error.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("outcome of %s is unknown, it will not be repeated: %s", e.Key, e.Reason)
}

// InterruptedError reports that the answer to a request broke off. The caller
// may request the rest, starting at the offset that it has reached.
type InterruptedError struct {
	// Offset is the number of tokens that were delivered.
	Offset int
	// Reason is a short phrase that gives the cause.
	Reason string
}

// Error implements error.
func (e *InterruptedError) Error() string {
	return fmt.Sprintf("answer interrupted after %d tokens: %s", e.Offset, e.Reason)
}

// UnknownError reports a lookup by name that found nothing, usually in the
// configuration in force.
type UnknownError struct {
	// What is the kind of object, such as "ClientAccount".
	What string
	// Name is the name that was looked up.
	Name string
}

// Error implements error.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("unknown %s %q", e.What, e.Name)
}

// InvalidError reports external input that violates its format.
type InvalidError struct {
	// What names the field or header.
	What string
	// Got is the invalid value, possibly truncated.
	Got string
	// Expected describes the values that are accepted.
	Expected string
}

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("%s is %q, expected %s", e.What, e.Got, e.Expected)
}

// ConflictError reports a compare-and-swap that failed because the key was at
// another revision.
type ConflictError struct {
	// Key is the key in the store.
	Key string
	// Expected is the revision that the writer expected.
	Expected StoreRevision
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("key %q is no longer at revision %d of era %d", e.Key, e.Expected.Number, e.Expected.Era)
}

// UnavailableError reports that a peer could not be reached or did not answer
// in time. Whether the call took effect is unknown.
type UnavailableError struct {
	// Peer names the peer that was called.
	Peer string
	// Through is the entry host through which a backend server was called. It is empty
	// if there was none.
	Through EntryHostID
	// ServerEnded is set if the host Through has reported that the server closed or
	// reset the connection.
	ServerEnded bool
	// Cause is the underlying error. It is not nil.
	Cause error
}

// Error implements error.
func (e *UnavailableError) Error() string {
	if e.Through != "" {
		return fmt.Sprintf("%s is unavailable through %s: %v", e.Peer, e.Through, e.Cause)
	}
	return fmt.Sprintf("%s is unavailable: %v", e.Peer, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// ServerMayHaveEnded reports whether the cause may be that the process of the server
// has ended. It is not if the server was silent or sent a malformed head, if another process of
// it has answered, or if the host Through may have ended instead.
func (e *UnavailableError) ServerMayHaveEnded() bool {
	c := e.Cause
	var i *UnconfirmedInstanceError
	var m *MalformedHeadError
	if errors.As(c, &i) || errors.As(c, &m) {
		return false
	}
	var u *UnconfirmedEndError
	if errors.As(c, &u) {
		c = u.Cause
	}
	var v *UnavailableError
	if errors.As(c, &v) && !v.ServerMayHaveEnded() {
		return false
	}
	return (e.Through == "" || e.ServerEnded) && !errors.Is(c, context.DeadlineExceeded)
}

// StaleEraError reports that data of the store is of an era before the latest
// one that is known, and is therefore not used.
type StaleEraError struct {
	Got, Latest StoreEra
}

// Error implements error.
func (e *StaleEraError) Error() string {
	return fmt.Sprintf("data of era %d of the store, expected era %d", e.Got, e.Latest)
}

// StaleRevisionError reports that data of the store is older than what was read before,
// and is therefore not used.
type StaleRevisionError struct {
	// Got is the revision of the data, and Read the one up to which the store was read.
	Got, Read StoreRevision
}

// Error implements error.
func (e *StaleRevisionError) Error() string {
	return fmt.Sprintf("data of revision %d of era %d of the store, revision %d of era %d was read before", e.Got.Number, e.Got.Era, e.Read.Number, e.Read.Era)
}

// RefusedError reports that a backend server refused a request without running
// it.
type RefusedError struct {
	// Server is the backend server that refused the request.
	Server BackendServerName
	// Status is the HTTP status code of the refusal.
	Status int
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("%s refused the request without running it, status %d", e.Server, e.Status)
}

// MalformedHeadError reports a response whose head breaks the grammar of HTTP/1.1. Neither its
// status nor its fields are known.
type MalformedHeadError struct {
	// Reason is a short phrase that names the violated rule. It contains no bytes of the head.
	Reason string
}

// Error implements error.
func (e *MalformedHeadError) Error() string {
	return "the head of the response is malformed: " + e.Reason
}

// LeavingError reports that a request was not sent to a backend server because
// the server is leaving.
type LeavingError struct {
	// Server and Born identify the process of the server, as in BackendServer.
	Server BackendServerName
	Born   int64
}

// Error implements error.
func (e *LeavingError) Error() string {
	return fmt.Sprintf("%s is leaving and gets no new requests", e.Server)
}

// BackedOffError reports that a request was not sent to a backend server because
// the server has asked for no requests for some time.
type BackedOffError struct {
	Server BackendServerName
	// Left is the time until the server may get requests again.
	Left time.Duration
}

// Error implements error.
func (e *BackedOffError) Error() string {
	return fmt.Sprintf("%s has asked for no requests for another %v", e.Server, e.Left)
}

// DeliveryTakenOverError reports that another connection, possibly on another
// entry host, has taken over the delivery of an answer.
type DeliveryTakenOverError struct {
	// Key identifies the request.
	Key RequestKey
}

// Error implements error.
func (e *DeliveryTakenOverError) Error() string {
	return fmt.Sprintf("delivery of %s moved to another connection", e.Key)
}

// ContentMismatchError reports that a request identifier was used before for a
// request with different content.
type ContentMismatchError struct {
	// Key identifies the request.
	Key RequestKey
}

// Error implements error.
func (e *ContentMismatchError) Error() string {
	return fmt.Sprintf("%s was used before with different content", e.Key)
}

// RequestFailedError reports that a repeatable request failed after it may have
// run in part. The caller may retry.
type RequestFailedError struct {
	// Reason is a short phrase that gives the cause.
	Reason string
	// RetryAfter is the time after which a retry is expected to succeed. It is
	// not negative.
	RetryAfter time.Duration
}

// Error implements error.
func (e *RequestFailedError) Error() string {
	return fmt.Sprintf("failed: %s (retry after %v)", e.Reason, e.RetryAfter)
}

// MissingEventsError reports that an engine does not go on with a stream after the last
// event that the caller has. Events that the caller needs are missing.
type MissingEventsError struct {
	// After is the number of that last event.
	After int
	// Got is the number of the event that the engine sent instead of the next one, or
	// the last one at which its stream ended. It is zero if that event has no number.
	Got int
}

// Error implements error.
func (e *MissingEventsError) Error() string {
	if e.Got == 0 {
		return fmt.Sprintf("an event without a number follows event %d", e.After)
	}
	return fmt.Sprintf("event %d is the next of the stream after event %d", e.Got, e.After)
}

// StaleConfigurationError reports a configuration that must not replace the one
// in force on this host, because its revision is smaller, or because its
// revision is equal but its content is different.
type StaleConfigurationError struct {
	// Got is the revision of the rejected configuration. Zero means that no
	// configuration was offered.
	Got Revision
	// InForce is the revision of the configuration in force on the host that
	// rejected the other one.
	InForce Revision
}

// Error implements error.
func (e *StaleConfigurationError) Error() string {
	return fmt.Sprintf("configuration of revision %d must not replace that of revision %d", e.Got, e.InForce)
}

// AnswerLostError reports that an answer cannot be continued, because its
// earlier part was lost with the hosts that produced it. The caller may retry
// from the beginning under a new request identifier.
type AnswerLostError struct {
	// Key identifies the request.
	Key RequestKey
	// Offset is the token index from which the caller requested the rest.
	Offset int
}

// Error implements error.
func (e *AnswerLostError) Error() string {
	return fmt.Sprintf("answer to %s cannot be continued from token %d", e.Key, e.Offset)
}

// ProducedElsewhereError reports that another entry host produces the answer.
type ProducedElsewhereError struct {
	// Record identifies that host.
	Record AnswerRecord
}

// Error implements error.
func (e *ProducedElsewhereError) Error() string {
	return fmt.Sprintf("answer to %s is produced by %s", e.Record.Key, e.Record.Host)
}
