package peer

import (
	"context"
	"net/http"

	"github.com/twitchtv/twirp"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/rpc/claims"
)

// PathPrefix starts the paths that the handler of NewHandler serves.
const PathPrefix = claims.ClaimsPathPrefix

// server answers other entry hosts.
type server struct {
	ledger sardineknot.ClaimLedger
}

// NewHandler returns a handler that lets other entry hosts write to l.
func NewHandler(l sardineknot.ClaimLedger) http.Handler {
	return claims.NewClaimsServer(&server{ledger: l})
}

// Claim implements claims.Claims.
func (s *server) Claim(ctx context.Context, q *claims.ClaimRequest) (*claims.ClaimResponse, error) {
	r, err := s.ledger.Claim(ctx, decode(q.GetAttempt()))
	if err != nil {
		return nil, twirp.NewError(twirp.FailedPrecondition, err.Error())
	}
	return &claims.ClaimResponse{
		Granted:           r.Granted,
		Holder:            string(r.Holder),
		HolderIncarnation: uint64(r.HolderIncarnation),
	}, nil
}

// Release implements claims.Claims.
func (s *server) Release(ctx context.Context, q *claims.ReleaseRequest) (*claims.ReleaseResponse, error) {
	err := s.ledger.Release(ctx, decode(q.GetAttempt()))
	if err != nil {
		return nil, twirp.NewError(twirp.FailedPrecondition, err.Error())
	}
	return &claims.ReleaseResponse{}, nil
}

func decode(a *claims.Attempt) sardineknot.ClaimAttempt {
	return sardineknot.ClaimAttempt{
		Key: sardineknot.RequestKey{
			Account: sardineknot.ClientAccountName(a.GetAccount()),
			ID:      sardineknot.RequestID(a.GetRequest()),
		},
		Holder:            sardineknot.EntryHostID(a.GetHolder()),
		HolderIncarnation: sardineknot.Incarnation(a.GetHolderIncarnation()),
		Nonce:             a.GetNonce(),
	}
}
