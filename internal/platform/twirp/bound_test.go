package twirp_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/host/clock"
)

// site is a fleet of hosts that each change must reach within bound.
type site struct {
	hosts, zones int
	bound        time.Duration
	// reportInterval is the time between two reports of backend servers.
	reportInterval time.Duration
	// pairsOnly leaves out single faults, which another site of the same size has.
	pairsOnly bool
}

func (s site) String() string {
	return fmt.Sprintf("%d hosts in %d zones, a report each %v", s.hosts, s.zones, s.reportInterval)
}

// sites covers few hosts in many zones, many in few, and one zone, with many and with few
// changes that are no news.
var sites = []site{
	{hosts: 7, zones: 4, bound: 2 * time.Second, reportInterval: 80 * time.Millisecond},
	{hosts: 7, zones: 4, bound: 2 * time.Second, reportInterval: 700 * time.Millisecond, pairsOnly: true},
	{hosts: 8, zones: 1, bound: 2 * time.Second, reportInterval: time.Minute},
	{hosts: 86, zones: 3, bound: 3 * time.Second, reportInterval: 41 * time.Millisecond},
	{hosts: 86, zones: 3, bound: 3 * time.Second, reportInterval: 370 * time.Millisecond, pairsOnly: true},
	{hosts: 86, zones: 3, bound: 3 * time.Second, reportInterval: time.Minute, pairsOnly: true},
	{hosts: 300, zones: 6, bound: 4 * time.Second, reportInterval: 170 * time.Millisecond},
}

// processingTime is the part of the bound that is left to a host for all but reading. It
// covers what is slower in production than in virtual time.
const processingTime = 300 * time.Millisecond

// startSite starts the hosts of s at different moments, with the pauses between polls that
// they have in production, while backend servers report.
func startSite(t *testing.T, s site) *cluster {
	return startSiteWith(t, s, func(*host, int) {})
}

// startSiteWith starts the hosts of s as startSite does. equip may change each of them, by
// its position, before they start.
func startSiteWith(t *testing.T, s site, equip func(h *host, i int)) *cluster {
	c := &cluster{service: newService(), bound: s.bound}
	l := newEntries(s.hosts, s.zones)
	for i, e := range l {
		h := newHost(c, e, l)
		equip(h, i)
		l[i] = h.entry
		h.mirror.PollDelay = func() time.Duration { return h.pollDelay(s) }
		c.hosts = append(c.hosts, h)
	}
	for i, h := range c.hosts {
		go func() {
			time.Sleep(time.Duration(i*37%1000) * time.Millisecond)
			h.run(t.Context())
		}()
	}
	go func() {
		for i := 0; (clock.System{}).Sleep(t.Context(), s.reportInterval) == nil; i++ {
			c.service.put(fmt.Sprintf("beat-%d", i%20), "x")
		}
	}()
	advance(6 * time.Second)
	return c
}

// pollDelay returns the pause of the host between two polls, as in the gateway.
func (h *host) pollDelay(s site) time.Duration {
	if !h.feed.Selector.FollowsStore() {
		return 100 * time.Millisecond
	}
	return min(750*time.Millisecond, s.bound/4, 250*time.Millisecond+time.Duration(s.hosts)*8*time.Millisecond)
}

// fault harms hosts. A change need not reach those that it marks as harmed in time.
type fault struct {
	name  string
	apply func(c *cluster)
}

// harmFollowers applies harm to the followers for which in returns true, by their position.
func harmFollowers(c *cluster, in func(i int, h *host) bool, harm func(h *host)) {
	for i, h := range c.followers() {
		if in(i, h) {
			h.harmed = true
			harm(h)
		}
	}
}

func kill(h *host)    { h.dead.Store(true) }
func silence(h *host) { h.store.silent.Store(true) }
func refuse(h *host)  { h.store.cut.Store(true) }
func lose(h *host)    { h.lossy.Store(true) }
func slowDown(h *host) {
	h.delay.Store(int64(350 * time.Millisecond))
}

// pause returns a harm that freezes a host for the given time.
func pause(d time.Duration) func(*host) {
	return func(h *host) {
		n := make(chan struct{})
		h.paused.Store(&n)
		time.AfterFunc(d, func() {
			h.paused.Store(nil)
			close(n)
		})
	}
}

func all(int, *host) bool         { return true }
func even(i int, _ *host) bool    { return i%2 == 0 }
func odd(i int, _ *host) bool     { return i%2 == 1 }
func inZone0(_ int, h *host) bool { return h.entry.Zone == "zone-0" }
func outside(i int, h *host) bool { return !inZone0(i, h) }

// faults lists the faults that s has.
func (s site) faults() []fault {
	if s.pairsOnly {
		return pairsOfFaults()
	}
	return append(singleFaults(), pairsOfFaults()...)
}

// onFollowers returns a fault that applies harm to the followers for which in returns true.
func onFollowers(in func(int, *host) bool, harm func(*host)) func(*cluster) {
	return func(c *cluster) { harmFollowers(c, in, harm) }
}

func singleFaults() []fault {
	return []fault{
		{"none", func(*cluster) {}},
		{"half of the followers are dead", onFollowers(even, kill)},
		{"the followers of a zone are dead", onFollowers(inZone0, kill)},
		{"all followers are dead", onFollowers(all, kill)},
		{"all followers freeze for 1 s", onFollowers(all, pause(time.Second))},
		{"half of the followers freeze for 3 s", onFollowers(even, pause(3*time.Second))},
		{"all followers freeze for 5 s", onFollowers(all, pause(5*time.Second))},
		{"all followers are slow", onFollowers(all, slowDown)},
		{"every second answer of all followers is lost", onFollowers(all, lose)},
		{"the store is silent to half of the followers", onFollowers(even, silence)},
		{"the store is silent to all followers", onFollowers(all, silence)},
		{"the store refuses all followers", onFollowers(all, refuse)},
	}
}

// pairsOfFaults lists faults of two groups of followers, at the same time or one after the
// other when readers have noticed the first.
func pairsOfFaults() []fault {
	later := func(d time.Duration, first, second func(*cluster)) func(*cluster) {
		return func(c *cluster) {
			first(c)
			time.AfterFunc(d, func() { second(c) })
		}
	}
	both := func(first, second func(*cluster)) func(*cluster) { return later(0, first, second) }
	return []fault{
		{"half are dead, the store is silent to the others", both(onFollowers(even, kill), onFollowers(odd, silence))},
		{"half freeze, the store is silent to the others", both(onFollowers(even, pause(5*time.Second)), onFollowers(odd, silence))},
		{"a zone's are dead, the store is silent to the others", both(onFollowers(inZone0, kill), onFollowers(outside, silence))},
		{"half are dead, and the others when readers have noticed", later(1400*time.Millisecond, onFollowers(even, kill), onFollowers(odd, kill))},
		{"the store is silent to half, and the others die then", later(1600*time.Millisecond, onFollowers(even, silence), onFollowers(odd, kill))},
		{"the store refuses half, and is silent to the others then", later(500*time.Millisecond, onFollowers(even, refuse), onFollowers(odd, silence))},
	}
}

// moments lists when the change is made, counted from the fault. Every second one is left
// out for large fleets.
func (s site) moments() []time.Duration {
	l := []time.Duration{-300 * time.Millisecond, 0, 300 * time.Millisecond, 800 * time.Millisecond, 1300 * time.Millisecond, 1600 * time.Millisecond, 2100 * time.Millisecond}
	if s.hosts < 100 {
		return l
	}
	return []time.Duration{l[0], l[2], l[4], l[6]}
}

// TestChangeWithinBound guards against hosts to which nothing has happened and that go on
// with an old configuration for longer than the bound of their site, because the hosts from
// which they read fail one after the other.
func TestChangeWithinBound(t *testing.T) {
	for _, s := range sites {
		for _, f := range s.faults() {
			t.Run(s.String()+", "+f.name, func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					c := startSite(t, s)
					for i, m := range s.moments() {
						c.checkChangeAround(t, s, f, fmt.Sprint(i+2), m)
					}
				})
			})
		}
	}
}

// checkChangeAround applies f, makes a change at the given moment, counted from the fault,
// and checks that it reaches unharmed hosts within the bound of s. Then it ends the fault.
func (c *cluster) checkChangeAround(t *testing.T, s site, f fault, value string, moment time.Duration) {
	t.Helper()
	var b time.Time
	change := func() {
		b = time.Now()
		c.service.put("config", value)
	}
	if moment < 0 {
		change()
		advance(-moment)
		f.apply(c)
	} else {
		f.apply(c)
		advance(moment)
		change()
	}
	time.Sleep(time.Until(b.Add(s.bound)))
	advance(0)
	n, w := 0, time.Duration(0)
	for _, h := range c.hosts {
		v, at := h.get("config")
		if h.harmed {
			continue
		}
		d := at.Sub(b)
		if v == value {
			w = max(w, d)
		}
		if v != value || d > s.bound-processingTime {
			n++
		}
	}
	if n > 0 {
		t.Errorf("a change %v after the fault: %d hosts do not know it within %v; the last one of those that know it at %v: %v", moment, n, s.bound-processingTime, s.bound, w)
	}
	c.heal()
}

// storeReads returns the number of calls to the service of the hosts for which in returns
// true.
func (c *cluster) storeReads(in func(*host) bool) int64 {
	var n int64
	for _, h := range c.hosts {
		if in(h) {
			n += h.feed.StoreCalls.Count()
		}
	}
	return n
}

// TestReadsWithinBound guards against hosts that keep their bound by calls to the service
// that grow with the number of hosts, while all is well or in an outage.
func TestReadsWithinBound(t *testing.T) {
	const seconds = 10
	isReader := func(h *host) bool { return !h.feed.Selector.FollowsStore() }
	for _, s := range sites {
		count := func(name string, in func(*host) bool, limit int64, harm func(c *cluster)) {
			run(t, s.String()+", "+name, func(t *testing.T) {
				c := startSite(t, s)
				harm(c)
				advance(5 * time.Second)
				b := c.storeReads(in)
				advance(seconds * time.Second)
				n := (c.storeReads(in) - b) / seconds
				t.Logf("%d calls a second", n)
				is.New(t).True(n <= limit)
			})
		}
		f := int64(min(2*s.zones, s.hosts))
		count("all is well: readers", isReader, 0, func(*cluster) {})
		count("all is well: all hosts", everyHost, 4*f, func(*cluster) {})
		count("the service is silent", everyHost, 2*f+int64(s.hosts)/2, func(c *cluster) {
			for _, h := range c.hosts {
				h.store.silent.Store(true)
			}
		})
		count("all followers are dead", isReader, int64(s.hosts), func(c *cluster) { harmFollowers(c, all, kill) })
	}
}

// heal ends all faults and waits until every host reads as before.
func (c *cluster) heal() {
	for _, h := range c.hosts {
		h.harmed = false
		h.dead.Store(false)
		h.store.silent.Store(false)
		h.store.cut.Store(false)
		h.delay.Store(0)
		h.lossy.Store(false)
	}
	advance(8 * time.Second)
}

// waitWhilePaused waits until the host is not frozen, or ctx is done.
func (h *host) waitWhilePaused(ctx context.Context) {
	p := h.paused.Load()
	if p == nil {
		return
	}
	select {
	case <-*p:
	case <-ctx.Done():
	}
}

// serve handles r as a host does that may be frozen or slow.
func (h *host) serve(w http.ResponseWriter, r *http.Request) {
	h.waitWhilePaused(r.Context())
	h.handler.ServeHTTP(w, r)
	time.Sleep(time.Duration(h.delay.Load()))
	h.waitWhilePaused(r.Context())
	if h.lossy.Load() && h.answers.Add(1)%2 == 0 {
		<-r.Context().Done()
	}
}

// pausedFeed delays the reads of a host that is frozen.
type pausedFeed struct {
	sardineknot.ChangeFeed
	host *host
}

// Next implements sardineknot.ChangeFeed.
func (f pausedFeed) Next(ctx context.Context, revision sardineknot.StoreRevision, timeout time.Duration) ([]sardineknot.StoreEntry, sardineknot.StoreRevision, error) {
	f.host.waitWhilePaused(ctx)
	l, n, err := f.ChangeFeed.Next(ctx, revision, timeout)
	f.host.waitWhilePaused(context.Background())
	return l, n, err
}
