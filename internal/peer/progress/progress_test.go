package progress_test

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"sardineknot.example/sardineknot/internal/peer/progress"
)

// dripping is a response that brings n bytes after each pause, as long as ctx is not done.
type dripping struct {
	ctx   context.Context
	pause time.Duration
	n     int
	left  int
}

// Read implements io.Reader.
func (d *dripping) Read(p []byte) (int, error) {
	if d.left == 0 {
		return 0, io.EOF
	}
	select {
	case <-time.After(d.pause):
	case <-d.ctx.Done():
		return 0, d.ctx.Err()
	}
	n := min(d.n, d.left, len(p))
	d.left -= n
	return n, nil
}

// checkRead reads a response that begins after delay and has size bytes, n in each pause. It
// checks whether all of it is read, and the time that takes.
func checkRead(t *testing.T, delay, pause time.Duration, n, size int, whole bool, want time.Duration) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := time.Now()
		outer, release := progress.WithTimeout(t.Context(), time.Second, time.Second)
		defer release()
		ctx, cancel := progress.WithTimeout(outer, time.Second, 500*time.Millisecond)
		defer cancel()
		select {
		case <-time.After(delay):
			progress.Begin(ctx)
		case <-ctx.Done():
		}
		_, err := io.Copy(io.Discard, progress.NewReader(ctx, &dripping{ctx: ctx, pause: pause, n: n, left: size}))
		is.Equal(err == nil && ctx.Err() == nil, whole)
		is.Equal(time.Since(b), want)
		if !whole {
			var e interface{ Timeout() bool }
			is.True(errors.As(context.Cause(ctx), &e) && e.Timeout())
		}
	})
}

// TestTimeout guards against long responses that are ended while they arrive, and against
// peers that are silent, or nearly so, and hold a call without limit.
func TestTimeout(t *testing.T) {
	const ms = time.Millisecond
	t.Run("a long response", func(t *testing.T) { checkRead(t, 900*ms, 100*ms, 4<<10, 400<<10, true, 10900*ms) })
	t.Run("a short response", func(t *testing.T) { checkRead(t, 900*ms, 10*ms, 100, 1000, true, 1000*ms) })
	t.Run("no response", func(t *testing.T) { checkRead(t, time.Hour, 10*ms, 100, 1000, false, time.Second) })
	t.Run("a response that stalls", func(t *testing.T) { checkRead(t, 100*ms, time.Hour, 100, 1000, false, 600*ms) })
	t.Run("a response of few bytes", func(t *testing.T) { checkRead(t, 0, 100*ms, 1000, 1<<20, false, 500*ms) })
}

// TestCancel guards against a timer that outlives its call.
func TestCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := progress.WithTimeout(t.Context(), time.Second, time.Second)
		cancel()
		progress.Begin(ctx)
		is.True(errors.Is(context.Cause(ctx), context.Canceled))
	})
}
