package holder

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/rpc/services"
)

// PathPrefix is the common prefix of the paths served by the handler of
// NewHandler.
const PathPrefix = services.ServicesPathPrefix

// callJoiner returns the outcomes of the calls of this host.
type callJoiner interface {
	Join(ctx context.Context, k sardineknot.RequestKey, content [32]byte) (sardineknot.ServiceAnswer, error)
}

// server serves the queries of other entry hosts.
type server struct {
	self  sardineknot.EntryHost
	calls callJoiner
}

// NewHandler returns a handler that answers the queries of other entry hosts
// with the outcomes that c returns. self is this host.
func NewHandler(self sardineknot.EntryHost, c callJoiner) http.Handler {
	return services.NewServicesServer(&server{self: self, calls: c})
}

// Join implements services.Services.
func (s *server) Join(ctx context.Context, q *services.JoinRequest) (*services.JoinResponse, error) {
	if q.GetIncarnation() != uint64(s.self.Incarnation) {
		return &services.JoinResponse{Reason: "the holder of the claim was restarted"}, nil
	}
	if q.GetWaitMilliseconds() > 0 {
		w, cancel := context.WithTimeout(ctx, time.Duration(q.GetWaitMilliseconds())*time.Millisecond)
		defer cancel()
		ctx = w
	}
	var f [32]byte
	copy(f[:], q.GetFingerprint())
	k := sardineknot.RequestKey{
		Account: sardineknot.ClientAccountName(q.GetAccount()),
		ID:      sardineknot.RequestID(q.GetRequest()),
	}
	a, err := s.calls.Join(ctx, k, f)
	return encode(a, err), nil
}

func encode(a sardineknot.ServiceAnswer, err error) *services.JoinResponse {
	if err == nil {
		return &services.JoinResponse{
			Outcome:     services.JoinResponse_ANSWERED,
			Status:      int32(a.Status),
			ContentType: a.ContentType,
			Body:        a.Body,
		}
	}
	r := &services.JoinResponse{Reason: err.Error()}
	var n *sardineknot.NotRunError
	var m *sardineknot.ContentMismatchError
	var u *sardineknot.OutcomeUnknownError
	switch {
	case errors.As(err, &n):
		r.Outcome = services.JoinResponse_NOT_RUN
	case errors.As(err, &m):
		r.Outcome = services.JoinResponse_MISMATCH
	case errors.As(err, &u):
		r.Reason = u.Reason
	}
	return r
}
