package sardineknot

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"time"
)

// Call is a caller's request that is forwarded to a backend server without
// changes. It must not be modified after admission, but for Service.
type Call struct {
	// ID identifies the call. A caller that retries uses a new identifier.
	ID RequestID
	// Method, Target and Host are taken from the caller's request. Target is
	// the path with the query, exactly as received.
	Method string
	Target string
	Host   string
	// Header holds the header fields that are forwarded.
	Header http.Header
	// AttemptFields names the fields of Header that differ between the attempts of a
	// caller at the same request.
	AttemptFields []string
	// Body is the complete request body.
	Body []byte
	// CallerAddress is the address from which the caller sent the call. It is not
	// valid if that is unknown.
	CallerAddress netip.Addr
	// ArrivedAt is the time at which the request header was read.
	ArrivedAt time.Time
	// CallerDeadline is the time at which the caller stops waiting.
	CallerDeadline time.Time
	// Deadline is the time limit of the call: the caller's own limit or the end
	// of the route's timeout, whichever is earlier.
	Deadline time.Time
	// Route is the route that the call matched.
	Route *Route
	// Service is the service that the call is sent to. The runner of a stream that goes on sets
	// it to the service of Route at which it does, before it uses it.
	Service ServiceName
	// Revision is the revision of the configuration that was in force when the
	// call arrived.
	Revision Revision
	// ViewAge is the age that the view of the configuration and of the servers had then: the
	// time since it was last known to be current.
	ViewAge time.Duration
	// Key is the digest of the caller's key. It is the zero value if the call has
	// none.
	Key KeyDigest
	// Account is the client account of the caller. It is nil if the call needs no
	// key.
	Account *ClientAccount
	// Tokens is the length of the prompt plus the maximum length of the answer, in
	// tokens, as the caller states them. Zero means that the caller states none.
	Tokens int
	// Generation holds the parameters of a generation. It is nil if and only if
	// the call is not a generation.
	Generation *Generation
}

// StreamID returns the identifier of the call that began the stream with which c goes on, or
// that of c.
func (c *Call) StreamID() RequestID {
	if c.Generation != nil && c.Generation.ResumeAfter > 0 && c.Generation.Origin != "" {
		return c.Generation.Origin
	}
	return c.ID
}

// Priority returns the priority of the call: that of its client account, or that
// of its route if the account has none. Smaller values are served first.
func (c *Call) Priority() int {
	if c.Account != nil && c.Account.HasPriority {
		return c.Account.Priority
	}
	return c.Route.Priority
}

// AccountName returns the name of the call's client account, or an empty name if it
// has none.
func (c *Call) AccountName() ClientAccountName {
	if c.Account == nil {
		return ""
	}
	return c.Account.Name
}

// Generation holds the parameters of a call that generates text from a prompt,
// as far as they determine its cost and how it is scheduled.
type Generation struct {
	// Model is the name of the model to run.
	Model string
	// PromptLength is the length of the prompt, in tokens.
	PromptLength int
	// MaxTokens is the maximum length of the answer, in tokens.
	MaxTokens int
	// ExpectedTokens is the caller's estimate of the length of the answer, in
	// tokens. Zero means that the caller gave no estimate.
	ExpectedTokens int
	// PrefixHashes holds the hashes of leading parts of the prompt, shortest
	// first. The last hash covers the whole prompt.
	PrefixHashes []uint64
	// Parts holds the parts of the prompt that other requests may share, in their
	// order. The last part of a prompt belongs to one request or one session and
	// is not among them. There are at most MaxPromptParts.
	Parts TraitList
	// OwnPart is the last part of the prompt. It is zero if the prompt has no parts.
	OwnPart Trait
	// ResumeAfter is the identifier of the last event that the caller has
	// received. Zero requests the answer from its beginning.
	ResumeAfter int
	// Origin is the identifier of the call that brought the first event of a
	// resumed stream. It is empty if the caller did not name it.
	Origin RequestID
}

// ForwardOptions holds the parameters for forwarding a call to one backend
// server.
type ForwardOptions struct {
	// Deadline is the time at which the backend server stops working on the
	// call.
	Deadline time.Time
	// Cache names the KV cache to import. It is empty if the engine computes
	// the KV cache of the prompt itself.
	Cache KVCacheReference
	// ResumeAfter is the identifier of the event after which a stream resumes.
	// Zero starts the stream from its beginning.
	ResumeAfter int
	// FreshConnection requests a connection that the server is unlikely to close
	// while it receives the request: a new one, or one whose idle time is neither so
	// short that its end may still arrive nor long.
	FreshConnection bool
}

// KVCacheReference identifies a KV cache on an engine.
type KVCacheReference struct {
	// Address is the address of the engine that holds the cache.
	Address netip.AddrPort
	// Handle identifies the cache on that engine. It is empty if there is no
	// cache.
	Handle string
}

// Response is the HTTP response of a backend server.
type Response struct {
	// Status is the HTTP status code.
	Status int
	// Header holds the header fields that are passed on to the caller.
	Header http.Header
	// Framing is how the end of Body is marked. It is empty if that is unknown.
	Framing Framing
	// Body is the response body. Read returns io.EOF if and only if the
	// response is complete. Closing Body before that cancels the work on the
	// backend server.
	Body io.ReadCloser
}

// Forwarder forwards calls to backend servers. Implementations are safe for
// concurrent use.
//
// A method fails with a BackedOffError if nothing was sent because the server
// accepts no requests from this host for some time. Every method fails with a
// RefusedError if the server reported that it did not
// run the call, with an UnsentError if no byte of the call left this host, and
// with an UnavailableError if the outcome is unknown.
type Forwarder interface {
	// Forward sends call to server and returns the response as soon as its
	// header has been read.
	Forward(ctx context.Context, server BackendServer, call *Call, options ForwardOptions) (*Response, error)
	// Prefill computes the KV cache of the call's prompt on server and returns
	// a reference to it.
	Prefill(ctx context.Context, server BackendServer, call *Call, deadline time.Time) (KVCacheReference, error)
	// ReleaseCache frees a KV cache that no engine will import.
	ReleaseCache(ctx context.Context, cache KVCacheReference) error
	// Load returns the load that the engine server reports.
	Load(ctx context.Context, server BackendServer) (LoadReport, error)
}

// ServerObserver receives what backend servers say about themselves in the
// headers of their answers. Implementations are safe for concurrent use.
type ServerObserver interface {
	// ObserveLeaving records that server has said that it is leaving. The process
	// is identified by server.Name and server.Born.
	ObserveLeaving(server BackendServer)
	// ObserveBackoff records that server has turned a request away and wants no
	// requests from this host for the duration wait, which is positive.
	ObserveBackoff(server BackendServer, wait time.Duration)
	// ObserveLimit records that server has named the number of requests that it
	// takes in a second, in the answer to a request that was sent at the time sent.
	// perSecond is zero if the answer names none.
	ObserveLimit(server BackendServer, perSecond float64, sent time.Time)
}

// CallDecoder decodes the HTTP requests of callers.
type CallDecoder interface {
	// DecodeCall returns the call that request describes, with now as its
	// arrival time. The body and the fields that depend on the configuration
	// are not set. It fails with an InvalidError if request is malformed.
	DecodeCall(request *http.Request, now time.Time) (*Call, error)
}

// AnswerWriter writes the answer to a call to its caller.
type AnswerWriter interface {
	// SendHeader sends the status code and the header. It is called exactly
	// once, before the first Write.
	SendHeader(status int, header http.Header)
	// Write sends part of the body to the caller without buffering it.
	Write(data []byte) error
}

// CallRunner runs calls on backend servers.
type CallRunner interface {
	// Run runs call and writes the answer to writer. It returns nil once the
	// whole answer has been written. If Run fails before it has sent the status
	// code and the header, the error is a NotRunError if the call did not run
	// and will not run later.
	Run(ctx context.Context, call *Call, writer AnswerWriter) error
}

// Overdue reports whether the deadline of c has passed at the time now. A zero deadline
// never passes.
func (c *Call) Overdue(now time.Time) bool { return !c.Deadline.IsZero() && !now.Before(c.Deadline) }

// ExchangeRequest is an HTTP request to a backend server.
type ExchangeRequest struct {
	// Method, Target and Host have the same meaning as in Call.
	Method string
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// EchoHeader names a header field that the response must repeat, so that it
	// can be matched to the request. If it is empty, any response is accepted, and the
	// request is sent on a new connection.
	EchoHeader string
	// EchoValue is the required value of the header field EchoHeader.
	EchoValue string
	// FreshConnection has the same meaning as in ForwardOptions.
	FreshConnection bool
	// KeptConnection permits a request without EchoHeader to use a kept connection. A
	// late copy of another response may then be taken for the response: the sender must
	// be able to recognize it, or to bear it.
	KeptConnection bool
}

// Exchanger sends HTTP requests to backend servers over persistent connections.
type Exchanger interface {
	// Exchange sends request to the server at address and returns its response.
	// It never sends a request twice. It fails with an UnsentError if no byte
	// was sent, and with an UnavailableError if it fails after that.
	Exchange(ctx context.Context, address netip.AddrPort, request ExchangeRequest) (*Response, error)
}

// UnsentError reports that no byte of a call left this host.
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
