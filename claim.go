package sardineknot

import "context"

// ClaimResult tells who holds the claim of an unrepeatable request.
type ClaimResult struct {
	// Granted reports that the asking attempt holds the claim and may
	// dispatch, once.
	Granted bool
	// Holder and HolderIncarnation tell who holds the claim.
	Holder            EntryHostID
	HolderIncarnation Incarnation
}

// ClaimAttempt identifies one try to claim. Repeating a Claim with an equal
// attempt is idempotent.
type ClaimAttempt struct {
	// Key identifies the request.
	Key RequestKey
	// Holder and HolderIncarnation identify the asking entry host.
	Holder            EntryHostID
	HolderIncarnation Incarnation
	// Nonce is unique among the attempts of one incarnation.
	Nonce uint64
}

// ClaimLedger records which attempt may dispatch an unrepeatable request.
type ClaimLedger interface {
	// Claim records a unless the request is claimed already. It fails with an
	// UnavailableError if the outcome is unknown; the attempt must then not be
	// dispatched until a repeated Claim has granted it.
	Claim(ctx context.Context, a ClaimAttempt) (ClaimResult, error)
	// Release gives up a claim that was never dispatched, so that a later
	// attempt can be granted. It has no effect unless a holds the claim.
	Release(ctx context.Context, a ClaimAttempt) error
}

// ClaimHolders asks the entry hosts that hold claims of service calls.
type ClaimHolders interface {
	// Join waits for the outcome of the call key at the holder that r names.
	// content is a digest of the call's content. Join fails with a NotRunError
	// if the holder gave the call up before it was sent, with an
	// OutcomeUnknownError if it may have run, with a MismatchError if it had
	// another content, and with an UnavailableError if the holder does not
	// answer.
	Join(ctx context.Context, r ClaimResult, key RequestKey, content [32]byte) (ServiceAnswer, error)
}
