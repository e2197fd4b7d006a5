// Package twirp distributes the answer directory over all entry hosts. Each
// shard is owned by one live host, the first by rendezvous hashing, and the
// other hosts register their records with the owner.
//
// When a shard moves, each host registers its records again with the new owner.
// A host that owns the shard of one of its own records stores a replica on
// another host, so that the record survives the owner.
package twirp

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/answer/directory"
	"sardineknot.example/sardineknot/internal/host/clock"
	rpc "sardineknot.example/sardineknot/internal/rpc/answers"
)

const (
	// shardCount is the number of shards of the directory.
	shardCount = 256
	// callTimeout bounds one call to an owner. For registrations,
	// Directory.SettlingTime is added, because a new owner delays them by up to
	// that time.
	callTimeout = time.Second
	// maxForgetAttempts bounds the attempts to mark a record as ended.
	maxForgetAttempts = 5
)

var (
	errNoOwner = errors.New("no live entry host")
	// errUnconfirmed is the cause of the UnavailableError returned while this
	// host does not know whether the other hosts consider it dead.
	errUnconfirmed = errors.New("this host does not know whether other hosts consider it dead")
)

// Directory implements sardineknot.AnswerDirectory on top of the cluster
// membership. It is safe for concurrent use. All exported fields must be set
// before use.
type Directory struct {
	// Members and Ranker determine the owner of each shard.
	Members sardineknot.Membership
	Ranker  sardineknot.Ranker
	// IsDead reports whether an incarnation of a host is dead.
	IsDead func(sardineknot.EntryHostID, sardineknot.Incarnation) bool
	// Clock returns the current time.
	Clock sardineknot.Clock
	// Client calls other entry hosts.
	Client *http.Client
	// SettlingTime is the time after a shard has moved to this host in which the
	// hosts register their records again. Registrations of new records wait
	// until it has passed.
	SettlingTime time.Duration
	// OnDisplaced is called with the key of a record of this host when another
	// host turns out to hold the current record. It may be nil.
	OnDisplaced func(sardineknot.RequestKey)

	shards [shardCount]shardView
}

// shardView is this host's view of one shard.
type shardView struct {
	mu sync.Mutex
	// owner is the owner of the shard. It is valid only if ok is set.
	owner sardineknot.EntryHost
	ok    bool
	// local holds the records of the shard if this host owns it, and is nil
	// otherwise.
	local *directory.Shard
	// own holds the records that this host has registered, by request.
	own map[sardineknot.RequestKey]sardineknot.AnswerRecord
	// replicas holds records of other hosts that own the shard themselves. If
	// such a host fails, this host registers the replicas of its records with
	// the next owner.
	replicas map[sardineknot.RequestKey]replica
}

var _ sardineknot.AnswerDirectory = (*Directory)(nil)

// Run updates the shard owners at every change of the membership until ctx is
// done. It returns nil.
func (d *Directory) Run(ctx context.Context) error {
	var n sardineknot.Incarnation
	for {
		c := d.Members.Changed()
		s := d.Members.Self().Incarnation
		for i := range d.shards {
			d.updateOwner(ctx, i, s != n)
		}
		n = s
		select {
		case <-c:
		case <-ctx.Done():
			return nil
		}
	}
}

// Handler returns the path and the handler that serve the calls of other hosts.
func (d *Directory) Handler() (path string, h http.Handler) {
	s := rpc.NewAnswersServer(&service{directory: d})
	return s.PathPrefix(), s
}

// Register implements sardineknot.AnswerDirectory. It sets the incarnation of r
// to the current one of this host.
func (d *Directory) Register(ctx context.Context, r sardineknot.AnswerRecord) (current sardineknot.AnswerRecord, previous *sardineknot.AnswerRecord, err error) {
	s := &d.shards[shardIndex(r.Key)]
	r.Incarnation = d.Members.Self().Incarnation
	current, previous, err = d.register(ctx, s, r, s.hasOwnRecord(r))
	if err == nil && sameHost(current, r) {
		s.storeOwnRecord(r)
		d.replicate(ctx, s, r)
	}
	return current, previous, err
}

// Unregister implements sardineknot.AnswerDirectory.
func (d *Directory) Unregister(ctx context.Context, r sardineknot.AnswerRecord) {
	s := &d.shards[shardIndex(r.Key)]
	s.deleteOwnRecord(r.Key)
	for range maxForgetAttempts {
		if d.forget(ctx, s, r) == nil {
			return
		}
		if (clock.System{}).Sleep(ctx, callTimeout) != nil {
			return
		}
	}
}

// LocalRecord returns the record that this host has registered for request k,
// if any.
func (d *Directory) LocalRecord(k sardineknot.RequestKey) (r sardineknot.AnswerRecord, ok bool) {
	s := &d.shards[shardIndex(k)]
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok = s.own[k]
	return r, ok
}

func (d *Directory) register(ctx context.Context, s *shardView, r sardineknot.AnswerRecord, reregistered bool) (current sardineknot.AnswerRecord, previous *sardineknot.AnswerRecord, err error) {
	o, l, ok := s.snapshot()
	if d.Members.Isolated() || l != nil && o.Incarnation != d.Members.Self().Incarnation {
		return r, nil, errors.WithStack(&sardineknot.UnavailableError{Peer: "answer directory", Cause: errUnconfirmed})
	}
	if !ok {
		return r, nil, errors.WithStack(&sardineknot.UnavailableError{Peer: "answer directory", Cause: errNoOwner})
	}
	ctx, cancel := context.WithTimeout(ctx, d.SettlingTime+callTimeout)
	defer cancel()
	if l != nil {
		return l.Register(ctx, r, reregistered)
	}
	p, err := d.client(o).Register(ctx, &rpc.RegisterRequest{Record: encode(r), Standing: reregistered})
	if err != nil {
		return r, nil, errors.WithStack(&sardineknot.UnavailableError{Peer: string(o.ID), Cause: err})
	}
	current = r
	if p.GetRecord() != nil {
		current = decode(p.GetRecord())
	}
	if p.GetPrevious() != nil {
		v := decode(p.GetPrevious())
		previous = &v
	}
	return current, previous, nil
}

func (d *Directory) forget(ctx context.Context, s *shardView, r sardineknot.AnswerRecord) error {
	o, l, ok := s.snapshot()
	switch {
	case !ok:
		return errNoOwner
	case l != nil:
		l.Forget(r)
		o, ok = d.replicaHost(r.Key)
	}
	if !ok {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := d.client(o).Forget(ctx, &rpc.ForgetRequest{Records: []*rpc.Record{encode(r)}})
	return errors.WithStack(err)
}

func (d *Directory) client(o sardineknot.EntryHost) rpc.Answers {
	return rpc.NewAnswersProtobufClient("http://"+o.PeerAddress.String(), d.Client)
}

// shardName returns the key by which the hosts are ranked for shard i.
func shardName(i int) string { return "answers/" + strconv.Itoa(i) }

func shardIndex(k sardineknot.RequestKey) int {
	return int(xxhash.Sum64String(k.String()) % shardCount)
}

func sameHost(a, b sardineknot.AnswerRecord) bool {
	return a.Host == b.Host && a.Incarnation == b.Incarnation
}
