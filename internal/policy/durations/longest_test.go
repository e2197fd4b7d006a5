package durations_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/policy/durations"
)

// start is the time at which the tests begin.
var start = time.Unix(1_800_000_000, 0)

// after returns the time a number of seconds after start.
func after(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }

// hasLongest checks the longest duration of the route r at a time, in seconds.
func hasLongest(t *testing.T, l *durations.Longest, seconds int, want time.Duration) {
	t.Helper()
	d, ok := l.Longest(after(seconds), "r", 0)
	is.New(t).True(ok)
	is.New(t).Equal(d, want)
}

// hasNone checks that no duration of the route r is known at a time, in seconds.
func hasNone(t *testing.T, l *durations.Longest, seconds int, atLeast time.Duration) {
	t.Helper()
	_, ok := l.Longest(after(seconds), "r", atLeast)
	is.New(t).True(!ok)
}

// TestLongest guards against an estimate that forgets a long call too early, or keeps it
// for ever.
func TestLongest(t *testing.T) {
	t.Run("the longest one counts", func(t *testing.T) {
		var l durations.Longest
		l.Record(after(0), "r", 2*time.Second)
		l.Record(after(1), "r", 6*time.Second)
		l.Record(after(2), "r", time.Second)
		l.Record(after(2), "other", time.Hour)
		hasLongest(t, &l, 3, 6*time.Second)
	})
	t.Run("for half a minute at least and a minute at most", func(t *testing.T) {
		var l durations.Longest
		l.Record(after(0), "r", time.Second)
		l.Record(after(29), "r", 6*time.Second)
		for s := 30; s < 90; s++ {
			l.Record(after(s), "r", time.Second)
			d, _ := l.Longest(after(s), "r", 0)
			is.New(t).True(d == 6*time.Second || s > 59)
		}
		hasLongest(t, &l, 90, time.Second)
	})
	t.Run("none is known of a route without calls, or without recent ones", func(t *testing.T) {
		var l durations.Longest
		hasNone(t, &l, 0, 0)
		l.Record(after(0), "r", time.Second)
		hasNone(t, &l, 60, 0)
	})
	t.Run("none is known while longer calls may still be in progress", func(t *testing.T) {
		var l durations.Longest
		l.Record(after(0), "r", time.Second)
		hasNone(t, &l, 13, 14*time.Second)
		l.Record(after(13), "r", time.Second)
		d, ok := l.Longest(after(14), "r", 14*time.Second)
		is.New(t).True(ok)
		is.New(t).Equal(d, time.Second)
	})
}

// BenchmarkRecord shows that a configuration whose routes come and go takes bounded time.
func BenchmarkRecord(b *testing.B) {
	var l durations.Longest
	for i := range b.N {
		l.Record(after(i/1000), sardineknot.RouteName(fmt.Sprint("r", i%5000)), time.Second)
	}
}
