package peer

import (
	"context"
	"net/http"

	"github.com/twitchtv/twirp"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/rpc/claims"
)

// PathPrefix is the prefix of the paths that the handler of NewHandler serves.
const PathPrefix = claims.ClaimsPathPrefix

// server serves the requests of other entry hosts.
type server struct {
	ledger sardineknot.ClaimLedger
}

// NewHandler returns a handler through which other entry hosts write claims to
// l.
func NewHandler(l sardineknot.ClaimLedger) http.Handler {
	return claims.NewClaimsServer(&server{ledger: l})
}

// Claim implements claims.Claims.
func (s *server) Claim(ctx context.Context, request *claims.ClaimRequest) (*claims.ClaimResponse, error) {
	r, err := s.ledger.Claim(ctx, decode(request.GetAttempt()))
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
func (s *server) Release(ctx context.Context, request *claims.ReleaseRequest) (*claims.ReleaseResponse, error) {
	err := s.ledger.Release(ctx, decode(request.GetAttempt()))
	if err != nil {
		return nil, twirp.NewError(twirp.FailedPrecondition, err.Error())
	}
	return &claims.ReleaseResponse{}, nil
}

func decode(attempt *claims.Attempt) sardineknot.ClaimAttempt {
	return sardineknot.ClaimAttempt{
		Key: sardineknot.RequestKey{
			Account: sardineknot.ClientAccountName(attempt.GetAccount()),
			ID:      sardineknot.RequestID(attempt.GetRequest()),
		},
		Holder:            sardineknot.EntryHostID(attempt.GetHolder()),
		HolderIncarnation: sardineknot.Incarnation(attempt.GetHolderIncarnation()),
		Nonce:             attempt.GetNonce(),
	}
}
