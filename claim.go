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
