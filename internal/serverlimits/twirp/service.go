package twirp

import (
	"context"
	"net/http"
	"time"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/peer/micros"
	rpc "sardineknot.example/sardineknot/internal/rpc/serverlimits"
)

// service serves the limits of this host to other hosts.
type service struct {
	limiter *Limiter
}

var _ rpc.ServerLimits = (*service)(nil)

// Handler returns the handler of requests from other hosts, and the path prefix
// under which it must be registered.
func (l *Limiter) Handler() (path string, handler http.Handler) {
	s := rpc.NewServerLimitsServer(&service{limiter: l})
	return s.PathPrefix(), s
}

// Take implements rpc.ServerLimits. The request is served whether or not this
// host is the owner by its own view of the membership.
func (s *service) Take(_ context.Context, request *rpc.TakeRequest) (*rpc.TakeResponse, error) {
	l := s.limiter
	k := l.learn(request.GetLimit())
	n := l.Clock.Now()
	p, _ := limitFromMessage(request.GetLimit(), n)
	d := l.table.TakeOwned(n, p)
	return &rpc.TakeResponse{Limit: limitMessage(p, k, n), WaitMicros: d.Microseconds()}, nil
}

// Report implements rpc.ServerLimits.
func (s *service) Report(_ context.Context, request *rpc.Limit) (*rpc.ReportResponse, error) {
	s.limiter.learn(request)
	return &rpc.ReportResponse{}, nil
}

// limitMessage converts what is known of the limit of process to a message that
// is sent at time now.
func limitMessage(process sardineknot.ServerProcess, known sardineknot.ServerLimit, now time.Time) *rpc.Limit {
	return &rpc.Limit{Server: string(process.Name), Born: process.Born, PerSecond: known.PerSecond, AgeMicros: now.Sub(known.At).Microseconds()}
}

// limitFromMessage is the inverse of limitMessage for a message that is received
// at time now. A limit from the future, which would not expire, counts as named now.
func limitFromMessage(message *rpc.Limit, now time.Time) (sardineknot.ServerProcess, sardineknot.ServerLimit) {
	p := sardineknot.ServerProcess{Name: sardineknot.BackendServerName(message.GetServer()), Born: message.GetBorn()}
	return p, sardineknot.ServerLimit{PerSecond: message.GetPerSecond(), At: now.Add(-max(0, micros.Duration(message.GetAgeMicros())))}
}
