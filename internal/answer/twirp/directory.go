// Package twirp keeps the answer directory over all entry hosts: each of its
// shards is owned by the live host that ranks first for it, and the others
// register their records with the owner.
//
// When a shard moves, each host registers its own records with the new owner. A
// host that owns the shard of its own record has another host keep a copy, so
// that its death does not take the record along.
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
	rpc "sardineknot.example/sardineknot/internal/rpc/answers"
)

const (
	// shardCount is the number of shards of the directory.
	shardCount = 256
	// callTimeout bounds one call to an owner, in addition to the settling
	// time.
	callTimeout = time.Second
	// forgetTries bounds the tries to have a record marked as ended.
	forgetTries = 5
)

var (
	errNoOwner = errors.New("no live entry host")
	// errUnconfirmed is the cause of an UnavailableError of a host that does
	// not know whether others count it as dead.
	errUnconfirmed = errors.New("this host has to find out whether it counts as live")
)

// Directory is a sardineknot.AnswerDirectory. It is safe for concurrent use.
// All exported fields are set before use.
type Directory struct {
	// Members and Ranker tell which host owns a shard.
	Members sardineknot.Membership
	Ranker  sardineknot.Ranker
	// Dead tells which incarnations of hosts are dead.
	Dead func(sardineknot.EntryHostID, sardineknot.Incarnation) bool
	// Clock gives the time.
	Clock sardineknot.Clock
	// Client calls other entry hosts.
	Client *http.Client
	// Settle is the settling time of a shard that moved here.
	Settle time.Duration
	// Displaced is called with the key of a record of this host that another
	// host has in force. Nil discards the call.
	Displaced func(sardineknot.RequestKey)

	shards [shardCount]slot
}

// slot is this host's view of one shard.
type slot struct {
	mu sync.Mutex
	// owner is valid if ok is set.
	owner sardineknot.EntryHost
	ok    bool
	// local is not nil if and only if this host owns the shard.
	local *directory.Shard
	// own holds the records of this host by request.
	own map[sardineknot.RequestKey]sardineknot.AnswerRecord
	// copies holds records of hosts that own the shard themselves.
	copies map[sardineknot.RequestKey]copied
}

var _ sardineknot.AnswerDirectory = (*Directory)(nil)

// Run follows the membership until ctx is done.
func (d *Directory) Run(ctx context.Context) error {
	var n sardineknot.Incarnation
	for {
		c := d.Members.Changed()
		s := d.Members.Self().Incarnation
		for i := range d.shards {
			d.refresh(ctx, i, s != n)
		}
		n = s
		select {
		case <-c:
		case <-ctx.Done():
			return nil
		}
	}
}

// Handler returns the path and the handler of the calls of other hosts.
func (d *Directory) Handler() (path string, h http.Handler) {
	s := rpc.NewAnswersServer(&service{directory: d})
	return s.PathPrefix(), s
}

// Register implements sardineknot.AnswerDirectory. It sets the present
// incarnation of this host.
func (d *Directory) Register(ctx context.Context, r sardineknot.AnswerRecord) (current sardineknot.AnswerRecord, previous *sardineknot.AnswerRecord, err error) {
	s := &d.shards[index(r.Key)]
	r.Incarnation = d.Members.Self().Incarnation
	current, previous, err = d.register(ctx, s, r, s.has(r))
	if err == nil && sameHost(current, r) {
		s.keep(r)
		d.copyAway(ctx, s, r)
	}
	return current, previous, err
}

// Forget implements sardineknot.AnswerDirectory.
func (d *Directory) Forget(ctx context.Context, r sardineknot.AnswerRecord) {
	s := &d.shards[index(r.Key)]
	s.drop(r.Key)
	for range forgetTries {
		if d.forget(ctx, s, r) == nil {
			return
		}
		select {
		case <-time.After(callTimeout):
		case <-ctx.Done():
			return
		}
	}
}

// Own returns the record that this host has of request k.
func (d *Directory) Own(k sardineknot.RequestKey) (r sardineknot.AnswerRecord, ok bool) {
	s := &d.shards[index(k)]
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok = s.own[k]
	return r, ok
}

func (d *Directory) register(ctx context.Context, s *slot, r sardineknot.AnswerRecord, standing bool) (current sardineknot.AnswerRecord, previous *sardineknot.AnswerRecord, err error) {
	o, l, ok := s.view()
	if d.Members.Isolated() || l != nil && o.Incarnation != d.Members.Self().Incarnation {
		return r, nil, errors.WithStack(&sardineknot.UnavailableError{Peer: "answer directory", Cause: errUnconfirmed})
	}
	if !ok {
		return r, nil, errors.WithStack(&sardineknot.UnavailableError{Peer: "answer directory", Cause: errNoOwner})
	}
	ctx, cancel := context.WithTimeout(ctx, d.Settle+callTimeout)
	defer cancel()
	if l != nil {
		return l.Register(ctx, r, standing)
	}
	p, err := d.client(o).Register(ctx, &rpc.RegisterRequest{Record: message(r), Standing: standing})
	if err != nil {
		return r, nil, errors.WithStack(&sardineknot.UnavailableError{Peer: string(o.ID), Cause: err})
	}
	current = r
	if p.GetRecord() != nil {
		current = record(p.GetRecord())
	}
	if p.GetPrevious() != nil {
		v := record(p.GetPrevious())
		previous = &v
	}
	return current, previous, nil
}

func (d *Directory) forget(ctx context.Context, s *slot, r sardineknot.AnswerRecord) error {
	o, l, ok := s.view()
	switch {
	case !ok:
		return errNoOwner
	case l != nil:
		l.Forget(r)
		o, ok = d.deputy(r.Key)
	}
	if !ok {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := d.client(o).Forget(ctx, &rpc.ForgetRequest{Records: []*rpc.Record{message(r)}})
	return errors.WithStack(err)
}

func (d *Directory) client(o sardineknot.EntryHost) rpc.Answers {
	return rpc.NewAnswersProtobufClient("http://"+o.PeerAddress.String(), d.Client)
}

// name returns the name that the owner of shard i is ranked by.
func name(i int) string { return "answers/" + strconv.Itoa(i) }

func index(k sardineknot.RequestKey) int {
	return int(xxhash.Sum64String(k.String()) % shardCount)
}

func sameHost(a, b sardineknot.AnswerRecord) bool {
	return a.Host == b.Host && a.Incarnation == b.Incarnation
}
