// Package directory stores the records of one shard of the answer directory on
// the entry host that owns the shard.
//
// The time after a shard has moved to this host is called the settling time.
// Until it has passed, the shard accepts only records that hosts had registered
// with an earlier owner, and registrations of new records wait. When an answer
// is no longer kept, its record remains for some time, so that a later run of
// the same request does not reuse attempt numbers.
package directory

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

const (
	// maxRecords bounds the number of records in a shard.
	maxRecords = 4096
	// endedRetention is the time for which a record is kept after it was marked
	// as ended. deadRetention is the time for which the record of a dead host
	// is kept after its last update.
	endedRetention = 2 * time.Minute
	deadRetention  = 10 * time.Minute
)

var (
	errMoved = errors.New("the shard has moved")
	errFull  = errors.New("the shard is full")
)

// Shard is one shard of the directory. It is safe for concurrent use.
type Shard struct {
	clock  sardineknot.Clock
	isDead func(sardineknot.EntryHostID, sardineknot.Incarnation) bool
	// settled is closed at the end of the settling time, and closed is closed
	// when the shard moves to another host.
	settled chan struct{}
	closed  chan struct{}

	mu      sync.Mutex
	records map[sardineknot.RequestKey]*entry
	// prunedAt is the time of the last removal of expired records.
	prunedAt time.Time
}

type entry struct {
	record sardineknot.AnswerRecord
	// updatedAt is the time of the last Register or Forget.
	updatedAt time.Time
}

// NewShard returns an empty shard that accepts only re-registered records until
// settlingTime has passed. isDead reports whether an incarnation of a host is
// dead.
func NewShard(c sardineknot.Clock, isDead func(sardineknot.EntryHostID, sardineknot.Incarnation) bool, settlingTime time.Duration) *Shard {
	s := &Shard{
		clock:    c,
		isDead:   isDead,
		settled:  make(chan struct{}),
		closed:   make(chan struct{}),
		records:  make(map[sardineknot.RequestKey]*entry),
		prunedAt: c.Now(),
	}
	time.AfterFunc(settlingTime, func() { close(s.settled) })
	return s
}

// Close makes every Register that waits for the end of the settling time fail
// with an UnavailableError. It must be called only once.
func (s *Shard) Close() { close(s.closed) }

// Register stores r and returns it as current. previous is the record that r
// replaces, or nil. If the existing record takes precedence, for example
// because its host is alive and still produces the answer, Register returns the
// existing record as current and stores nothing. reregistered reports whether r
// was already registered with an earlier owner of the shard. Register accepts
// such a record during the settling time; for any other record, it blocks until
// the settling time has passed.
func (s *Shard) Register(ctx context.Context, r sardineknot.AnswerRecord, reregistered bool) (current sardineknot.AnswerRecord, previous *sardineknot.AnswerRecord, err error) {
	if !reregistered {
		err = s.waitSettled(ctx)
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
	if s.takesPrecedence(e.record, r) {
		return e.record, nil, nil
	}
	p := e.record
	e.record = r
	e.updatedAt = n
	return r, &p, nil
}

// Forget marks the record of r's request as ended if it was registered by the
// same incarnation of the same host.
func (s *Shard) Forget(r sardineknot.AnswerRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.records[r.Key]
	if e == nil || !sameHost(e.record, r) {
		return
	}
	e.record.Ended = true
	e.updatedAt = s.clock.Now()
}

// takesPrecedence reports whether the existing record c is kept when r is
// registered. An existing record is replaced by a record of the same or a later
// incarnation of its host. It is replaced by a record of another host if it has
// ended or if its own host is dead.
func (s *Shard) takesPrecedence(c, r sardineknot.AnswerRecord) bool {
	if c.Host == r.Host {
		return c.Incarnation > r.Incarnation
	}
	return !c.Ended && !s.isDead(c.Host, c.Incarnation)
}

func (s *Shard) waitSettled(ctx context.Context) error {
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
	s.records[r.Key] = &entry{record: r, updatedAt: now}
	return r, nil, nil
}

// pruneLocked removes expired records. It does so at most once per interval,
// unless the shard is full.
func (s *Shard) pruneLocked(now time.Time) {
	const interval = 10 * time.Second
	if now.Sub(s.prunedAt) < interval && len(s.records) < maxRecords {
		return
	}
	s.prunedAt = now
	for k, e := range s.records {
		a := now.Sub(e.updatedAt)
		if e.record.Ended && a > endedRetention || a > deadRetention && s.isDead(e.record.Host, e.record.Incarnation) {
			delete(s.records, k)
		}
	}
}

func sameHost(a, b sardineknot.AnswerRecord) bool {
	return a.Host == b.Host && a.Incarnation == b.Incarnation
}
