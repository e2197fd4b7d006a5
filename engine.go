package sardineknot

import (
	"context"
	"strconv"
	"time"
)

// MaxSelfRead is the longest prompt that a decode engine is given to read, in
// tokens. While it reads, all answers on the engine pause.
const MaxSelfRead = 5000

// EngineRequest is the part of a request that engines see.
type EngineRequest struct {
	// Key identifies the request. Engines keep it unique.
	Key RequestKey
	// Attempt numbers the tries of the same request, from zero.
	Attempt int
	// Owner is the entry host that holds the request.
	Owner EntryHostID
	// OwnerIncarnation is the incarnation of Owner that holds the request.
	OwnerIncarnation Incarnation
	// Prompt is the text to continue.
	Prompt string
	// Prior is the part of the answer that was generated before. It is empty
	// for a first try.
	Prior []Token
	// MaxTokens is the total length of the answer, with Prior.
	MaxTokens int
	// Priority orders requests within the engine. Smaller values go first.
	Priority int
}

// EngineKey returns the identifier that engines know this attempt by.
func (r EngineRequest) EngineKey() string {
	return r.Key.String() + "/" + strconv.Itoa(r.Attempt)
}

// JobKey returns the key of the job of this attempt. Its String is the
// EngineKey.
func (r EngineRequest) JobKey() RequestKey {
	i := string(r.Key.ID) + "/" + strconv.Itoa(r.Attempt)
	return RequestKey{Account: r.Key.Account, ID: RequestID(i)}
}

// KVCache names the result of a prefill, for import by a decode engine. It
// has the shape of the kv_transfer_params of vLLM.
type KVCache struct {
	// EngineID is the engine that holds the blocks.
	EngineID string
	// Blocks are the identifiers of the blocks on that engine.
	Blocks []int
	// Address is the address that the decode engine reads from.
	Address string
}

// HeldRequest is a request for which an engine holds memory.
type HeldRequest struct {
	// EngineKey is the identifier to cancel by.
	EngineKey string
	// Key identifies the request.
	Key RequestKey
	// Owner and OwnerIncarnation tell which entry host holds the request.
	Owner            EntryHostID
	OwnerIncarnation Incarnation
}

// LoadReport is an engine's own report of its load. It lags.
type LoadReport struct {
	// Server is the reporting server.
	Server BackendServerName
	// At is the time at which the engine measured, or the earliest time at
	// which it may have.
	At time.Time
	// Running and Waiting count requests.
	Running int
	Waiting int
	// Runs lists the running requests. It is nil if the engine does not tell.
	Runs []EngineRun
}

// EngineRun is a running request as its engine reports it.
type EngineRun struct {
	// ID is the identifier of the call.
	ID RequestID
	// MemoryTokens is the memory that it takes, in tokens, and Events the
	// number of events that it has made.
	MemoryTokens int
	Events       int
}

// TokenStream is the answer of a decode engine.
type TokenStream interface {
	// Next returns the next token. It returns io.EOF after the explicit end of
	// the answer and an InterruptedError if the stream broke off before it.
	Next() (Token, error)
	// Close stops reading. It does not cancel the request on the engine.
	Close() error
}

// Engine calls prefill and decode engines.
//
// Every method fails with a RefusedError if the engine answered that it did
// not run the request, and with an UnavailableError if it did not answer.
type Engine interface {
	// Prefill computes the KV cache of r's prompt on s.
	Prefill(ctx context.Context, s BackendServer, r EngineRequest) (KVCache, error)
	// Decode imports c on s and streams the answer.
	Decode(ctx context.Context, s BackendServer, r EngineRequest, c KVCache) (TokenStream, error)
	// Resume continues the stream of r on s from token offset on, and makes
	// r.Owner its owner.
	Resume(ctx context.Context, s BackendServer, r EngineRequest, offset int) (TokenStream, error)
	// Cancel frees what s holds under engineKey. An unknown key is not an
	// error.
	Cancel(ctx context.Context, s BackendServer, engineKey string) error
	// Held returns what s holds memory for.
	Held(ctx context.Context, s BackendServer) ([]HeldRequest, error)
	// Load returns the load that s reports.
	Load(ctx context.Context, s BackendServer) (LoadReport, error)
}

// PlainService calls plain services.
type PlainService interface {
	// Call sends c to s. It fails with a RefusedError if the service said that
	// it did not run the call, with a NotRunError if no byte of the call left
	// this host, and with an UnavailableError if the outcome is unknown.
	Call(ctx context.Context, s BackendServer, c ServiceCall) (ServiceAnswer, error)
}
