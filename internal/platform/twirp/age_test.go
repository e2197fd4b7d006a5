package twirp_test

import (
	"testing"
	"time"
)

// checkAge checks that the age of the view of h is in [least, most].
func checkAge(t *testing.T, h *host, least, most time.Duration) {
	t.Helper()
	d := h.feed.ViewAge()
	if d < least || d > most {
		t.Errorf("the view of %s is %v old, want %v to %v", h.entry.ID, d, least, most)
	}
}

// TestViewAge guards against a view that counts as current although the host, or the one
// that it reads from, has had no answer of the service.
func TestViewAge(t *testing.T) {
	run(t, "every view is young while the service answers", func(t *testing.T) {
		c := start(t, 60, 3)
		for range 50 {
			advance(37 * time.Millisecond)
			for _, h := range c.hosts {
				checkAge(t, h, 0, 3300*time.Millisecond) // three polls that wait for changes, and the pauses
			}
		}
	})
	run(t, "an outage makes all views old", func(t *testing.T) {
		c := start(t, 60, 3)
		c.service.down.Store(true)
		advance(10 * time.Second)
		for _, h := range c.hosts {
			checkAge(t, h, 9*time.Second, 14*time.Second)
		}
	})
	run(t, "a reader's view is as old as that of its follower, which waits for an answer", func(t *testing.T) {
		c := start(t, 8, 1)
		b := time.Now()
		for _, h := range c.followers() {
			h.store.silent.Store(true)
		}
		for range 10 {
			advance(100 * time.Millisecond)
			f := c.followers()
			least := min(f[0].feed.ViewAge(), f[1].feed.ViewAge(), time.Since(b))
			checkAge(t, c.readers()[0], least, time.Minute)
		}
	})
}
