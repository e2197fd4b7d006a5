// Package registry keeps the answers that this entry host produces, by
// request, so that a caller who asks twice gets one answer.
package registry

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/answer/buffer"
)

// shardCount is the number of independently locked parts. It is a power of
// two.
const shardCount = 64

// Registry maps requests to answers. It is safe for concurrent use.
type Registry struct {
	grace     time.Duration
	retention time.Duration
	// forgotten is called with every request whose answer is no longer kept.
	// It is not nil.
	forgotten func(sardineknot.RequestKey)
	// check returns what has to succeed before each step of a delivery. It is
	// not nil.
	check  func(sardineknot.RequestKey) func(context.Context) error
	shards [shardCount]shard
}

type shard struct {
	mu sync.Mutex
	// answers holds every answer that runs or ended less than the retention
	// ago.
	answers map[sardineknot.RequestKey]*entry
}

type entry struct {
	buffer *buffer.Buffer
	// fingerprint is a hash of the request's content.
	fingerprint uint64
	// cancel ends the production of the answer.
	cancel context.CancelFunc
}

// NewRegistry returns an empty registry. An answer without a delivery is
// abandoned after grace; a whole answer is kept for retention. forgotten, if
// not nil, is called with every request whose answer is no longer kept. check,
// if not nil, returns for a request what has to succeed before each step of a
// delivery.
func NewRegistry(grace, retention time.Duration, forgotten func(sardineknot.RequestKey), check func(sardineknot.RequestKey) func(context.Context) error) *Registry {
	if forgotten == nil {
		forgotten = func(sardineknot.RequestKey) {}
	}
	if check == nil {
		check = func(sardineknot.RequestKey) func(context.Context) error { return nil }
	}
	r := &Registry{grace: grace, retention: retention, forgotten: forgotten, check: check}
	for i := range r.shards {
		r.shards[i].answers = make(map[sardineknot.RequestKey]*entry)
	}
	return r
}

// Open returns the answer to request k. If there is none, or one that was
// interrupted, it adds one with the tokens that exist and calls run in a new
// goroutine with a context that ends when the answer is abandoned; run must end
// the answer. Open fails with a MismatchError if k was opened before with
// another fingerprint.
func (r *Registry) Open(k sardineknot.RequestKey, fingerprint uint64, run func(context.Context, *buffer.Buffer)) (*buffer.Buffer, error) {
	s := r.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.answers[k]
	if e != nil && e.fingerprint != fingerprint {
		return nil, errors.WithStack(&sardineknot.MismatchError{Key: k})
	}
	if e != nil && !resumable(e.buffer.Ended()) {
		return e.buffer, nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	b := buffer.NewBuffer(k, r.grace, cancel, r.check(k))
	if e != nil {
		b.Continue(e.buffer)
	}
	e = &entry{buffer: b, fingerprint: fingerprint, cancel: cancel}
	s.answers[k] = e
	go func() {
		defer cancel()
		run(ctx, e.buffer)
		r.retain(k, e)
	}()
	return e.buffer, nil
}

// Find returns the answer to request k, or nil. It fails with a MismatchError
// if k was opened with another fingerprint.
func (r *Registry) Find(k sardineknot.RequestKey, fingerprint uint64) (*buffer.Buffer, error) {
	s := r.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.answers[k]
	if e == nil {
		return nil, nil
	}
	if e.fingerprint != fingerprint {
		return nil, errors.WithStack(&sardineknot.MismatchError{Key: k})
	}
	return e.buffer, nil
}

// Has reports whether this host has an answer to request k.
func (r *Registry) Has(k sardineknot.RequestKey) bool {
	s := r.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answers[k] != nil
}

// Displace ends the answer to request k on this host, because another host
// produces it.
func (r *Registry) Displace(k sardineknot.RequestKey) {
	s := r.shard(k)
	s.mu.Lock()
	e := s.answers[k]
	s.mu.Unlock()
	if e == nil {
		return
	}
	e.buffer.End(errors.WithStack(&sardineknot.DisplacedError{Key: k}))
	e.cancel()
}

// Running returns the number of answers that have not ended.
func (r *Registry) Running() int {
	var n int
	for i := range r.shards {
		n += r.shards[i].running()
	}
	return n
}

// retain forgets at once a request that the caller may ask for again or that
// another host produces, and any other after the retention.
func (r *Registry) retain(k sardineknot.RequestKey, e *entry) {
	if repeatable(e.buffer.Ended()) {
		r.forget(k, e)
		return
	}
	time.AfterFunc(r.retention, func() { r.forget(k, e) })
}

// repeatable reports whether a request whose answer ended with err can be run
// again from the start, here or elsewhere.
func repeatable(err error) bool {
	var n *sardineknot.NotRunError
	var f *sardineknot.FailedError
	var o *sardineknot.ElsewhereError
	var d *sardineknot.DisplacedError
	var l *sardineknot.LostError
	return errors.As(err, &n) || errors.As(err, &f) || errors.As(err, &o) || errors.As(err, &d) || errors.As(err, &l)
}

// resumable reports whether an answer that ended with err can go on.
func resumable(err error) bool {
	var i *sardineknot.InterruptedError
	return errors.As(err, &i)
}

func (r *Registry) forget(k sardineknot.RequestKey, e *entry) {
	if r.shard(k).forget(k, e) {
		r.forgotten(k)
	}
}

func (r *Registry) shard(k sardineknot.RequestKey) *shard {
	return &r.shards[xxhash.Sum64String(k.String())%shardCount]
}

func (s *shard) forget(k sardineknot.RequestKey, e *entry) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.answers[k] != e {
		return false
	}
	delete(s.answers, k)
	return true
}

func (s *shard) running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	var n int
	for _, e := range s.answers {
		if e.buffer.Ended() == nil {
			n++
		}
	}
	return n
}
