package links

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot"
)

var start = time.Unix(1000, 0)

// newMeter returns a meter with one link of 1000 bytes per second.
func newMeter() *Meter {
	m := NewMeter()
	m.SetLinks([]sardineknot.Link{{From: "a", To: "b", BytesPerSecond: 1000}})
	return m
}

func key(id sardineknot.RequestID) sardineknot.RequestKey { return sardineknot.RequestKey{ID: id} }

func TestMeter(t *testing.T) {
	t.Run("transfers in both directions share the link", func(t *testing.T) {
		m := newMeter()
		m.Begin(start, key("1"), "a", "b", 500, start.Add(time.Minute))
		d, ok := m.Predict(start, "b", "a", 1000)
		is.New(t).Equal(d, 1500*time.Millisecond)
		is.New(t).True(ok)
	})
	t.Run("bytes already transferred no longer count", func(t *testing.T) {
		m := newMeter()
		m.Begin(start, key("1"), "a", "b", 500, start.Add(time.Minute))
		d, _ := m.Predict(start.Add(time.Second), "a", "b", 1000)
		is.New(t).Equal(d, time.Second)
	})
	t.Run("a transfer that would make another miss its expiry is not safe", func(t *testing.T) {
		m := newMeter()
		m.Begin(start, key("1"), "a", "b", 500, start.Add(600*time.Millisecond))
		_, ok := m.Predict(start, "a", "b", 400)
		is.New(t).True(!ok)
		m.Abort(start, key("1"), "a", "b")
		_, ok = m.Predict(start, "a", "b", 400)
		is.New(t).True(ok)
	})
	t.Run("a slowdown is learned and decays", func(t *testing.T) {
		m := newMeter()
		for range 10 {
			d, _ := m.Predict(start, "a", "b", 100)
			m.Begin(start, key("1"), "a", "b", 100, start.Add(time.Minute))
			m.End(start, key("1"), "a", "b", time.Second, d)
		}
		d, _ := m.Predict(start, "a", "b", 100)
		is.New(t).True(float64(d)*tolerance >= float64(time.Second))
		d, _ = m.Predict(start.Add(10*slowdownHalfLife), "a", "b", 100)
		is.New(t).True(d < 110*time.Millisecond)
	})
	t.Run("a failed transfer raises the slowdown at once", func(t *testing.T) {
		m := newMeter()
		m.RecordFailure(start, "a", "b", time.Second, 100*time.Millisecond)
		d, _ := m.Predict(start, "a", "b", 100)
		is.New(t).Equal(d, time.Second)
	})
}
