package sardineknot

import "context"

// ClaimResult is the result of an attempt to claim an unrepeatable request.
type ClaimResult struct {
	// Granted reports whether the requesting attempt holds the claim. If it
	// does, its host may dispatch the request exactly once.
	Granted bool
	// Holder and HolderIncarnation identify the entry host process that holds
	// the claim.
	Holder            EntryHostID
	HolderIncarnation Incarnation
}

// ClaimAttempt identifies one attempt to claim a request. Repeating Claim with
// an equal ClaimAttempt is idempotent.
type ClaimAttempt struct {
	// Key identifies the request.
	Key RequestKey
	// Holder and HolderIncarnation identify the entry host process that makes
	// the attempt.
	Holder            EntryHostID
	HolderIncarnation Incarnation
	// Nonce is unique among the attempts of one incarnation.
	Nonce uint64
}

// ClaimLedger records which attempt may dispatch an unrepeatable request.
type ClaimLedger interface {
	// Claim records attempt as the holder of the request's claim, unless the
	// request is already claimed, and returns the holder. It fails with an
	// UnavailableError if the outcome is unknown; the attempt must then not be
	// dispatched until a repeated Claim has granted it.
	Claim(ctx context.Context, attempt ClaimAttempt) (ClaimResult, error)
	// Release gives up the claim of an attempt that never dispatched the
	// request, so that the claim can be granted to a later attempt. It has no
	// effect unless attempt holds the claim.
	Release(ctx context.Context, attempt ClaimAttempt) error
}

// ClaimHolderClient queries the entry hosts that hold the claims of service
// calls.
type ClaimHolderClient interface {
	// AwaitOutcome waits until the holder named in claim knows the outcome of
	// the call with the given key, and returns that outcome. content is a
	// digest of the call's content. AwaitOutcome fails with a NotRunError if
	// the holder gave up the call before sending it, with an
	// OutcomeUnknownError if the call may have run, with a ContentMismatchError
	// if the holder's call has different content, and with an UnavailableError
	// if the holder does not answer.
	AwaitOutcome(ctx context.Context, claim ClaimResult, key RequestKey, content [32]byte) (ServiceAnswer, error)
}
