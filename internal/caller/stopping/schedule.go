// Package stopping holds the schedule of a planned stop of an entry host: when the host was
// asked to stop, and by when its calls must have ended.
package stopping

import (
	"sync/atomic"
	"time"
)

// Schedule is the schedule of the planned stop of a host. The zero value, like nil, is that of
// a host that is not stopping. It is safe for concurrent use.
type Schedule struct {
	// stop is nil until Begin.
	stop atomic.Pointer[stop]
}

// stop is a planned stop.
type stop struct {
	// begunAt is the time at which the host was asked to stop.
	begunAt time.Time
	// endsAt is the time at which the host closes its connections. It is not before begunAt.
	endsAt time.Time
}

// Begin records at time now that the host was asked to stop, and that it closes its
// connections at the time endsAt. Later calls have no effect.
func (s *Schedule) Begin(now, endsAt time.Time) {
	s.stop.CompareAndSwap(nil, &stop{begunAt: now, endsAt: endsAt})
}

// EndsAt returns the time at which the host closes its connections. It returns false if the
// host is not stopping.
func (s *Schedule) EndsAt() (time.Time, bool) {
	p := s.current()
	if p == nil {
		return time.Time{}, false
	}
	return p.endsAt, true
}

// Elapsed returns the time from the begin of the stop to now. It returns false if the host is
// not stopping.
func (s *Schedule) Elapsed(now time.Time) (time.Duration, bool) {
	p := s.current()
	if p == nil {
		return 0, false
	}
	return now.Sub(p.begunAt), true
}

func (s *Schedule) current() *stop {
	if s == nil {
		return nil
	}
	return s.stop.Load()
}
