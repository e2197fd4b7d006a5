package twirp

import (
	"context"
	"net/http"

	rpc "sardineknot.example/sardineknot/internal/rpc/quarantine"
)

// service serves the evidence of this host to other hosts.
type service struct {
	guard *Guard
}

var _ rpc.Quarantines = (*service)(nil)

// Handler returns the handler of requests from other hosts, and the path prefix
// under which it must be registered.
func (g *Guard) Handler() (path string, handler http.Handler) {
	s := rpc.NewQuarantinesServer(&service{guard: g})
	return s.PathPrefix(), s
}

// Share implements rpc.Quarantines.
func (s *service) Share(_ context.Context, request *rpc.Evidence) (*rpc.ShareResponse, error) {
	s.guard.learn(request)
	return &rpc.ShareResponse{}, nil
}

// Fetch implements rpc.Quarantines.
func (s *service) Fetch(_ context.Context, request *rpc.FetchRequest) (*rpc.Evidence, error) {
	g := s.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.evidence.Digest() == request.GetDigest() {
		return &rpc.Evidence{}, nil
	}
	return evidenceMessage(g.evidence.All(), g.Clock.Now()), nil
}
