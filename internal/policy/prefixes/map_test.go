package prefixes

import (
	"testing"

	"github.com/matryer/is"
)

func TestPrefixes(t *testing.T) {
	t.Run("counts leading prefixes only", func(t *testing.T) {
		m := NewMap(10, 1)
		m.Record([]uint64{1, 2}, "p")
		is.New(t).Equal(m.Match([]uint64{1, 2, 3}, "p"), 2)
		is.New(t).Equal(m.Match([]uint64{9, 2}, "p"), 0)
		is.New(t).Equal(m.Match([]uint64{1}, "q"), 0)
	})
	t.Run("forgets prefixes that a server has evicted", func(t *testing.T) {
		m := NewMap(10, 1)
		m.Record([]uint64{1}, "p")
		m.Forget([]uint64{1}, "p")
		is.New(t).Equal(m.Match([]uint64{1}, "p"), 0)
	})
	t.Run("keeps the most recently used prefixes up to the limit", func(t *testing.T) {
		m := NewMap(10, 1)
		for i := range uint64(100) {
			m.Record([]uint64{1000, i}, "p")
		}
		is.New(t).Equal(m.Len(), 10)
		is.New(t).Equal(m.Match([]uint64{1000, 99}, "p"), 2)
		is.New(t).Equal(m.Match([]uint64{5}, "p"), 0)
	})
	t.Run("records servers only of prefixes that reach the threshold", func(t *testing.T) {
		m := NewMap(10, 2)
		for i := range uint64(1000) {
			m.Record([]uint64{i}, "p")
		}
		is.New(t).Equal(m.Len(), 0)
		is.New(t).True(len(m.counts) <= 10)
		m.Record([]uint64{999}, "p")
		is.New(t).Equal(m.Match([]uint64{999}, "p"), 1)
	})
}
