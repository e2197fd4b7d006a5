package twirp_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot"
)

// fleet is a set of hosts with links, in zones of equal hosts.
type fleet struct {
	site

	name string
	// strong hosts of each zone have a processor and a link as good as any, medium ones a
	// good processor and the link mediumMegabits. All others have the link weakMegabits.
	strong, medium               int
	mediumMegabits, weakMegabits int
}

// strongMegabits is the rate of the link of a strong host, and storeMegabits that of the
// service, in megabits a second.
const (
	strongMegabits = 200
	storeMegabits  = 1000
)

// fleets are fleets with strong hosts, with strong processors behind weak links, and with
// weak hosts only.
var fleets = []fleet{
	{name: "mixed", site: site{hosts: 86, zones: 3, bound: 3 * time.Second, reportInterval: 41 * time.Millisecond}, strong: 2, medium: 7, mediumMegabits: 25, weakMegabits: 10},
	{name: "no strong link", site: site{hosts: 86, zones: 3, bound: 3 * time.Second, reportInterval: 41 * time.Millisecond}, medium: 7, mediumMegabits: 25, weakMegabits: 10},
	{name: "weak links only", site: site{hosts: 86, zones: 3, bound: 3 * time.Second, reportInterval: 41 * time.Millisecond}, weakMegabits: 10},
	{name: "many hosts, weak links only", site: site{hosts: 300, zones: 6, bound: 4 * time.Second, reportInterval: 170 * time.Millisecond}, weakMegabits: 10},
}

// equip sets the processor and the link of h, the i-th host of its zone.
func (f fleet) equip(h *host, i int) {
	p, r := 0.144, f.weakMegabits
	switch {
	case i < f.strong:
		p, r = 0.8, strongMegabits
	case i < f.strong+f.medium:
		p, r = 0.48, f.mediumMegabits
	}
	h.entry.Processor, h.entry.LinkMegabits = p, float64(r)
	h.link = newLink(r)
	h.store.carry = func(ctx context.Context, entries []sardineknot.StoreEntry) error {
		return h.cluster.service.carryEntries(ctx, entries, h)
	}
}

// startFleet starts the hosts of f and waits for some seconds.
func startFleet(t *testing.T, f fleet) *cluster {
	return startFleetWith(t, f, func(*service) {})
}

// startFleetWith starts the hosts of f at a service that fill has filled.
func startFleetWith(t *testing.T, f fleet, fill func(*service)) *cluster {
	return startSiteWith(t, f.site, func(h *host, i int) {
		if i == 0 {
			h.cluster.service.link = newLink(storeMegabits)
			fill(h.cluster.service)
		}
		f.equip(h, i/f.zones)
	})
}

// newRoutes returns the text of a configuration with count routes, whose names differ as
// those of operators do. The first routes are the same for each count.
func newRoutes(count int) string {
	r := rand.New(rand.NewPCG(1, 2))
	word := func(n int) string {
		var b strings.Builder
		for range n {
			b.WriteByte("abcdefghijklmnopqrstuvwxyz0123456789"[r.IntN(36)])
		}
		return b.String()
	}
	var b strings.Builder
	for range count {
		fmt.Fprintf(&b, `{"name":"r-%s","host":"%s.example","prefix":"/%s/","kind":"unsafe","timeoutMs":800,"sloMs":300,"priority":2,"service":"wuno96b","attempts":1,"sticky":false,"canResume":false},`, word(7), word(6), word(8))
	}
	return b.String()
}

const (
	fewRoutes  = 48
	manyRoutes = 1448
)

// randomText returns n bytes that cannot be compressed.
func randomText(n int, seed uint64) string {
	r := rand.New(rand.NewPCG(seed, seed))
	b := make([]byte, n)
	for i := range b {
		b[i] = byte(r.Uint32())
	}
	return string(b)
}

// checkKnown checks that each host that is not harmed has read value under key within the
// bound, less what is left for all but reading, after a write at the given time. It waits
// until the bound is over.
func (c *cluster) checkKnown(t *testing.T, key, value string, written time.Time) {
	t.Helper()
	time.Sleep(time.Until(written.Add(c.bound)))
	synctest.Wait()
	n, w := 0, time.Duration(0)
	for _, h := range c.hosts {
		v, at := h.get(key)
		if h.harmed {
			continue
		}
		if v != value || at.Sub(written) > c.bound-processingTime {
			n++
			continue
		}
		w = max(w, at.Sub(written))
	}
	t.Logf("%s: the last host that knows it in time after %v", key, w)
	if n > 0 {
		t.Errorf("%s: %d of %d hosts do not know the value of %d bytes %v after the write", key, n, len(c.hosts), len(value), c.bound-processingTime)
	}
}

// TestLargeConfigurationWithinBound guards against a large configuration that reaches hosts
// too late because those from which they read send it as a whole to all of them at once, over
// links that are too weak for that, and against readers that discard what has arrived.
func TestLargeConfigurationWithinBound(t *testing.T) {
	few, many := newRoutes(fewRoutes), newRoutes(manyRoutes)
	for _, f := range fleets {
		play := func(name string, f2 func(t *testing.T, c *cluster)) {
			t.Run(f.name+", "+name, func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					c := startFleet(t, f)
					c.service.put("config", few)
					advance(5 * time.Second)
					f2(t, c)
				})
			})
		}
		play("routes are added", func(t *testing.T, c *cluster) {
			b := time.Now()
			c.service.put("config", many)
			c.checkKnown(t, "config", many, b)
		})
		play("a small change follows", func(t *testing.T, c *cluster) {
			c.service.put("config", many)
			advance(900 * time.Millisecond)
			b, v := time.Now(), "idle"+many
			c.service.put("config", v)
			c.checkKnown(t, "config", v, b)
		})
		play("many changes follow each other", func(t *testing.T, c *cluster) {
			var b time.Time
			var v string
			for i := range 12 {
				advance(330 * time.Millisecond)
				b, v = time.Now(), fmt.Sprint(i)+many
				c.service.put("config", v)
			}
			c.checkKnown(t, "config", v, b)
		})
	}
}

// TestLeavingServerBesideLargeConfiguration guards against requests to a server that is
// leaving because the news of it waits behind a large configuration that is still on its way.
func TestLeavingServerBesideLargeConfiguration(t *testing.T) {
	for _, f := range fleets {
		for _, d := range []time.Duration{-500 * time.Millisecond, 0, 900 * time.Millisecond, 1500 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s, %v after the configuration", f.name, d), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					c := startFleet(t, f)
					v := randomText(sardineknot.MaxStoreValueBytes, 3)
					var b time.Time
					leave := func() {
						b = time.Now()
						c.service.put("server", "leaving")
					}
					if d < 0 {
						leave()
						advance(-d)
					}
					c.service.put("config", v)
					if d >= 0 {
						advance(d)
						leave()
					}
					c.checkKnown(t, "server", "leaving", b)
				})
			})
		}
	}
}

// TestLargeConfigurationAmidFaults guards against hosts that get a large configuration late
// because a follower fails while they read it.
func TestLargeConfigurationAmidFaults(t *testing.T) {
	few, many := newRoutes(fewRoutes), newRoutes(manyRoutes)
	faults := []fault{
		{"half of the followers die", onFollowers(even, kill)},
		{"all followers die", onFollowers(all, kill)},
		{"half of the followers freeze for 3 s", onFollowers(even, pause(3*time.Second))},
		{"all followers are slow", onFollowers(all, slowDown)},
		{"every second answer of all followers is lost", onFollowers(all, lose)},
		{"the store is silent to half of the followers", onFollowers(even, silence)},
	}
	for _, f := range fleets {
		for _, x := range faults {
			for _, d := range []time.Duration{600 * time.Millisecond, 700 * time.Millisecond, 800 * time.Millisecond, 900 * time.Millisecond} {
				t.Run(fmt.Sprintf("%s, %s after %v", f.name, x.name, d), func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) {
						c := startFleet(t, f)
						c.service.put("config", few)
						advance(5 * time.Second)
						b := time.Now()
						c.service.put("config", many)
						advance(d)
						x.apply(c)
						c.checkKnown(t, "config", many, b)
						c.heal()
					})
				})
			}
		}
	}
}

// TestStartWithLargeConfiguration guards against hosts that start together, and read a large
// configuration and many servers so slowly that they do not serve within seconds.
func TestStartWithLargeConfiguration(t *testing.T) {
	const servers = 300
	many := newRoutes(manyRoutes)
	for _, f := range fleets {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				c := startFleetWith(t, f, func(s *service) {
					s.put("config", many)
					for i := range servers {
						s.put(fmt.Sprintf("server-%d", i), strings.Repeat("v", 290))
					}
				})
				for _, h := range c.hosts {
					v, _ := h.get("config")
					w, _ := h.get(fmt.Sprintf("server-%d", servers-1))
					if v != many || w == "" {
						t.Errorf("%s has %d bytes of the configuration and %d of a server", h.entry.ID, len(v), len(w))
					}
				}
			})
		})
	}
}

// sentBytes returns the number of bytes that hosts have sent each other.
func (c *cluster) sentBytes() int64 {
	var n int64
	for _, h := range c.hosts {
		n += h.sent.Load()
	}
	return n
}

// TestBrokenTransferGoesOn guards against a large value that is read from its beginning again
// when the follower from which a host reads it dies, which costs the other followers the time
// of their links that all need.
func TestBrokenTransferGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := startFleet(t, fleets[0])
		b := c.sentBytes()
		c.service.put("config", randomText(200<<10, 4))
		advance(1500 * time.Millisecond)
		harmFollowers(c, even, kill)
		advance(10 * time.Second)
		n := 0
		for _, h := range c.hosts {
			v, _ := h.get("config")
			is.True(h.harmed || len(v) == 200<<10)
			if !h.feed.Selector.FollowsStore() {
				n++
			}
		}
		s := c.sentBytes() - b
		t.Logf("%d bytes for %d readers", s, n)
		is.True(s < int64(n)*(200<<10)*5/4)
	})
}

// TestViewOfMissingValue guards against a host that denies what a large value on its way may
// allow, and against one that passes on a state without that value as complete.
func TestViewOfMissingValue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := startFleet(t, fleets[2])
		c.service.put("config", randomText(700<<10, 5))
		c.service.put("server", "leaving")
		n := 0
		for range 40 {
			advance(50 * time.Millisecond)
			n += c.checkMissing(is)
		}
		is.True(n > 0) // some hosts had the small change only
	})
}

// checkMissing checks the views of the hosts that have the leaving server and not the
// configuration, and returns their number.
func (c *cluster) checkMissing(is *is.I) int {
	is.Helper()
	n := 0
	for _, h := range c.hosts {
		v, _ := h.get("config")
		s, at := h.get("server")
		if len(v) > 1 || s == "" {
			continue
		}
		n++
		is.True(h.feed.ViewAge() > time.Since(at)) // older than the change that it knows
	}
	return n
}

// TestManyChangesWithinBound guards against hosts that get the changes of thousands of servers
// late, such as a release of all at once, because followers send them to all readers in full
// length over weak links.
func TestManyChangesWithinBound(t *testing.T) {
	const servers = 2500
	value := func(i int) string {
		return fmt.Sprintf(`{"service":"wuno96b","addr":"10.1.%d.%d:8406","zone":"mids-a","version":"v2","slots":6,"state":"draining","coldLeftMs":0,"sequence":%d,"born":%d,"stage":"decode","models":[{"name":"m","version":1,"adapters":[]}]}`, i>>8, i&255, i*7, 1770000000000+i*131)
	}
	for _, f := range fleets {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				c := startFleet(t, f)
				b := time.Now()
				for i := range servers {
					c.service.put(fmt.Sprintf("server-%d", i), value(i))
				}
				c.checkKnown(t, "server-0", value(0), b)
				c.checkKnown(t, fmt.Sprintf("server-%d", servers-1), value(servers-1), b)
			})
		})
	}
}
