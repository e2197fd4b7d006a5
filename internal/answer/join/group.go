// Package join merges concurrent and repeated service calls of the same request
// into one run with one answer.
//
// A run has a context of its own, so that a caller that disconnects does not
// fail the others. A repeatable run is cancelled when its last caller has
// disconnected. An unrepeatable run may continue after its deadline for the
// retention time. Its answer is kept for the retention time after its end, so
// that a repeated call can get the answer.
package join

import (
	"context"
	"crypto/sha256"
	"sync"
	"time"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

// fingerprint is a hash of the content of a call.
type fingerprint = [sha256.Size]byte

// Group holds the runs of one entry host. It is safe for concurrent use.
type Group struct {
	// retention is the time for which an answer is kept, and for which an
	// unrepeatable run may continue after its deadline.
	retention time.Duration
	shards    [16]shard
}

type shard struct {
	mu sync.Mutex
	// runs holds the runs in progress and the kept answers by key.
	runs map[sardineknot.RequestKey]*run
}

// run is one run of a call and, after its end, the result.
type run struct {
	content fingerprint
	// cancel cancels a repeatable run. It is nil for an unrepeatable one.
	cancel context.CancelFunc
	// waiters is the number of callers that wait for the result. It is guarded
	// by the lock of the shard.
	waiters int
	// done is closed once answer and err are set.
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

// Do runs f for c and returns the result. If a run of the same request is in
// progress or its answer is kept, Do returns the result of that run instead. Do
// fails with a ContentMismatchError if that run has different content, and with
// the error of ctx.
func (g *Group) Do(ctx context.Context, c sardineknot.ServiceCall, f func(context.Context, sardineknot.ServiceCall) (sardineknot.ServiceAnswer, error)) (sardineknot.ServiceAnswer, error) {
	s := g.shard(c.Key)
	s.mu.Lock()
	r := s.runs[c.Key]
	if r == nil {
		r = g.startLocked(s, c, f)
	}
	r.waiters++
	s.mu.Unlock()
	return g.wait(ctx, s, c.Key, r, Content(c))
}

// Wait waits for the run of k that is in progress or whose answer is kept, and
// returns the result. known is false if there is no such run. Wait fails as Do
// does.
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

// Has reports whether a run of k is in progress or its answer is kept.
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
	defer s.removeWaiter(k, r)
	if r.content != content {
		return sardineknot.ServiceAnswer{}, errors.WithStack(&sardineknot.ContentMismatchError{Key: k})
	}
	select {
	case <-r.done:
		return r.answer, r.err
	case <-ctx.Done():
		return sardineknot.ServiceAnswer{}, errors.WithStack(ctx.Err())
	}
}

// startLocked starts a run of c. The lock of s must be held.
func (g *Group) startLocked(s *shard, c sardineknot.ServiceCall, f func(context.Context, sardineknot.ServiceCall) (sardineknot.ServiceAnswer, error)) *run {
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
			s.remove(c.Key, r)
			return
		}
		time.AfterFunc(g.retention, func() { s.remove(c.Key, r) })
	}()
	return r
}

func (g *Group) shard(k sardineknot.RequestKey) *shard {
	h := sha256.Sum256([]byte(k.String()))
	return &g.shards[int(h[0])%len(g.shards)]
}

// removeWaiter removes one waiter from r. A repeatable run without waiters is
// cancelled and removed, so that a later caller starts another run.
func (s *shard) removeWaiter(k sardineknot.RequestKey, r *run) {
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

// remove removes r if it is still the run of k.
func (s *shard) remove(k sardineknot.RequestKey, r *run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runs[k] == r {
		delete(s.runs, k)
	}
}
