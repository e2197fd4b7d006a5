package sardineknot

import "context"

// StreamVersions keeps the software versions of the backend servers that began
// recent streams, across all entry hosts. A stream continues only on a server of
// the version that began it. Implementations are safe for concurrent use.
type StreamVersions interface {
	// Record keeps the version that began stream. It does not block.
	Record(stream RequestID, version SoftwareVersion)
	// Find returns the version that began stream, an interrupted stream of
	// service. An empty version means that any server may continue the stream,
	// because the servers of service have no versions. found is false if the
	// version is unknown and the servers of service have had several versions
	// since the stream may have begun.
	Find(ctx context.Context, stream RequestID, service ServiceName) (version SoftwareVersion, found bool)
}

// RunningStreams finds streams that backend servers are still running. It is for streams
// that no entry host and no record in the key-value service lists. Implementations are
// safe for concurrent use.
type RunningStreams interface {
	// Version returns the software version of the servers of service that are running
	// stream. found is false if no server reports it, if servers of several versions do,
	// or if a server of another version may be running it as well.
	Version(ctx context.Context, stream RequestID, service ServiceName) (version SoftwareVersion, found bool)
}
