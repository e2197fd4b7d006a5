// Package join lets callers that ask for the same service call share one run
// and its answer.
//
// A run has a context of its own: a caller that disconnects does not fail the
// others. A repeatable run ends when its last caller is gone. An unrepeatable
// run goes on for a while after its deadline, so that the answer is there for
// a caller who asks again, and its answer is kept.
package join

import (
	"context"
	"crypto/sha256"
	"sync"
	"time"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

// fingerprint stands for the content of a call.
type fingerprint = [sha256.Size]byte

// Group holds the runs of one entry host. It is safe for concurrent use.
type Group struct {
	// retention is the time for which an answer is kept, and for which an
	// unrepeatable run goes on after its deadline.
	retention time.Duration
	shards    [16]shard
}

type shard struct {
	mu sync.Mutex
	// runs holds the present runs and kept answers by key.
	runs map[sardineknot.RequestKey]*run
}

// run is one run and, after its end, its result.
type run struct {
	content fingerprint
	// cancel ends a repeatable run. It is nil for an unrepeatable one.
	cancel context.CancelFunc
	// waiters counts the callers. It is under the shard's lock.
	waiters int
	// done is closed after answer and err were set.
	done   chan struct{}
	answer sardineknot.ServiceAnswer
	err    error
}

// NewGroup returns a group without runs. It panics if retention is not
// positive.
func NewGroup(retention time.Duration) *Group {
	if retention <= 0 {
		panic(&sardineknot.InvalidError{What: "retention", Got: retention.String(), Expected: "a positive duration"})
	}
	g := &Group{retention: retention}
	for i := range g.shards {
		g.shards[i].runs = make(map[sardineknot.RequestKey]*run)
	}
	return g
}

// Content returns the fingerprint of the content of c.
func Content(c sardineknot.ServiceCall) [sha256.Size]byte {
	h := sha256.New()
	for _, b := range [][]byte{[]byte(c.Work.Name), []byte(c.ContentType), c.Body} {
		v := sha256.Sum256(b)
		h.Write(v[:])
	}
	return fingerprint(h.Sum(nil))
}

// Do returns the result of f for c, or of a run of the same call that is
// present or kept. It fails with a MismatchError if that call had another
// content, and with the error of ctx.
func (g *Group) Do(ctx context.Context, c sardineknot.ServiceCall, f func(context.Context, sardineknot.ServiceCall) (sardineknot.ServiceAnswer, error)) (sardineknot.ServiceAnswer, error) {
	s := g.shard(c.Key)
	s.mu.Lock()
	r := s.runs[c.Key]
	if r == nil {
		r = g.start(s, c, f)
	}
	r.waiters++
	s.mu.Unlock()
	return g.wait(ctx, s, c.Key, r, Content(c))
}

// Wait returns the result of the present or kept run of k. known is false if
// there is none.
func (g *Group) Wait(ctx context.Context, k sardineknot.RequestKey, content [sha256.Size]byte) (a sardineknot.ServiceAnswer, known bool, err error) {
	s := g.shard(k)
	s.mu.Lock()
	r := s.runs[k]
	if r != nil {
		r.waiters++
	}
	s.mu.Unlock()
	if r == nil {
		return a, false, nil
	}
	a, err = g.wait(ctx, s, k, r, content)
	return a, true, err
}

// Has reports whether a run of k is present or kept.
func (g *Group) Has(k sardineknot.RequestKey) bool {
	s := g.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[k] != nil
}

// Running returns the number of runs that have not ended.
func (g *Group) Running() int {
	n := 0
	for i := range g.shards {
		n += g.shards[i].running()
	}
	return n
}

func (g *Group) wait(ctx context.Context, s *shard, k sardineknot.RequestKey, r *run, content fingerprint) (sardineknot.ServiceAnswer, error) {
	defer s.leave(k, r)
	if r.content != content {
		return sardineknot.ServiceAnswer{}, errors.WithStack(&sardineknot.MismatchError{Key: k})
	}
	select {
	case <-r.done:
		return r.answer, r.err
	case <-ctx.Done():
		return sardineknot.ServiceAnswer{}, errors.WithStack(ctx.Err())
	}
}

// start starts a run of c. The lock of s is held.
func (g *Group) start(s *shard, c sardineknot.ServiceCall, f func(context.Context, sardineknot.ServiceCall) (sardineknot.ServiceAnswer, error)) *run {
	t := c.Deadline
	if c.Work.Unrepeatable {
		t = t.Add(g.retention)
	}
	ctx, cancel := context.WithDeadline(context.Background(), t)
	r := &run{content: Content(c), done: make(chan struct{})}
	if !c.Work.Unrepeatable {
		r.cancel = cancel
	}
	s.runs[c.Key] = r
	go func() {
		defer cancel()
		r.answer, r.err = f(ctx, c)
		close(r.done)
		if r.err != nil || !c.Work.Unrepeatable {
			s.forget(c.Key, r)
			return
		}
		time.AfterFunc(g.retention, func() { s.forget(c.Key, r) })
	}()
	return r
}

func (g *Group) shard(k sardineknot.RequestKey) *shard {
	h := sha256.Sum256([]byte(k.String()))
	return &g.shards[int(h[0])%len(g.shards)]
}

// leave ends a repeatable run without callers. A later caller starts another.
func (s *shard) leave(k sardineknot.RequestKey, r *run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.waiters--
	if r.waiters > 0 || r.cancel == nil {
		return
	}
	r.cancel()
	if s.runs[k] == r {
		delete(s.runs, k)
	}
}

func (s *shard) running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, r := range s.runs {
		select {
		case <-r.done:
		default:
			n++
		}
	}
	return n
}

// forget removes r if it is still the run of k.
func (s *shard) forget(k sardineknot.RequestKey, r *run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runs[k] == r {
		delete(s.runs, k)
	}
}
