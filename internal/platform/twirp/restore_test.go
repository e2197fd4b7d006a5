package twirp_test

import (
	"testing"
	"time"
)

// checkValue checks the value of key that every live host for which in returns
// true has read.
func (c *cluster) checkValue(t *testing.T, key, want string, in func(*host) bool) {
	t.Helper()
	for _, h := range c.hosts {
		if v, _ := h.get(key); !h.dead.Load() && in(h) && v != want {
			t.Errorf("%s has read %q of %s, want %q", h.entry.ID, v, key, want)
		}
	}
}

// checkQuiet checks that hosts which wait for changes ask their follower once a
// second at most, while there are none.
func (c *cluster) checkQuiet(t *testing.T) {
	t.Helper()
	const seconds = 10
	b := make(map[*host]int64)
	for _, h := range c.hosts {
		b[h] = h.feed.PeerCalls.Count()
	}
	advance(seconds * time.Second)
	for _, h := range c.hosts {
		if n := h.feed.PeerCalls.Count() - b[h]; n > seconds+1 {
			t.Errorf("%s asked %d times in %d s", h.entry.ID, n, seconds)
		}
	}
}

// TestRestore covers a service that comes back from an older copy and gives out
// revisions again: what it lost, and what it has under the same revisions, must
// be known to all hosts within the bound.
func TestRestore(t *testing.T) {
	const bound = 4 * time.Second
	run(t, "what was lost is gone, and new changes arrive", func(t *testing.T) {
		c := start(t, 60, 3)
		for range 20 {
			c.service.put("lost", "x")
		}
		advance(2 * time.Second)
		c.checkValue(t, "lost", "x", everyHost)
		c.service.restore(3, map[string]string{"config": "0", "kept": "x"})
		advance(bound)
		c.checkValue(t, "lost", "", everyHost)
		c.checkValue(t, "kept", "x", everyHost)
		c.checkQuiet(t)
		c.checkChange(t, "2", time.Second, everyHost)
	})
	run(t, "it has more revisions again before anyone asks", func(t *testing.T) {
		c := start(t, 60, 3)
		c.service.put("lost", "x")
		advance(2 * time.Second)
		c.service.restore(1, map[string]string{"config": "0"})
		for range 50 {
			c.service.put("new", "y")
		}
		advance(bound)
		c.checkValue(t, "lost", "", everyHost)
		c.checkValue(t, "new", "y", everyHost)
	})
	run(t, "again during the recovery, and often", func(t *testing.T) {
		c := start(t, 60, 3)
		for range 5 {
			c.service.put("lost", "x")
			c.service.restore(1, map[string]string{"config": "0"})
			advance(150 * time.Millisecond)
		}
		c.service.restore(1, map[string]string{"config": "0", "kept": "x"})
		advance(bound)
		c.checkValue(t, "lost", "", everyHost)
		c.checkValue(t, "kept", "x", everyHost)
	})
}

// TestHostsBehind covers hosts that have not learned of the new era when others
// have: nothing that they hold may replace the newer state.
func TestHostsBehind(t *testing.T) {
	const bound = 4 * time.Second
	run(t, "a host that was cut off comes back", func(t *testing.T) {
		c := start(t, 60, 3)
		c.service.put("lost", "x")
		advance(2 * time.Second)
		f := c.followers()[0]
		f.store.cut.Store(true)
		c.service.restore(1, map[string]string{"config": "0", "kept": "x"})
		advance(10 * time.Second)
		c.checkValue(t, "lost", "", func(h *host) bool { return h != f })
		f.store.cut.Store(false)
		advance(bound)
		c.checkValue(t, "lost", "", everyHost)
		c.checkValue(t, "kept", "x", everyHost)
	})
	run(t, "a follower still reads the era before", func(t *testing.T) {
		c := start(t, 60, 3)
		c.service.put("lost", "x")
		advance(2 * time.Second)
		f := c.followers()[0]
		f.store.old.Store(c.service.log.Load())
		c.service.restore(1, map[string]string{"config": "0", "kept": "x"})
		advance(2 * bound)
		// Hosts that know the new era lose their followers, and must not go back to
		// what the remaining one says.
		n := make(map[*host]bool)
		for _, h := range c.hosts {
			v, _ := h.get("kept")
			n[h] = v == "x"
		}
		for _, h := range c.followers() {
			h.dead.Store(h != f)
		}
		inNewEra := func(h *host) bool { return n[h] }
		c.checkChange(t, "2", bound, inNewEra)
		c.checkValue(t, "kept", "x", inNewEra)
		c.checkValue(t, "lost", "", inNewEra)
		f.store.old.Store(nil)
		advance(bound)
		c.checkValue(t, "kept", "x", everyHost)
		c.checkValue(t, "lost", "", everyHost)
	})
}
