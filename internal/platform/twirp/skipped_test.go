package twirp_test

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"sardineknot.example/sardineknot"
	rpc "sardineknot.example/sardineknot/internal/rpc/changes"
)

// forgetful is the service of a follower that leaves the configuration out of its answers.
type forgetful struct {
	rpc.Changes

	forgets *atomic.Bool
}

// Next implements rpc.Changes.
func (f forgetful) Next(ctx context.Context, request *rpc.NextRequest) (*rpc.NextResponse, error) {
	a, err := f.Changes.Next(ctx, request)
	if err == nil && f.forgets.Load() {
		a.Entries = slices.DeleteFunc(a.Entries, func(e *rpc.Entry) bool { return e.GetKey() == "config" })
		a.Packed, a.Missing = nil, nil
	}
	return a, err
}

// forgetfulFeed is the access to the service of a host that loses the configuration from what
// it reads.
type forgetfulFeed struct {
	sardineknot.ChangeFeed

	forgets *atomic.Bool
}

// Next implements sardineknot.ChangeFeed.
func (f forgetfulFeed) Next(ctx context.Context, revision sardineknot.StoreRevision, timeout time.Duration) ([]sardineknot.StoreEntry, sardineknot.StoreRevision, error) {
	l, n, err := f.ChangeFeed.Next(ctx, revision, timeout)
	if f.forgets.Load() {
		l = slices.DeleteFunc(l, func(e sardineknot.StoreEntry) bool { return e.Key == "config" })
	}
	return l, n, err
}

// before is the service of a follower of the build before, which compares nothing.
type before struct {
	rpc.Changes
}

// Next implements rpc.Changes.
func (b before) Next(ctx context.Context, request *rpc.NextRequest) (*rpc.NextResponse, error) {
	request.CompareOnly = false
	a, err := b.Changes.Next(ctx, request)
	if err == nil {
		a.Missing = nil
	}
	return a, err
}

// forgetfulCluster is a cluster of twelve hosts in two zones, of which some lose the
// configuration.
type forgetfulCluster struct {
	*cluster

	// stores makes hosts lose it from what they read from the service, and services from what
	// they send to others.
	stores, services map[*host]*atomic.Bool
}

// startForgetful starts a cluster of which no host loses anything yet. The followers for
// which isBefore returns true, by their position, are of the build before.
func startForgetful(t *testing.T, isBefore func(i int, h *host) bool) forgetfulCluster {
	c := forgetfulCluster{stores: make(map[*host]*atomic.Bool), services: make(map[*host]*atomic.Bool)}
	n := 0
	c.cluster = startSiteWith(t, site{hosts: 12, zones: 2, bound: siteBound, reportInterval: time.Minute}, func(h *host, _ int) {
		c.stores[h], c.services[h] = &atomic.Bool{}, &atomic.Bool{}
		h.feed.Store = forgetfulFeed{h.feed.Store, c.stores[h]}
		h.useService(func(s rpc.Changes) rpc.Changes { return forgetful{s, c.services[h]} })
		if h.feed.Selector.FollowsStore() {
			if isBefore(n, h) {
				h.useService(func(s rpc.Changes) rpc.Changes { return before{s} })
			}
			n++
		}
	})
	return c
}

// lose writes the configuration text while the hosts in flags lose it, and checks that the
// hosts for which in returns true do not have it then.
func (c forgetfulCluster) lose(t *testing.T, text string, flags []*atomic.Bool, in func(*host) bool) {
	t.Helper()
	for _, b := range flags {
		b.Store(true)
	}
	c.service.put("config", text)
	advance(2 * time.Second)
	c.checkConfiguration(t, text, false, in)
	for _, b := range flags {
		b.Store(false)
	}
}

// skipped returns the number of large values that the hosts for which in returns true have
// skipped.
func (c *cluster) skipped(in func(*host) bool) int {
	n := 0
	for _, h := range c.hosts {
		if in(h) {
			n += int(h.feed.SkippedValues.Count())
		}
	}
	return n
}

// checkConfiguration checks that the hosts for which in returns true have the configuration
// want, or that they do not if has is false.
func (c *cluster) checkConfiguration(t *testing.T, want string, has bool, in func(*host) bool) {
	t.Helper()
	for _, h := range c.hosts {
		v, _ := h.get("config")
		if in(h) && (v == want) != has {
			t.Errorf("%s has the configuration: %v, want %v", h.entry.ID, !has, has)
		}
	}
}

func none(int, *host) bool { return false }

// TestSkippedValue guards against a host that does without a large value until it changes
// again, after a fault that made it skip the value, and against a fault that shows nowhere.
func TestSkippedValue(t *testing.T) {
	text := randomText(40<<10, 7)
	isReader := func(h *host) bool { return !h.feed.Selector.FollowsStore() }
	run(t, "readers whose followers have left it out", func(t *testing.T) {
		is := is.New(t)
		c := startForgetful(t, none)
		var l []*atomic.Bool
		for _, h := range c.followers() {
			l = append(l, c.services[h])
		}
		c.lose(t, text, l, isReader)
		advance(2 * time.Second)
		c.checkConfiguration(t, text, true, everyHost)
		is.Equal(c.skipped(everyHost), len(c.readers()))
	})
}

// TestValueSkippedByFollower guards against the same at a host that reads from the service,
// which does not compare what it sends.
func TestValueSkippedByFollower(t *testing.T) {
	text := randomText(40<<10, 7)
	run(t, "a follower that has lost it, and its readers", func(t *testing.T) {
		is := is.New(t)
		c := startForgetful(t, none)
		f := c.followers()[0]
		c.lose(t, text, []*atomic.Bool{c.stores[f]}, func(h *host) bool { return h == f })
		advance(6 * time.Second)
		c.checkConfiguration(t, text, true, everyHost)
		is.True(c.skipped(everyHost) >= 1)
	})
	run(t, "other followers are of the build before, but for one", func(t *testing.T) {
		c := startForgetful(t, func(i int, _ *host) bool { return i == 1 || i == 2 })
		f := c.followers()[0]
		c.lose(t, text, []*atomic.Bool{c.stores[f]}, func(h *host) bool { return h == f })
		advance(16 * time.Second) // each of the others is compared in turn
		c.checkConfiguration(t, text, true, everyHost)
	})
	run(t, "all followers of a zone have lost it", func(t *testing.T) {
		c := startForgetful(t, none)
		var l []*atomic.Bool
		for _, h := range c.followers() {
			if h.entry.Zone == "zone-0" {
				l = append(l, c.stores[h])
			}
		}
		c.lose(t, text, l, func(h *host) bool { return h.entry.Zone == "zone-0" })
		advance(16 * time.Second) // the other follower of the zone is compared first
		c.checkConfiguration(t, text, true, everyHost)
	})
}

// TestNothingSkipped guards against hosts that read a large value twice, and report a fault,
// although nothing is missing.
func TestNothingSkipped(t *testing.T) {
	text := randomText(40<<10, 7)
	run(t, "nothing was skipped", func(t *testing.T) {
		is := is.New(t)
		c := start(t, 12, 2)
		for i := range 20 {
			c.service.put("config", randomText(40<<10, uint64(i)))
			advance(time.Duration(i*37) * time.Millisecond)
		}
		c.service.put("config", text)
		advance(10 * time.Second)
		is.Equal(c.skipped(everyHost), 0)
	})
	run(t, "the same value is written again", func(t *testing.T) {
		is := is.New(t)
		c := start(t, 12, 2)
		for range 5 {
			c.service.put("config", text)
			advance(5 * time.Second)
		}
		is.Equal(c.skipped(everyHost), 0)
	})
}

// TestComparison guards against comparisons that cost more than a short message.
func TestComparison(t *testing.T) {
	run(t, "a comparison has no changes", func(t *testing.T) {
		is := is.New(t)
		c := start(t, 8, 1)
		c.service.put("config", randomText(40<<10, 1))
		advance(2 * time.Second)
		p := rpc.NewChangesProtobufClient("http://x", handlerClient{c.followers()[0].handler})
		a, err := p.Next(t.Context(), &rpc.NextRequest{Revision: 1, AcceptsPatches: true, CompareOnly: true})
		is.NoErr(err)
		is.Equal(len(a.GetEntries()), 0)
		a, err = p.Next(t.Context(), &rpc.NextRequest{Revision: c.service.lastRevision().Number, AcceptsPatches: true, CompareOnly: true})
		is.NoErr(err)
		is.Equal(len(a.GetMissing()), 1)
	})
	run(t, "a reader of an earlier build gets none", func(t *testing.T) {
		is := is.New(t)
		c := start(t, 8, 1)
		c.service.put("config", randomText(40<<10, 1))
		advance(2 * time.Second)
		p := rpc.NewChangesProtobufClient("http://x", handlerClient{c.followers()[0].handler})
		a, err := p.Next(t.Context(), &rpc.NextRequest{Revision: c.service.lastRevision().Number})
		is.NoErr(err)
		is.Equal(len(a.GetMissing()), 0)
	})
}
