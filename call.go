package sardineknot

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"time"
)

// Call is a caller's request that is passed on unchanged to a backend server.
// It is immutable once it was admitted.
type Call struct {
	// ID identifies the call. A caller that tries again uses another one.
	ID RequestID
	// Method, Target and Host are those of the caller. Target is the path with
	// the query, as it was received.
	Method string
	Target string
	Host   string
	// Header holds what is passed on.
	Header http.Header
	// Body is the whole body.
	Body []byte
	// Arrived is the time at which the head was read.
	Arrived time.Time
	// Patience is the time at which the caller gives up.
	Patience time.Time
	// Deadline is the earlier of Patience and the timeout of the route.
	Deadline time.Time
	// Route is the route that the call matched.
	Route *Route
	// Service is the service that answers.
	Service ServiceName
	// Revision is that of the configuration in force at arrival.
	Revision Revision
	// Prompt is not nil if and only if the call is a generation.
	Prompt *Prompt
}

// Prompt is what a generation tells of its size.
type Prompt struct {
	// Model names what has to be loaded.
	Model string
	// Tokens is the length of the prompt.
	Tokens int
	// MaxTokens bounds the length of the answer.
	MaxTokens int
	// ExpectedTokens is the caller's estimate of the length of the answer.
	// Zero means that it gave none.
	ExpectedTokens int
	// Prefixes are hashes of the leading parts of the prompt, shortest first.
	// The last one stands for the whole prompt.
	Prefixes []uint64
	// After is the identifier of the last event that the caller has. It is
	// zero for an answer from its beginning.
	After int
}

// Send tells how a call is passed on to one backend server.
type Send struct {
	// Deadline is the time after which the backend server stops work.
	Deadline time.Time
	// Cache names the KV cache to import. It is empty if the engine reads the
	// prompt itself.
	Cache CacheReference
	// After is the identifier of the event after which a stream goes on. Zero
	// starts it from its beginning.
	After int
	// Fresh asks for a connection that is certain to be open.
	Fresh bool
}

// CacheReference names a KV cache on an engine.
type CacheReference struct {
	// Address is the engine that holds the cache.
	Address netip.AddrPort
	// Handle is empty if there is no cache.
	Handle string
}

// Reply is the answer of a backend server.
type Reply struct {
	// Status is the HTTP status.
	Status int
	// Header holds what is passed on to the caller.
	Header http.Header
	// Body ends with io.EOF if and only if the answer is whole. Closing it
	// earlier ends the work of the backend server.
	Body io.ReadCloser
}

// Forwarder passes calls on to backend servers. Implementations are safe for
// concurrent use.
//
// Every method fails with a RefusedError if the server said that it did not run
// the call, with an UnsentError if no byte of the call left this host, and with
// an UnavailableError if the outcome is unknown.
type Forwarder interface {
	// Forward sends c to s and returns the answer as soon as its head is read.
	Forward(ctx context.Context, s BackendServer, c *Call, o Send) (*Reply, error)
	// Prefill has s read the prompt of c and returns the KV cache.
	Prefill(ctx context.Context, s BackendServer, c *Call, deadline time.Time) (CacheReference, error)
	// Release frees a KV cache that is not imported.
	Release(ctx context.Context, c CacheReference) error
	// Load returns the load that the engine s reports.
	Load(ctx context.Context, s BackendServer) (LoadReport, error)
}

// CallDecoder decodes the requests of callers.
type CallDecoder interface {
	// Call returns the call of r, without its body, which arrived at now. It
	// fails with an InvalidError if r is not proper. The fields that follow
	// from the configuration are left out.
	Call(r *http.Request, now time.Time) (*Call, error)
}

// AnswerWriter takes the answer to a call.
type AnswerWriter interface {
	// Start takes the status and the header. It is called once, before Write.
	Start(status int, h http.Header)
	// Write passes a part of the body on at once.
	Write(b []byte) error
}

// CallRunner has calls answered.
type CallRunner interface {
	// Run answers c. It returns nil once the whole answer was written to w. If
	// it fails before it has called w.Start, the error is a NotRunError if c
	// did not run and never will.
	Run(ctx context.Context, c *Call, w AnswerWriter) error
}

// Exchange is one request on a connection to a backend server.
type Exchange struct {
	Method string
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// EchoHeader and Echo name the header by which the answer is recognized
	// and its value. An empty EchoHeader takes any answer.
	EchoHeader string
	Echo       string
	// Fresh asks for a connection that was not idle for long.
	Fresh bool
}

// Exchanger makes exchanges on kept connections. It never sends a request
// twice. It fails with an UnsentError if no byte was sent, and with an
// UnavailableError otherwise.
type Exchanger interface {
	Exchange(ctx context.Context, a netip.AddrPort, e Exchange) (*Reply, error)
}

// UnsentError reports a call of which no byte left this host.
type UnsentError struct {
	// Server is the address that was called.
	Server netip.AddrPort
	// Cause is the underlying error. It is not nil.
	Cause error
}

// Error implements error.
func (e *UnsentError) Error() string {
	return "not sent to " + e.Server.String() + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error { return e.Cause }
