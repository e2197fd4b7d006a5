package sardineknot

import (
	"context"
	"time"
)

// StreamVersions keeps the software versions of the backend servers that began
// recent streams, across all entry hosts. A stream continues only on a server of
// the version that began it. Implementations are safe for concurrent use.
type StreamVersions interface {
	// Announce keeps that an engine of version was granted to stream, which has no event
	// yet. Unless Record follows, version counts as the one that began stream. It does not
	// block.
	Announce(stream RequestID, version SoftwareVersion)
	// Confirm is Announce for a stream for which another version was announced. It returns
	// once stream does not count as begun by that one any more, and fails with an
	// UnavailableError if this takes too long.
	Confirm(ctx context.Context, stream RequestID, version SoftwareVersion) error
	// Record keeps the version that began stream. It does not block.
	Record(stream RequestID, version SoftwareVersion)
	// Withheld returns the versions of servers of service on which no stream that can be
	// resumed should begin before until, because streams of theirs may be taken for those
	// of another version.
	Withheld(service ServiceName) (versions []SoftwareVersion, until time.Time)
	// Find returns the version that began stream, an interrupted stream of route, and the
	// service of route at which it goes on: service, which the identifier of stream selects,
	// unless only another one has servers of that version. An empty version means that any
	// server may continue the stream, because the servers of service have no versions. found
	// is false if the version is unknown and the servers of service have had several versions
	// since the stream may have begun, or if another service may have begun it.
	Find(ctx context.Context, stream RequestID, route *Route, service ServiceName) (version SoftwareVersion, at ServiceName, found bool)
}
