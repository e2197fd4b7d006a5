// Package registry stores the answers that this entry host produces, by
// request, so that repeated requests share one answer.
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

// shardCount is the number of independently locked shards. It is a power of
// two.
const shardCount = 64

// Registry maps requests to answers. It is safe for concurrent use.
type Registry struct {
	abandonTimeout time.Duration
	retention      time.Duration
	// onEvict is called with the key of every request whose answer is no longer
	// kept. It is not nil.
	onEvict func(sardineknot.RequestKey)
	// deliveryCheck returns the check that the buffer of a request runs before
	// each delivery of a token. It is not nil.
	deliveryCheck func(sardineknot.RequestKey) func(context.Context) error
	shards        [shardCount]shard
}

type shard struct {
	mu sync.Mutex
	// answers holds the answers that are being produced or that ended less than
	// the retention time ago.
	answers map[sardineknot.RequestKey]*entry
}

type entry struct {
	buffer *buffer.Buffer
	// fingerprint is the hash of the request's content.
	fingerprint uint64
	// cancel cancels the production of the answer.
	cancel context.CancelFunc
}

// NewRegistry returns an empty registry. An answer without a delivery is
// abandoned after abandonTimeout; a complete or interrupted answer is kept for
// retention. onEvict, if not nil, is called with the key of every request whose
// answer is no longer kept. check, if not nil, is called with the key of each
// request and returns a function, or nil, that must succeed before each token
// of the answer is delivered.
func NewRegistry(abandonTimeout, retention time.Duration, onEvict func(sardineknot.RequestKey), check func(sardineknot.RequestKey) func(context.Context) error) *Registry {
	if onEvict == nil {
		onEvict = func(sardineknot.RequestKey) {}
	}
	if check == nil {
		check = func(sardineknot.RequestKey) func(context.Context) error { return nil }
	}
	r := &Registry{abandonTimeout: abandonTimeout, retention: retention, onEvict: onEvict, deliveryCheck: check}
	for i := range r.shards {
		r.shards[i].answers = make(map[sardineknot.RequestKey]*entry)
	}
	return r
}

// Open returns the answer to request k. If there is no answer or it was
// interrupted, Open adds an answer that starts with the tokens of the
// interrupted one, and calls run in a new goroutine; run must end the answer.
// The context of run is cancelled when the answer is abandoned. Open fails with
// a ContentMismatchError if k was opened before with another fingerprint.
func (r *Registry) Open(k sardineknot.RequestKey, fingerprint uint64, run func(context.Context, *buffer.Buffer)) (*buffer.Buffer, error) {
	s := r.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.answers[k]
	if e != nil && e.fingerprint != fingerprint {
		return nil, errors.WithStack(&sardineknot.ContentMismatchError{Key: k})
	}
	if e != nil && !resumable(e.buffer.Err()) {
		return e.buffer, nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	b := buffer.NewBuffer(k, r.abandonTimeout, cancel, r.deliveryCheck(k))
	if e != nil {
		b.CopyFrom(e.buffer)
	}
	e = &entry{buffer: b, fingerprint: fingerprint, cancel: cancel}
	s.answers[k] = e
	go func() {
		defer cancel()
		run(ctx, e.buffer)
		r.scheduleEviction(k, e)
	}()
	return e.buffer, nil
}

// Find returns the answer to request k, or nil if there is none. It fails with
// a ContentMismatchError if k was opened with another fingerprint.
func (r *Registry) Find(k sardineknot.RequestKey, fingerprint uint64) (*buffer.Buffer, error) {
	s := r.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.answers[k]
	if e == nil {
		return nil, nil
	}
	if e.fingerprint != fingerprint {
		return nil, errors.WithStack(&sardineknot.ContentMismatchError{Key: k})
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

// Displace ends the answer to request k on this host with a
// DeliveryTakenOverError, because another host produces it.
func (r *Registry) Displace(k sardineknot.RequestKey) {
	s := r.shard(k)
	s.mu.Lock()
	e := s.answers[k]
	s.mu.Unlock()
	if e == nil {
		return
	}
	e.buffer.End(errors.WithStack(&sardineknot.DeliveryTakenOverError{Key: k}))
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

// scheduleEviction evicts an answer at once if the request can be restarted or
// another host produces the answer, and after the retention time otherwise.
func (r *Registry) scheduleEviction(k sardineknot.RequestKey, e *entry) {
	if canRestart(e.buffer.Err()) {
		r.evict(k, e)
		return
	}
	time.AfterFunc(r.retention, func() { r.evict(k, e) })
}

// canRestart reports whether a request whose answer ended with err can be run
// again from the start, on this host or another one.
func canRestart(err error) bool {
	var n *sardineknot.NotRunError
	var f *sardineknot.RequestFailedError
	var o *sardineknot.ProducedElsewhereError
	var d *sardineknot.DeliveryTakenOverError
	var l *sardineknot.AnswerLostError
	return errors.As(err, &n) || errors.As(err, &f) || errors.As(err, &o) || errors.As(err, &d) || errors.As(err, &l)
}

// resumable reports whether an answer that ended with err can be continued.
func resumable(err error) bool {
	var i *sardineknot.InterruptedError
	return errors.As(err, &i)
}

func (r *Registry) evict(k sardineknot.RequestKey, e *entry) {
	if r.shard(k).remove(k, e) {
		r.onEvict(k)
	}
}

func (r *Registry) shard(k sardineknot.RequestKey) *shard {
	return &r.shards[xxhash.Sum64String(k.String())%shardCount]
}

func (s *shard) remove(k sardineknot.RequestKey, e *entry) bool {
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
		if e.buffer.Err() == nil {
			n++
		}
	}
	return n
}
