package store_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/host/clock"
	"sardineknot.example/sardineknot/internal/membership/store"
)

// newReader returns a registry of the host "a" that has read the given incarnations of
// the host "b", in order and in era 0.
func newReader(incarnations ...int) *store.Registry {
	r := store.NewRegistry(sardineknot.EntryHost{ID: "a", Incarnation: 1})
	r.Clock, r.Log = clock.System{}, zerolog.Nop()
	for _, n := range incarnations {
		readIncarnation(r, 0, n)
	}
	return r
}

// readIncarnation applies the key of the given incarnation of "b", read in era.
func readIncarnation(r *store.Registry, era sardineknot.StoreEra, incarnation int) {
	v := fmt.Sprintf(`{"Incarnation":%d,"CallerAddress":"127.0.0.1:1","PeerAddress":"127.0.0.1:1","Zone":"z"}`, incarnation)
	r.Apply(sardineknot.StoreEntry{Key: store.KeyPrefix + "b", Value: []byte(v), Revision: sardineknot.StoreRevision{Era: era, Number: 1}})
}

// TestDeadIncarnation guards against slots that stay taken by the jobs of a process that
// has ended, because the clock was set back before the host started again, and against
// live processes that count as dead.
func TestDeadIncarnation(t *testing.T) {
	t.Run("the process before", func(t *testing.T) {
		is := is.New(t)
		r := newReader(5, 9)
		is.True(r.Dead("b", 5))
		is.True(!r.Dead("b", 9))
		is.True(r.Dead("c", 9))
	})
	t.Run("the process before, with a clock that was ahead", func(t *testing.T) {
		is := is.New(t)
		r := newReader(9, 5)
		is.True(r.Dead("b", 9))
		is.True(!r.Dead("b", 5))
	})
	t.Run("two processes before", func(t *testing.T) {
		is := is.New(t)
		r := newReader(9, 5, 7)
		is.True(r.Dead("b", 9))
		is.True(r.Dead("b", 5))
		is.True(!r.Dead("b", 7))
	})
	t.Run("a process whose key is not read yet", func(t *testing.T) {
		is := is.New(t)
		is.True(!newReader(5).Dead("b", 9))
	})
	t.Run("the present process while an older copy of the store holds the one before", func(t *testing.T) {
		is := is.New(t)
		r := newReader(5, 9)
		readIncarnation(r, 1, 5)
		is.True(!r.Dead("b", 9))
		readIncarnation(r, 1, 9)
		is.True(r.Dead("b", 5))
		is.True(!r.Dead("b", 9))
	})
}
