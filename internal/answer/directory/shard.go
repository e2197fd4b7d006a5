// Package directory holds the records of one shard of the answer directory on
// the entry host that owns the shard.
//
// A shard that has just moved here settles first: hosts register their
// standing records again before any new one is accepted. The record of an
// answer that is no longer kept stays for some time, so that a later run of the
// same request continues the numbers of its attempts.
package directory

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

const (
	// maxRecords bounds the records of a shard.
	maxRecords = 4096
	// endedRetention is the time for which the record of an answer that is no
	// longer kept stays, and deadRetention that of a dead host.
	endedRetention = 2 * time.Minute
	deadRetention  = 10 * time.Minute
)

var (
	errMoved = errors.New("the shard has moved")
	errFull  = errors.New("the shard is full")
)

// Shard is one shard under its own lock. It is safe for concurrent use.
type Shard struct {
	clock sardineknot.Clock
	dead  func(sardineknot.EntryHostID, sardineknot.Incarnation) bool
	// settled is closed at the end of the settling time, and closed when the
	// shard moves away.
	settled chan struct{}
	closed  chan struct{}

	mu      sync.Mutex
	records map[sardineknot.RequestKey]*entry
	// pruned is the time of the last prune.
	pruned time.Time
}

type entry struct {
	record sardineknot.AnswerRecord
	// at is the time of the last Register or Forget.
	at time.Time
}

// NewShard returns an empty shard that settles for the time settle. dead tells
// which incarnations of hosts are dead.
func NewShard(c sardineknot.Clock, dead func(sardineknot.EntryHostID, sardineknot.Incarnation) bool, settle time.Duration) *Shard {
	s := &Shard{
		clock:   c,
		dead:    dead,
		settled: make(chan struct{}),
		closed:  make(chan struct{}),
		records: make(map[sardineknot.RequestKey]*entry),
		pruned:  c.Now(),
	}
	time.AfterFunc(settle, func() { close(s.settled) })
	return s
}

// Close ends every wait with an UnavailableError. It is called once.
func (s *Shard) Close() { close(s.closed) }

// Register records r unless another live host has a record in force. It waits
// for the end of the settling time unless r is standing, which means that it
// was registered with an earlier owner.
func (s *Shard) Register(ctx context.Context, r sardineknot.AnswerRecord, standing bool) (current sardineknot.AnswerRecord, previous *sardineknot.AnswerRecord, err error) {
	if !standing {
		err = s.wait(ctx)
	}
	if err != nil {
		return current, nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.clock.Now()
	s.pruneLocked(n)
	e := s.records[r.Key]
	if e == nil {
		return s.addLocked(n, r)
	}
	if s.inForce(e.record, r) {
		return e.record, nil, nil
	}
	p := e.record
	e.record = r
	e.at = n
	return r, &p, nil
}

// Forget marks the record of r's request as ended if r's host made it.
func (s *Shard) Forget(r sardineknot.AnswerRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.records[r.Key]
	if e == nil || !sameHost(e.record, r) {
		return
	}
	e.record.Ended = true
	e.at = s.clock.Now()
}

// inForce reports whether the record c keeps its place against r. The record of
// a host yields to one of a later incarnation of the same host.
func (s *Shard) inForce(c, r sardineknot.AnswerRecord) bool {
	if c.Host == r.Host {
		return c.Incarnation > r.Incarnation
	}
	return !c.Ended && !s.dead(c.Host, c.Incarnation)
}

func (s *Shard) wait(ctx context.Context) error {
	select {
	case <-s.settled:
		return nil
	default:
	}
	select {
	case <-s.settled:
		return nil
	case <-s.closed:
		return errors.WithStack(&sardineknot.UnavailableError{Peer: "owner of the answer directory", Cause: errMoved})
	case <-ctx.Done():
		return errors.WithStack(ctx.Err())
	}
}

func (s *Shard) addLocked(now time.Time, r sardineknot.AnswerRecord) (sardineknot.AnswerRecord, *sardineknot.AnswerRecord, error) {
	if len(s.records) >= maxRecords {
		return r, nil, errors.WithStack(&sardineknot.UnavailableError{Peer: "answer directory", Cause: errFull})
	}
	s.records[r.Key] = &entry{record: r, at: now}
	return r, nil, nil
}

// pruneLocked removes the records that nobody needs, now and then.
func (s *Shard) pruneLocked(now time.Time) {
	const interval = 10 * time.Second
	if now.Sub(s.pruned) < interval && len(s.records) < maxRecords {
		return
	}
	s.pruned = now
	for k, e := range s.records {
		a := now.Sub(e.at)
		if e.record.Ended && a > endedRetention || a > deadRetention && s.dead(e.record.Host, e.record.Incarnation) {
			delete(s.records, k)
		}
	}
}

func sameHost(a, b sardineknot.AnswerRecord) bool {
	return a.Host == b.Host && a.Incarnation == b.Incarnation
}
