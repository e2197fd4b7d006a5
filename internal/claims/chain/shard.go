package chain

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

const (
	// maxGroup bounds the operations in one write.
	maxGroup = 512
	// maxRounds bounds the tries of one group against other writers.
	maxRounds = 8
)

// operation waits for its outcome.
type operation struct {
	record record
	// done has room for the one outcome.
	done chan outcome
}

type outcome struct {
	result sardineknot.ClaimResult
	err    error
}

// shard gathers operations and writes them in groups.
type shard struct {
	ledger *Ledger
	// prefix starts the keys of the shard.
	prefix string

	mu      sync.Mutex
	pending []operation
	// working reports that a worker is running. The fields below belong to
	// the worker, and to the holder of mu while there is none.
	working bool
	// state is what this host last saw, or nil.
	state *state
	// group numbers the writes of this host.
	group uint64
	// nextWrite is the earliest start of the next write.
	nextWrite time.Time
	// refuseUntil is the time until which operations fail with refusal.
	refuseUntil time.Time
	refusal     error
	// lastUse is the time of the last group.
	lastUse time.Time
}

func (s *shard) submit(o operation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = append(s.pending, o)
	if !s.working {
		s.working = true
		go s.work()
	}
}

// work serves groups until nothing is pending.
func (s *shard) work() {
	for s.more() {
		s.pace()
		l := s.take()
		p, err := s.serve(l)
		for i, o := range l {
			if err != nil {
				o.done <- outcome{err: err}
				continue
			}
			o.done <- outcome{result: p[i]}
		}
	}
}

// pace waits until the next write may start.
func (s *shard) pace() {
	d := s.nextWrite.Sub(s.ledger.clock.Now())
	if d > 0 {
		time.Sleep(d)
	}
}

// more reports whether anything is pending. The worker ends if not.
func (s *shard) more() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.working = len(s.pending) > 0
	return s.working
}

// take returns the next group.
func (s *shard) take() []operation {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := min(len(s.pending), maxGroup)
	l := s.pending[:n:n]
	s.pending = s.pending[n:]
	return l
}

// serve returns the results of a group. After a failure of the store it
// refuses for a while without a call, so that callers learn at once.
func (s *shard) serve(l []operation) ([]sardineknot.ClaimResult, error) {
	t := s.ledger.clock.Now()
	s.lastUse = t
	if t.Before(s.refuseUntil) {
		return nil, s.refusal
	}
	p, err := s.commit(context.Background(), l)
	if err != nil {
		s.refusal = err
		s.refuseUntil = s.ledger.clock.Now().Add(orDefault(s.ledger.Refusal, defaultRefusal))
	}
	return p, err
}

// commit decides on a group and makes the decisions hold.
func (s *shard) commit(ctx context.Context, l []operation) ([]sardineknot.ClaimResult, error) {
	for range maxRounds {
		if s.state == nil {
			err := s.load(ctx)
			if err != nil {
				return nil, err
			}
		}
		d := s.state.decide(l)
		ok, err := s.confirm(ctx, d)
		if err != nil {
			return nil, err
		}
		if ok {
			return d.results, nil
		}
		s.ledger.conflicts.Inc(1)
	}
	return nil, unavailable(errors.New("too many other writers"))
}

// confirm reports whether d holds. If not, s.state is newer than before.
func (s *shard) confirm(ctx context.Context, d draft) (bool, error) {
	if len(d.added) > 0 {
		return s.write(ctx, d)
	}
	e, err := s.ledger.store.Get(ctx, s.headKey())
	if err != nil {
		return false, err
	}
	if e.Revision == s.state.revision {
		return true, nil
	}
	return false, s.adopt(ctx, e)
}

// dropIdle drops the state if it was not used for a while.
func (s *shard) dropIdle(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.working && now.Sub(s.lastUse) >= idleTime {
		s.state = nil
	}
}
