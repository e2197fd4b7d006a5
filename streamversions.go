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
