package recent_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot/internal/policy/recent"
)

// observation is a duration that was observed at a time after the start.
type observation struct {
	at, duration time.Duration
}

// TestMaximum guards against an observation that is forgotten too soon, and against one that
// counts for ever.
func TestMaximum(t *testing.T) {
	for _, c := range []struct {
		name         string
		observations []observation
		at           time.Duration
		value        time.Duration
		ok           bool
	}{
		{name: "nothing was observed"},
		{name: "the largest counts", observations: []observation{{0, 2}, {time.Second, 3}, {2 * time.Second, 1}}, at: 2 * time.Second, value: 3, ok: true},
		{name: "one of the window before counts", observations: []observation{{0, 3}, {31 * time.Second, 1}}, at: 40 * time.Second, value: 3, ok: true},
		{name: "without others it counts for two windows", observations: []observation{{0, 3}}, at: 59 * time.Second, value: 3, ok: true},
		{name: "one of two windows before does not", observations: []observation{{0, 3}, {31 * time.Second, 1}}, at: 70 * time.Second, value: 1, ok: true},
		{name: "after a pause nothing is known", observations: []observation{{0, 3}}, at: time.Minute},
		{name: "what comes after a pause counts alone", observations: []observation{{0, 3}, {time.Minute, 1}}, at: time.Minute, value: 1, ok: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			n := time.Unix(1_000, 0)
			var m recent.Maximum
			for _, o := range c.observations {
				m.Record(n.Add(o.at), o.duration)
			}
			d, ok := m.Value(n.Add(c.at))
			is.Equal(ok, c.ok)
			is.Equal(d, c.value)
		})
	}
}
