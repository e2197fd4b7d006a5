package sardineknot

import (
	"context"
	"strconv"
	"time"
)

// MaxLocalPrefillTokens is the longest prompt, in tokens, that a decode engine
// may prefill itself. While it does so, all answers on that engine are paused.
const MaxLocalPrefillTokens = 5000

// EngineRequest is one attempt to have engines generate the answer to a
// request, or the rest of that answer.
type EngineRequest struct {
	// Key identifies the request. All attempts of the request have this key.
	Key RequestKey
	// Attempt is the number of this attempt among those of the same request,
	// from zero. Numbers may be left out, but none is used twice.
	Attempt int
	// Owner is the entry host that is responsible for the request.
	Owner EntryHostID
	// OwnerIncarnation is the incarnation of Owner that is responsible for the
	// request.
	OwnerIncarnation Incarnation
	// Prompt is the text to continue.
	Prompt string
	// PreviousTokens holds the tokens of the answer that earlier attempts
	// generated. It is empty for a first attempt.
	PreviousTokens []Token
	// MaxTokens is the maximum length of the whole answer, in tokens, including
	// those of earlier attempts.
	MaxTokens int
	// Priority orders requests within the engine. Smaller values are served
	// first.
	Priority int
}

// EngineRequestID returns the identifier of this attempt on engines: Key and
// Attempt, separated by a slash. No other attempt has the same identifier.
func (r EngineRequest) EngineRequestID() string {
	return r.Key.String() + "/" + strconv.Itoa(r.Attempt)
}

// JobKey returns the key of the Job for which this attempt is granted engines.
// Each attempt has a job of its own. The string form of the key is equal to
// EngineRequestID.
func (r EngineRequest) JobKey() RequestKey {
	i := string(r.Key.ID) + "/" + strconv.Itoa(r.Attempt)
	return RequestKey{Account: r.Key.Account, ID: RequestID(i)}
}

// KVCacheLocation identifies the KV cache that a prefill computed, for import
// by a decode engine. Its fields correspond to kv_transfer_params of vLLM.
type KVCacheLocation struct {
	// EngineID is the engine that holds the cache blocks.
	EngineID string
	// Blocks holds the identifiers of the cache blocks on that engine.
	Blocks []int
	// Address is the address from which the decode engine reads the blocks.
	Address string
}

// HeldRequest is a request for which an engine holds memory.
type HeldRequest struct {
	// EngineRequestID identifies the request on the engine, for cancellation.
	EngineRequestID string
	// Key identifies the request.
	Key RequestKey
	// Owner and OwnerIncarnation identify the entry host process that is
	// responsible for the request.
	Owner            EntryHostID
	OwnerIncarnation Incarnation
}

// LoadReport is the load that an engine reports. It lags behind the actual
// load.
type LoadReport struct {
	// Server is the engine that sent the report.
	Server BackendServerName
	// MeasuredAt is the time at which the engine measured its load, or a lower
	// bound of that time.
	MeasuredAt time.Time
	// Running and Waiting are the numbers of running and queued requests.
	Running int
	Waiting int
	// RunningRequests holds the running requests. It is nil if the engine does
	// not report them.
	RunningRequests []RunningRequest
}

// RunningRequest describes a running request, as reported by its engine.
type RunningRequest struct {
	// ID identifies the call.
	ID RequestID
	// MemoryTokens is the memory that the request occupies, in tokens. Events
	// is the number of stream events that it has produced.
	MemoryTokens int
	Events       int
}

// TokenStream is the stream of tokens from a decode engine.
type TokenStream interface {
	// Next returns the next token. It returns io.EOF after the engine has
	// marked the end of the answer, and an InterruptedError if the stream ends
	// without this mark.
	Next() (Token, error)
	// Close stops reading. It does not cancel the request on the engine.
	Close() error
}

// EngineClient sends requests to prefill and decode engines.
//
// Every method fails with a RefusedError if the engine reported that it did not
// run the request, and with an UnavailableError if the engine did not answer.
type EngineClient interface {
	// Prefill computes the KV cache of the request's prompt on server.
	Prefill(ctx context.Context, server BackendServer, request EngineRequest) (KVCacheLocation, error)
	// Decode imports cache on server and streams the answer.
	Decode(ctx context.Context, server BackendServer, request EngineRequest, cache KVCacheLocation) (TokenStream, error)
	// Resume continues the stream of request on server from the token at index
	// offset, and makes request.Owner the owner of the request.
	Resume(ctx context.Context, server BackendServer, request EngineRequest, offset int) (TokenStream, error)
	// Cancel cancels the request engineRequestID on server, which frees the
	// memory that server holds for it. An unknown identifier is not an error.
	Cancel(ctx context.Context, server BackendServer, engineRequestID string) error
	// HeldRequests returns the requests for which server holds memory.
	HeldRequests(ctx context.Context, server BackendServer) ([]HeldRequest, error)
	// Load returns the load that server reports.
	Load(ctx context.Context, server BackendServer) (LoadReport, error)
}

// PlainServiceClient sends calls to plain services.
type PlainServiceClient interface {
	// Call sends call to server. It fails with a RefusedError if the service
	// reported that it did not run the call, with a NotRunError if no byte of
	// the call left this host, and with an UnavailableError if the outcome is
	// unknown.
	Call(ctx context.Context, server BackendServer, call ServiceCall) (ServiceAnswer, error)
}
