package twirp_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot/internal/versions/twirp"
)

// firstEventTime is the time from the grant of engines to the first event of a stream.
const firstEventTime = 120 * time.Millisecond

// lost runs test with seven hosts and servers of two versions, and calls check with the hosts
// after all were killed and started again.
func lost(t *testing.T, name string, test func(t *testing.T, f *fleet, d *twirp.Directory), check func(t *testing.T, d *twirp.Directory)) {
	t.Run(name, func(t *testing.T) {
		run(t, func(t *testing.T, ctx context.Context) {
			f := newFleet("v1", "v2")
			l := f.startAll(ctx, 7)
			test(t, f, l[0])
			l = f.restartAll(ctx, "v1", "v2")
			f.store.setFaults(false, false)
			for _, d := range l {
				check(t, d)
			}
		})
	})
}

// TestAnnounced guards against streams that are refused because all hosts were lost just after
// their first event, before its record was written, and against streams that go on at a
// version whose engine was granted but did not begin them.
func TestAnnounced(t *testing.T) {
	lost(t, "all hosts are lost with the first event", func(_ *testing.T, _ *fleet, d *twirp.Directory) {
		d.Announce("a", "v2")
		time.Sleep(firstEventTime)
		d.Record("a", "v2")
	}, func(t *testing.T, d *twirp.Directory) { finds(t, d, "a", "v2") })
	lost(t, "another version begins the stream", func(t *testing.T, _ *fleet, d *twirp.Directory) {
		d.Announce("a", "v1")
		time.Sleep(firstEventTime)
		is.New(t).NoErr(d.Confirm(t.Context(), "a", "v2"))
		d.Record("a", "v2")
	}, func(t *testing.T, d *twirp.Directory) { findsNone(t, d, "a") })
	lost(t, "another version begins the stream, whose record is written", func(t *testing.T, _ *fleet, d *twirp.Directory) {
		d.Announce("a", "v1")
		time.Sleep(firstEventTime)
		is.New(t).NoErr(d.Confirm(t.Context(), "a", "v2"))
		d.Record("a", "v2")
		time.Sleep(time.Second)
	}, func(t *testing.T, d *twirp.Directory) { finds(t, d, "a", "v2") })
	lost(t, "the store does not answer: another version is not confirmed", func(t *testing.T, f *fleet, d *twirp.Directory) {
		d.Announce("a", "v1")
		time.Sleep(firstEventTime)
		f.store.setFaults(true, false)
		is.New(t).True(d.Confirm(t.Context(), "a", "v2") != nil)
	}, func(t *testing.T, d *twirp.Directory) { finds(t, d, "a", "v1") })
}
