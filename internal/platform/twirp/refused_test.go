package twirp_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRefusedFollowers guards against hosts that go on with an old configuration, and
// its withdrawn keys, because they are followers and the service refuses them while
// it serves others.
func TestRefusedFollowers(t *testing.T) {
	const bound = 4 * time.Second
	run(t, "a refused follower reads from other followers", func(t *testing.T) {
		c := start(t, 60, 3)
		for i, h := range c.followers() {
			h.store.cut.Store(i%3 == 0)
		}
		advance(time.Second)
		c.checkChange(t, "2", bound, everyHost)
	})
	run(t, "all followers of a zone are refused", func(t *testing.T) {
		c := start(t, 60, 3)
		for _, h := range c.followers() {
			h.store.cut.Store(h.entry.Zone == "zone-0")
		}
		c.checkChange(t, "2", bound, everyHost)
	})
	run(t, "a follower reads from the service once that serves it again", func(t *testing.T) {
		is := is.New(t)
		c := start(t, 60, 3)
		h := c.followers()[0]
		h.store.cut.Store(true)
		advance(5 * time.Second)
		is.True(h.feed.StoreCalls.Count() > 0)
		n := h.feed.StoreCalls.Count()
		advance(10 * time.Second)
		is.True(h.feed.StoreCalls.Count()-n <= 6) // one call each two seconds
		h.store.cut.Store(false)
		advance(4 * time.Second)
		n = h.feed.PeerCalls.Count()
		advance(10 * time.Second)
		is.Equal(h.feed.PeerCalls.Count(), n)
		c.checkChange(t, "2", time.Second, everyHost)
	})
	run(t, "refused followers do not take each other's state for that of the service", func(t *testing.T) {
		c := start(t, 6, 3)
		for _, h := range c.hosts[1:] {
			h.store.cut.Store(true)
		}
		advance(5 * time.Second)
		c.checkChange(t, "2", bound, everyHost)
	})
}
