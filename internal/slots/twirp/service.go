package twirp

import (
	"context"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"

	"sardineknot.example/sardineknot"
	rpc "sardineknot.example/sardineknot/internal/rpc/slots"
	"sardineknot.example/sardineknot/internal/slots/local"
)

// service handles the requests of other hosts for the shards of this host.
type service struct {
	pool *Pool
}

var _ rpc.Slots = (*service)(nil)

// Acquire implements rpc.Slots.
func (s *service) Acquire(ctx context.Context, request *rpc.AcquireRequest) (*rpc.AcquireResponse, error) {
	s.learnLeaving(request.GetEvents())
	n := s.pool.Clock.Now()
	o, err := s.ownedShard(request.GetShard())
	if err != nil {
		return nil, err
	}
	applyReport(o, &rpc.ReportRequest{Events: request.GetEvents()}, n)
	g, err := o.Acquire(ctx, jobFromMessage(request.GetJob(), n))
	f, err := splitRefusal(err)
	if err != nil {
		return nil, err
	}
	return &rpc.AcquireResponse{Prefill: string(g.PrefillEngine), Decode: string(g.DecodeEngine), Refusal: f, Load: loadMessage(o)}, nil
}

// PrefillDone implements rpc.Slots.
func (s *service) PrefillDone(ctx context.Context, request *rpc.PrefillDoneRequest) (*rpc.PrefillDoneResponse, error) {
	s.learnLeaving(request.GetEvents())
	n := s.pool.Clock.Now()
	o, err := s.ownedShard(request.GetShard())
	if err != nil {
		return nil, err
	}
	applyReport(o, &rpc.ReportRequest{Events: request.GetEvents()}, n)
	j := jobFromMessage(request.GetJob(), n)
	o.Adopt(sardineknot.RunningJob{Job: j, Grant: sardineknot.Grant{PrefillEngine: sardineknot.BackendServerName(request.GetPrefill())}})
	d, err := o.PrefillDone(ctx, j)
	f, err := splitRefusal(err)
	if err != nil {
		return nil, err
	}
	return &rpc.PrefillDoneResponse{Decode: string(d), Refusal: f, Load: loadMessage(o)}, nil
}

// Report implements rpc.Slots.
func (s *service) Report(_ context.Context, request *rpc.ReportRequest) (*rpc.ReportResponse, error) {
	s.learnLeaving(request.GetEvents())
	o, err := s.ownedShard(request.GetShard())
	if err != nil {
		return nil, err
	}
	applyReport(o, request, s.pool.Clock.Now())
	return &rpc.ReportResponse{Load: loadMessage(o)}, nil
}

// learnLeaving records the servers that events report as leaving. The shards of
// this host grant them to no job after that.
func (s *service) learnLeaving(events []*rpc.Event) {
	if s.pool.ServerLeaving == nil {
		return
	}
	for _, e := range events {
		if e.GetLeaving() {
			s.pool.ServerLeaving(sardineknot.BackendServerName(e.GetServer()), e.GetBorn(), sardineknot.EntryHostID(e.GetOwner()))
			s.pool.refreshIfStale()
		}
	}
}

// ownedShard returns the named shard, or a Twirp error if this host does not
// own it. A host that the others have declared dead does not count as the owner
// until it has applied its new incarnation: it then replaces its shards, and
// anything reported to the old shards would be lost.
func (s *service) ownedShard(name string) (*local.Shard, error) {
	l := s.pool.findByName(name)
	if l == nil {
		return nil, twirp.NotFoundError("no such shard")
	}
	if s.pool.ActAsOwner {
		return l.actingShard(), nil
	}
	o := l.shardOwner()
	m := s.pool.Members
	if o.local == nil || m.Isolated() || o.host.Incarnation != m.Self().Incarnation {
		return nil, twirp.FailedPrecondition.Error("another host owns the shard")
	}
	return o.local, nil
}

// splitRefusal returns the refusal if err is a NotRunError, and a Twirp error
// for any other error. Both are nil if err is nil.
func splitRefusal(err error) (*rpc.Refusal, error) {
	var n *sardineknot.NotRunError
	if errors.As(err, &n) {
		return refusalMessage(n), nil
	}
	if err != nil {
		return nil, twirp.Unavailable.Error(err.Error())
	}
	return nil, nil
}
