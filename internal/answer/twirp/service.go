package twirp

import (
	"context"

	"github.com/twitchtv/twirp"

	"sardineknot.example/sardineknot/internal/answer/directory"
	rpc "sardineknot.example/sardineknot/internal/rpc/answers"
)

// service handles the calls of other hosts for the shards that this host owns.
type service struct {
	directory *Directory
}

var _ rpc.Answers = (*service)(nil)

// Register implements rpc.Answers.
func (s *service) Register(ctx context.Context, q *rpc.RegisterRequest) (*rpc.RegisterResponse, error) {
	r := decode(q.GetRecord())
	if q.GetCopy() {
		s.directory.shards[shardIndex(r.Key)].storeReplica(s.directory.Clock.Now(), r)
		return &rpc.RegisterResponse{}, nil
	}
	l, err := s.ownedShard(shardIndex(r.Key))
	if err != nil {
		return nil, err
	}
	c, p, err := l.Register(ctx, r, q.GetStanding())
	if err != nil {
		return nil, twirp.Unavailable.Error(err.Error())
	}
	a := &rpc.RegisterResponse{}
	if !sameHost(c, r) {
		a.Record = encode(c)
	}
	if p != nil && !q.GetStanding() {
		a.Previous = encode(*p)
	}
	return a, nil
}

// Forget implements rpc.Answers.
func (s *service) Forget(_ context.Context, q *rpc.ForgetRequest) (*rpc.ForgetResponse, error) {
	for _, m := range q.GetRecords() {
		r := decode(m)
		c := s.directory.shards[shardIndex(r.Key)].deleteReplica(r)
		l, err := s.ownedShard(shardIndex(r.Key))
		if err == nil {
			l.Forget(r)
		}
		if err != nil && !c {
			return nil, err
		}
	}
	return &rpc.ForgetResponse{}, nil
}

// ownedShard returns shard i, or a Twirp FailedPrecondition error if this host
// does not own it or does not know whether it is considered dead.
func (s *service) ownedShard(i int) (*directory.Shard, error) {
	o, l, _ := s.directory.shards[i].snapshot()
	m := s.directory.Members
	if l == nil || m.Isolated() || o.Incarnation != m.Self().Incarnation {
		return nil, twirp.FailedPrecondition.Error("another host owns the shard")
	}
	return l, nil
}
