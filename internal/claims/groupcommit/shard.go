package groupcommit

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

const (
	// maxGroupSize limits the number of operations in one write.
	maxGroupSize = 512
	// maxCommitAttempts limits how often one group is decided. A group is
	// decided again whenever another host has written the shard meanwhile.
	maxCommitAttempts = 8
)

// operation is a pending claim or release.
type operation struct {
	record record
	// done receives the outcome. It has a buffer of one, so that the sender
	// never blocks.
	done chan outcome
}

// outcome is what the caller of an operation gets: the result, or the error of
// the write or read that was to confirm it.
type outcome struct {
	result sardineknot.ClaimResult
	err    error
}

// shard collects the operations on one shard and writes them in groups.
type shard struct {
	ledger *Ledger
	// prefix is the prefix of the shard's keys.
	prefix string

	mu      sync.Mutex
	pending []operation
	// workerRunning reports whether the worker goroutine is running. The fields
	// below belong to the worker while it runs, and are guarded by mu
	// otherwise.
	workerRunning bool
	// state is the last state that this host read or wrote, or nil if it is not
	// known.
	state *state
	// groupNumber counts the writes of this host to the shard. The head
	// contains the number of the write that produced it.
	groupNumber uint64
	// nextWrite is the earliest time at which the next write may start.
	nextWrite time.Time
	// backoffUntil is the time until which operations fail with backoffErr.
	backoffUntil time.Time
	backoffErr   error
	// lastUsed is the time at which the last group was processed.
	lastUsed time.Time
}

// submit adds op to the pending operations and starts the worker if none runs.
func (s *shard) submit(op operation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = append(s.pending, op)
	if !s.workerRunning {
		s.workerRunning = true
		go s.processGroups()
	}
}

// processGroups processes groups until no operation is pending.
func (s *shard) processGroups() {
	for s.hasPending() {
		s.waitForInterval()
		l := s.nextGroup()
		p, err := s.process(l)
		for i, o := range l {
			if err != nil {
				o.done <- outcome{err: err}
				continue
			}
			o.done <- outcome{result: p[i]}
		}
	}
}

// waitForInterval waits until the next write may start.
func (s *shard) waitForInterval() {
	d := s.nextWrite.Sub(s.ledger.clock.Now())
	if d > 0 {
		time.Sleep(d)
	}
}

// hasPending reports whether operations are pending. If not, it marks the
// worker as stopped.
func (s *shard) hasPending() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.workerRunning = len(s.pending) > 0
	return s.workerRunning
}

// nextGroup removes the next group from the pending operations and returns it.
func (s *shard) nextGroup() []operation {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := min(len(s.pending), maxGroupSize)
	l := s.pending[:n:n]
	s.pending = s.pending[n:]
	return l
}

// process returns the results of a group. For some time after a failed call to
// the store, it fails without another call, so that callers learn of the
// failure immediately.
func (s *shard) process(group []operation) ([]sardineknot.ClaimResult, error) {
	t := s.ledger.clock.Now()
	s.lastUsed = t
	if t.Before(s.backoffUntil) {
		return nil, s.backoffErr
	}
	p, err := s.commit(context.Background(), group)
	if err != nil {
		s.backoffErr = err
		s.backoffUntil = s.ledger.clock.Now().Add(orDefault(s.ledger.StoreBackoff, defaultStoreBackoff))
	}
	return p, err
}

// commit decides the operations of group and returns the results once they are
// confirmed. It decides them again whenever another host has written the shard
// meanwhile.
func (s *shard) commit(ctx context.Context, group []operation) ([]sardineknot.ClaimResult, error) {
	for range maxCommitAttempts {
		if s.state == nil {
			err := s.load(ctx)
			if err != nil {
				return nil, err
			}
		}
		d := s.state.decide(group)
		ok, err := s.confirm(ctx, d)
		if err != nil {
			return nil, err
		}
		if ok {
			return d.results, nil
		}
		s.ledger.conflicts.Inc(1)
	}
	return nil, newUnavailableError(errors.New("too many concurrent writers"))
}

// confirm reports whether the results of a tentative decision are valid. If the
// decision adds records, confirm writes them; otherwise it checks that the head
// is unchanged. If the results are not valid, because another host has written
// the shard, s.state is newer than before.
func (s *shard) confirm(ctx context.Context, tentative decision) (bool, error) {
	if len(tentative.added) > 0 {
		return s.write(ctx, tentative)
	}
	e, err := s.ledger.store.Get(ctx, s.headKey())
	if err != nil {
		return false, err
	}
	if e.Revision == s.state.revision {
		return true, nil
	}
	return false, s.applyHead(ctx, e)
}

// dropIdle drops the state if the shard has been idle for idleTimeout.
func (s *shard) dropIdle(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.workerRunning && now.Sub(s.lastUsed) >= idleTimeout {
		s.state = nil
	}
}
