package sardineknot

// Framing is how the end of the body of a response is marked.
type Framing string

const (
	// FramingLength marks the end by a length in the header.
	FramingLength Framing = "Length"
	// FramingChunks marks the end by an empty chunk.
	FramingChunks Framing = "Chunks"
	// FramingConnection marks the end by that of the connection. A process that is
	// killed ends its connections in the same way, so that the end alone does not show
	// that the response is complete.
	FramingConnection Framing = "Connection"
)
