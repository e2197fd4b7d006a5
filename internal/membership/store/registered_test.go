package store_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/host/clock"
	"sardineknot.example/sardineknot/internal/membership/store"
)

// TestRegistered guards against limits that move because one host does not reach
// another, and against an owner that does not learn that it was dropped.
func TestRegistered(t *testing.T) {
	i := is.New(t)
	r := store.NewRegistry(sardineknot.EntryHost{ID: "9", Incarnation: 1})
	r.Clock, r.Log = clock.System{}, zerolog.Nop()
	r.Reachability = func() (bool, time.Time) { return true, time.Time{} }
	apply := func(e sardineknot.StoreEntry, n int64) {
		e.Revision.Number = n
		r.Apply(e)
		r.Refresh()
	}
	assertRegistered := func(drops uint64, ids ...sardineknot.EntryHostID) {
		i.Helper()
		l, d := r.Registered()
		i.Equal(d, drops)
		i.Equal(len(l), len(ids))
		for n, h := range l {
			i.Equal(h.ID, ids[n])
			i.Equal(h.State, sardineknot.EntryHostAlive)
		}
	}
	apply(hostEntry(1), 1)
	assertRegistered(0, "1") // the service has not confirmed this host yet
	apply(hostEntry(9), 2)
	assertRegistered(0, "1", "9")
	r.Exclude("1")
	i.Equal(r.Hosts()[0].State, sardineknot.EntryHostDead)
	assertRegistered(0, "1", "9")
	apply(hostEntry(9), 0)
	assertRegistered(1, "1", "9")
	apply(hostEntry(9), 3)
	assertRegistered(1, "1", "9")
	apply(hostEntry(1), 0)
	assertRegistered(1, "9")
}
