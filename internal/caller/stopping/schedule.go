// Package stopping holds the schedule of a planned stop of an entry host: when the stop
// began, and by when its calls must have ended.
package stopping

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

// AnswerMargin is the time before the host closes its connections at which a call must have
// ended, so that the rest of its answer can be sent.
const AnswerMargin = 100 * time.Millisecond

// Schedule is the schedule of the planned stop of a host. The zero value, like nil, is that of
// a host that is not stopping. It is safe for concurrent use.
type Schedule struct {
	mu sync.Mutex
	// stop is nil until Begin.
	stop *stop
	// waits holds the functions of AfterFunc that may still be called.
	waits map[*wait]struct{}
}

// wait is a function of AfterFunc.
type wait struct {
	// latest returns the time at which call is called, for a stop that ends at the given time.
	latest func(endsAt time.Time) time.Time
	call   func(endsAt time.Time)
	// timer calls call. It is nil unless the host is stopping.
	timer *time.Timer
}

// stop is a planned stop.
type stop struct {
	// begunAt is the time at which the stop began.
	begunAt time.Time
	// endsAt is the time at which the host closes its connections. It is not before begunAt.
	endsAt time.Time
}

// Begin records that the stop of the host begins at the time now, and that it closes its
// connections at the time endsAt. Later calls have no effect.
func (s *Schedule) Begin(now, endsAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stop != nil {
		return
	}
	s.stop = &stop{begunAt: now, endsAt: endsAt}
	for w := range s.waits {
		w.start(now, endsAt)
	}
}

// AfterFunc calls call in its own goroutine at the time that latest returns, once the host is
// stopping. now is the current time. latest is called at most once, when the host is stopping, with
// the time at which it closes its connections, and must not call s. The function that AfterFunc
// returns keeps it from calling call, unless it already has, and must be called.
func (s *Schedule) AfterFunc(now time.Time, latest func(endsAt time.Time) time.Time, call func(endsAt time.Time)) (stop func()) {
	if s == nil {
		return func() {}
	}
	w := &wait{latest: latest, call: call}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stop != nil {
		w.start(now, s.stop.endsAt)
	}
	if s.waits == nil {
		s.waits = make(map[*wait]struct{})
	}
	s.waits[w] = struct{}{}
	return func() { s.remove(w) }
}

// Limit returns a copy of ctx that ends at the time that latest returns, once the host is stopping.
// Its cause is a sardineknot.StoppingError then. now and latest are those of AfterFunc. The function
// that Limit returns ends the context, and must be called.
func (s *Schedule) Limit(ctx context.Context, now time.Time, latest func(endsAt time.Time) time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := s.AfterFunc(now, latest, func(endsAt time.Time) {
		cancel(errors.WithStack(&sardineknot.StoppingError{EndsAt: endsAt}))
	})
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// start starts the timer of w at time now, for a stop that ends at endsAt.
func (w *wait) start(now, endsAt time.Time) {
	w.timer = time.AfterFunc(w.latest(endsAt).Sub(now), func() { w.call(endsAt) })
}

// remove removes w.
func (s *Schedule) remove(w *wait) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waits, w)
	if w.timer != nil {
		w.timer.Stop()
	}
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

// current returns the stop in progress, or nil.
func (s *Schedule) current() *stop {
	if s == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stop
}
