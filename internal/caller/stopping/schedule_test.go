package stopping_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/caller/stopping"
)

// stopTime is the time from the begin of a stop to its end.
const stopTime = 5 * time.Second

// begin begins a stop of s.
func begin(s *stopping.Schedule) {
	n := time.Now()
	s.Begin(n, n.Add(stopTime))
}

// limit returns a context of s that ends two seconds before the end of a stop.
func limit(t *testing.T, s *stopping.Schedule) (context.Context, context.CancelFunc) {
	return s.Limit(t.Context(), time.Now(), func(endsAt time.Time) time.Time { return endsAt.Add(-2 * time.Second) })
}

// endsAfter checks that ctx ends because of a stop when duration has passed.
func endsAfter(ctx context.Context, t *testing.T, duration time.Duration) {
	t.Helper()
	is := is.New(t)
	b := time.Now()
	<-ctx.Done()
	is.Equal(time.Since(b), duration)
	var s *sardineknot.StoppingError
	is.True(errors.As(context.Cause(ctx), &s))
}

// runSchedule runs test in virtual time.
func runSchedule(t *testing.T, name string, test func(t *testing.T, s *stopping.Schedule)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) { test(t, &stopping.Schedule{}) })
	})
}

// TestLimit guards against a wait that goes on when the host stops.
func TestLimit(t *testing.T) {
	runSchedule(t, "a stop that begins later ends the wait", func(t *testing.T, s *stopping.Schedule) {
		ctx, cancel := limit(t, s)
		defer cancel()
		time.AfterFunc(time.Minute, func() { begin(s) })
		endsAfter(ctx, t, time.Minute+3*time.Second)
	})
	runSchedule(t, "a wait that begins in the stop", func(t *testing.T, s *stopping.Schedule) {
		begin(s)
		time.Sleep(time.Second)
		ctx, cancel := limit(t, s)
		defer cancel()
		endsAfter(ctx, t, 2*time.Second)
	})
	runSchedule(t, "a wait that begins too late ends at once", func(t *testing.T, s *stopping.Schedule) {
		begin(s)
		time.Sleep(4 * time.Second)
		ctx, cancel := limit(t, s)
		defer cancel()
		endsAfter(ctx, t, 0)
	})
}

// TestNoLimit guards against a wait that ends because of a stop although it was over, or there
// is none.
func TestNoLimit(t *testing.T) {
	runSchedule(t, "the wait is over", func(t *testing.T, s *stopping.Schedule) {
		ctx, cancel := limit(t, s)
		cancel()
		begin(s)
		time.Sleep(stopTime)
		is.New(t).True(errors.Is(context.Cause(ctx), context.Canceled))
	})
	runSchedule(t, "no stop", func(t *testing.T, s *stopping.Schedule) {
		ctx, cancel := limit(t, s)
		defer cancel()
		time.Sleep(time.Hour)
		is := is.New(t)
		is.NoErr(ctx.Err())
		_, ok := s.EndsAt()
		is.True(!ok)
	})
}

// TestBegin guards against a second signal that moves the end of a stop.
func TestBegin(t *testing.T) {
	runSchedule(t, "twice", func(t *testing.T, s *stopping.Schedule) {
		begin(s)
		time.Sleep(time.Second)
		begin(s)
		is := is.New(t)
		e, ok := s.EndsAt()
		is.True(ok)
		is.Equal(time.Until(e), 4*time.Second)
		d, ok := s.Elapsed(time.Now())
		is.True(ok)
		is.Equal(d, time.Second)
	})
}

// TestNilSchedule guards against a host without a schedule that counts as stopping.
func TestNilSchedule(t *testing.T) {
	is := is.New(t)
	var s *stopping.Schedule
	ctx, cancel := limit(t, s)
	defer cancel()
	is.NoErr(ctx.Err())
	_, ok := s.EndsAt()
	is.True(!ok)
	_, ok = s.Elapsed(time.Now())
	is.True(!ok)
}
