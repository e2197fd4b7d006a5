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
	shards    [shardCount]shard
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
}

// NewRegistry returns an empty registry. An answer without a delivery is
// abandoned after grace; a whole answer is kept for retention.
func NewRegistry(grace, retention time.Duration) *Registry {
	r := &Registry{grace: grace, retention: retention}
	for i := range r.shards {
		r.shards[i].answers = make(map[sardineknot.RequestKey]*entry)
	}
	return r
}

// Open returns the answer to request k. If there is none, it adds an empty one
// and calls run in a new goroutine with a context that ends when the answer
// is abandoned; run must end the answer. Open fails with a MismatchError if k
// was opened before with another fingerprint.
func (r *Registry) Open(k sardineknot.RequestKey, fingerprint uint64, run func(context.Context, *buffer.Buffer)) (*buffer.Buffer, error) {
	s := r.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.answers[k]
	if e != nil && e.fingerprint != fingerprint {
		return nil, errors.WithStack(&sardineknot.MismatchError{Key: k})
	}
	if e != nil {
		return e.buffer, nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	e = &entry{buffer: buffer.NewBuffer(k, r.grace, cancel), fingerprint: fingerprint}
	s.answers[k] = e
	go func() {
		defer cancel()
		run(ctx, e.buffer)
		r.retain(k, e)
	}()
	return e.buffer, nil
}

// Find returns the answer to request k, or nil.
func (r *Registry) Find(k sardineknot.RequestKey) *buffer.Buffer {
	s := r.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.answers[k]; e != nil {
		return e.buffer
	}
	return nil
}

// Running returns the number of answers that have not ended.
func (r *Registry) Running() int {
	var n int
	for i := range r.shards {
		n += r.shards[i].running()
	}
	return n
}

// retain forgets a request that did not run at once, so that its caller may
// ask again, and any other after the retention.
func (r *Registry) retain(k sardineknot.RequestKey, e *entry) {
	var n *sardineknot.NotRunError
	if errors.As(e.buffer.Ended(), &n) {
		r.shard(k).forget(k, e)
		return
	}
	time.AfterFunc(r.retention, func() { r.shard(k).forget(k, e) })
}

func (r *Registry) shard(k sardineknot.RequestKey) *shard {
	return &r.shards[xxhash.Sum64String(k.String())%shardCount]
}

func (s *shard) forget(k sardineknot.RequestKey, e *entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.answers[k] == e {
		delete(s.answers, k)
	}
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
