package store_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/membership/store"
)

// fixedClock is a clock that the test sets.
type fixedClock struct{ time.Time }

func (c *fixedClock) Now() time.Time { return c.Time }

// TestLapsedKeys guards against hosts that stay listed without a key: the hosts which
// read from the store are selected among them.
func TestLapsedKeys(t *testing.T) {
	for _, c := range []struct {
		name      string
		reachable bool
		since     time.Time
		wait      time.Duration
		want      int
	}{
		{"a key that lapses during an outage keeps its host", false, time.Unix(1000, 0), time.Minute, 2},
		{"a key that lapsed keeps its host for the grace period", true, time.Unix(1000, 0), 2 * time.Second, 2},
		{"a key that lapsed ends with the grace period", true, time.Unix(1000, 0), 4 * time.Second, 1},
		{"a key that lapses before the first answer ends at once", false, time.Time{}, 0, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			k := &fixedClock{time.Unix(1000, 0)}
			r := store.NewRegistry(sardineknot.EntryHost{ID: "self"})
			r.Clock, r.Log = k, zerolog.Nop()
			r.Reachability = func() (bool, time.Time) { return c.reachable, c.since }
			e := hostEntry(1)
			e.Revision.Number = 1
			r.Apply(e)
			r.Refresh()
			is.Equal(len(r.Hosts()), 2)
			e.Revision.Number = 0
			r.Apply(e)
			r.Refresh()
			k.Time = k.Add(c.wait)
			r.Refresh()
			is.Equal(len(r.Hosts()), c.want)
		})
	}
}
