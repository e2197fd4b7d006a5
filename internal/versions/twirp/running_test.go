package twirp_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot/internal/versions/twirp"
)

// killedEarly begins the stream "a" at v1 and kills all hosts before its record is written,
// while an engine goes on with it.
func killedEarly(ctx context.Context) (*fleet, []*twirp.Directory) {
	f := newFleet("v1", "v2")
	l := f.startAll(ctx, 7)
	l[0].Record("a", "v1")
	time.Sleep(100 * time.Millisecond)
	f.setRunning("a", "v1")
	return f, f.restartAll(ctx, "v1", "v2")
}

// TestRunningStream guards against streams that are refused after all hosts lost power just
// after they began, although engines of both versions are there, and one is running them.
func TestRunningStream(t *testing.T) {
	t.Run("the version is that of the engine", func(t *testing.T) {
		run(t, func(t *testing.T, ctx context.Context) {
			_, l := killedEarly(ctx)
			finds(t, l[3], "a", "v1")
			findsNone(t, l[3], "unknown")
		})
	})
	t.Run("and is recorded", func(t *testing.T) {
		run(t, func(t *testing.T, ctx context.Context) {
			f, l := killedEarly(ctx)
			finds(t, l[3], "a", "v1")
			f.setRunning("a", "")
			time.Sleep(time.Second)
			for _, d := range f.restartAll(ctx, "v1", "v2") {
				finds(t, d, "a", "v1")
			}
		})
	})
	t.Run("a host that may lack engines asks none", func(t *testing.T) {
		run(t, func(t *testing.T, ctx context.Context) {
			f, l := killedEarly(ctx)
			f.store.setFaults(true, false)
			findsNone(t, l[3], "a")
			is.New(t).Equal(f.lookups, 0)
		})
	})
}

// TestNoLookups guards against queries of engines for streams that are recorded, or that
// only one version can have begun.
func TestNoLookups(t *testing.T) {
	run(t, func(t *testing.T, ctx context.Context) {
		f := newFleet("v1")
		l := f.startAll(ctx, 7)
		finds(t, l[0], "unknown", "v1")
		f.setVersions("v1", "v2")
		begin(l[0])
		finds(t, l[1], "a", "v1")
		finds(t, f.restartAll(ctx, "v1", "v2")[5], "b", "v2")
		is.New(t).Equal(f.lookups, 0)
	})
}
