package twirp

import (
	"context"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"

	"sardineknot.example/sardineknot"
	rpc "sardineknot.example/sardineknot/internal/rpc/slots"
	"sardineknot.example/sardineknot/internal/slots/local"
)

// service takes the calls of other hosts for the shards of this one.
type service struct {
	pool *Pool
}

var _ rpc.Slots = (*service)(nil)

// Acquire implements rpc.Slots.
func (s *service) Acquire(ctx context.Context, q *rpc.AcquireRequest) (*rpc.AcquireResponse, error) {
	n := s.pool.Clock.Now()
	o, err := s.owned(q.GetShard())
	if err != nil {
		return nil, err
	}
	deliver(o, &rpc.ReportRequest{Events: q.GetEvents()}, n)
	g, err := o.Acquire(ctx, job(q.GetJob(), n))
	f, err := outcome(err)
	if err != nil {
		return nil, err
	}
	return &rpc.AcquireResponse{Prefill: string(g.Prefill), Decode: string(g.Decode), Refusal: f, Load: load(o)}, nil
}

// PrefillDone implements rpc.Slots.
func (s *service) PrefillDone(ctx context.Context, q *rpc.PrefillDoneRequest) (*rpc.PrefillDoneResponse, error) {
	n := s.pool.Clock.Now()
	o, err := s.owned(q.GetShard())
	if err != nil {
		return nil, err
	}
	deliver(o, &rpc.ReportRequest{Events: q.GetEvents()}, n)
	j := job(q.GetJob(), n)
	o.Adopt(sardineknot.RunningJob{Job: j, Grant: sardineknot.Grant{Prefill: sardineknot.BackendServerName(q.GetPrefill())}})
	d, err := o.PrefillDone(ctx, j)
	f, err := outcome(err)
	if err != nil {
		return nil, err
	}
	return &rpc.PrefillDoneResponse{Decode: string(d), Refusal: f, Load: load(o)}, nil
}

// Report implements rpc.Slots.
func (s *service) Report(_ context.Context, q *rpc.ReportRequest) (*rpc.ReportResponse, error) {
	o, err := s.owned(q.GetShard())
	if err != nil {
		return nil, err
	}
	deliver(o, q, s.pool.Clock.Now())
	return &rpc.ReportResponse{Load: load(o)}, nil
}

// owned returns the shard n, or an error of twirp if this host does not own it.
// A host that counted as dead has not, before it took in its new incarnation:
// what it was told would be lost with the shard that it had before.
func (s *service) owned(n string) (*local.Shard, error) {
	l := s.pool.find(n)
	if l == nil {
		return nil, twirp.NotFoundError("no such shard")
	}
	if s.pool.Acting {
		return l.act(), nil
	}
	v := l.view()
	m := s.pool.Members
	if v.local == nil || m.Isolated() || v.owner.Incarnation != m.Self().Incarnation {
		return nil, twirp.FailedPrecondition.Error("another host owns the shard")
	}
	return v.local, nil
}

// outcome splits err into a refusal and an error of twirp.
func outcome(err error) (*rpc.Refusal, error) {
	var n *sardineknot.NotRunError
	if errors.As(err, &n) {
		return refusalMessage(n), nil
	}
	if err != nil {
		return nil, twirp.Unavailable.Error(err.Error())
	}
	return nil, nil
}
