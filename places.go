package sardineknot

import (
	"context"
	"time"
)

// PlaceID identifies the place of a call at a server of a plain service, among
// all entry hosts. The host that requests the place numbers it, so that it can give
// back a place whose grant it has not received.
type PlaceID struct {
	Host        EntryHostID
	Incarnation Incarnation
	Number      uint64
}

// PlaceRequest describes a call that needs a place at a server. Durations are
// relative to the time at which the request is handled.
type PlaceRequest struct {
	ID PlaceID
	// Excluded names the servers that must not get the call.
	Excluded []BackendServerName
	// Priority and RoutePriority order calls, as in Call.Priority and
	// Route.Priority. Smaller values are served first.
	Priority, RoutePriority int
	// Account is the client account of the call, and Cost what the call takes of the
	// account's share. Account is empty if the call has none.
	Account ClientAccountName
	Cost    float64
	// Target is the time left until the answer is late. It is negative if it is late
	// already.
	Target time.Duration
	// Deadline is the time left until the call ends without an answer, and
	// CallerDeadline the time left until the caller stops waiting.
	Deadline, CallerDeadline time.Duration
	// Trait identifies the request of the caller, also when it comes again as another
	// call.
	Trait Trait
	// Usual is the time that a call of the service usually takes, as the host that
	// queries has seen it. Zero means unknown.
	Usual time.Duration
}

// PlaceDecision is the answer to a PlaceRequest.
type PlaceDecision struct {
	// Server is the process that gets the call. It is the zero value if none does.
	Server ServerProcess
	// RetryAfter is the time after which a place is expected. It is positive if and
	// only if the call is refused. If Server is the zero value as well, the host
	// decides alone.
	RetryAfter time.Duration
}

// PlaceOutcome is how the use of a place ended.
type PlaceOutcome int

// The outcomes. The numbers are part of messages between hosts.
const (
	// PlaceLost means that the answer did not arrive, although the caller waited for it.
	PlaceLost PlaceOutcome = iota
	// PlaceAnswered means that the server answered.
	PlaceAnswered
	// PlaceRefused means that the server was full and did not run the call.
	PlaceRefused
	// PlaceUnused means that the call was not sent.
	PlaceUnused
	// PlaceUnreached means that the call was not sent because the server was not
	// reached.
	PlaceUnreached
	// PlaceAbandoned means that the caller left, which shows nothing about the server.
	PlaceAbandoned
)

// PlaceEnd reports that a call no longer occupies its place.
type PlaceEnd struct {
	ID      PlaceID
	Outcome PlaceOutcome
	// Took is the time from sending the call to its end.
	Took time.Duration
}

// Place is the place of one call at a server.
type Place struct {
	ID      PlaceID
	Service ServiceName
	// Server is the process that the call is sent to. It is the zero value until
	// Begin if the host decides alone.
	Server ServerProcess
	// Epoch identifies the process of the entry host that granted the place. It is
	// zero if the host decided alone.
	Epoch Incarnation
	// Target is the latency target of the call's route.
	Target time.Duration
	// Begun states that the call was sent, at the time SentAt since the host was
	// started, including the time for which it was suspended.
	Begun  bool
	SentAt time.Duration
}

// PlaceAllocator assigns the calls of plain services to servers, considering the
// calls of all entry hosts while the servers of a service are contended.
// Implementations are safe for concurrent use.
type PlaceAllocator interface {
	// Contended reports whether Take may return a server for calls of service.
	Contended(service ServiceName) bool
	// Take returns the place of call, which the caller must pass to Begin or to Done.
	// The servers in excluded must not get the call. If the Server of the place is
	// the zero value, the caller selects a server itself. Take fails with a NotRunError
	// if no server can answer in time.
	Take(ctx context.Context, call *Call, excluded []BackendServerName) (Place, error)
	// Begin records that the call of place is about to be sent to server, and returns
	// the place to pass to Done.
	Begin(place Place, server ServerProcess) Place
	// Done records the end of a call, or that place is not used.
	Done(place Place, outcome PlaceOutcome)
	// ReportFull records that a call of service found no server with free capacity.
	ReportFull(service ServiceName)
}
