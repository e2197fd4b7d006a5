package gateway

import (
	"context"
	"math"
	"time"

	"github.com/rcrowley/go-metrics"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/membership/followers"
	"sardineknot.example/sardineknot/internal/membership/rendezvous"
	membership "sardineknot.example/sardineknot/internal/membership/store"
	"sardineknot.example/sardineknot/internal/platform/changelog"
	"sardineknot.example/sardineknot/internal/platform/mirror"
	feed "sardineknot.example/sardineknot/internal/platform/twirp"
)

const (
	// pollDelay is the base delay between two calls of a follower that returned
	// changes of the store. pollDelayPerHost is added for each entry host.
	// maxPollDelay limits the sum, and so does the bound of configurations.
	pollDelay        = 250 * time.Millisecond
	pollDelayPerHost = 8 * time.Millisecond
	maxPollDelay     = 750 * time.Millisecond
	// joinTime is the time after the start in which a host that considers itself
	// a follower polls seldom: it does not know yet which hosts are there.
	joinTime = 2 * time.Second
	// peerPollDelay is the delay between two calls to a follower. It gathers
	// changes that followers learn of one after the other.
	peerPollDelay = 100 * time.Millisecond
	// registrationWait is the time that a host without a key in the store waits when it
	// starts, before it reads the keys of hosts again and selects the followers. After
	// all hosts were killed and their keys have expired, they write their keys again
	// meanwhile. maxRegistrationWaits bounds how often it waits, for a host that cannot
	// write its key.
	registrationWait     = 300 * time.Millisecond
	maxRegistrationWaits = 5
	// firstStoreWait is the time after the start in which a host that is not a follower
	// queries only followers. Then hosts read all keys themselves, spread over
	// firstStoreSpread for each known host.
	firstStoreWait   = 3 * time.Second
	firstStoreSpread = 10 * time.Millisecond
)

// startShard and the name of a host determine when the host reads all keys itself if no
// follower answers.
const startShard = "start"

// addFeed creates the components that follow the key-value service.
func (p *Process) addFeed() {
	p.entries = changelog.NewLog()
	p.followers = followers.NewSelector(p.registry)
	p.mirror = &mirror.Mirror{Clock: p.clock, Sleep: p.clock.Sleep, PollDelay: p.pollDelay, Log: p.Log, Restores: metrics.GetOrRegisterCounter("store.restores", p.Metrics)}
	p.feed = &feed.Feed{
		Store: p.Feed, Entries: p.entries, Selector: p.followers, Bound: p.readBound, Reachability: p.mirror.Reachability, Clock: p.clock.SinceBootClock(), Client: p.peers.Client(), Log: p.Log,
		ReadEntry: p.Store.Get, Sleep: p.clock.Sleep,
		StoreCalls:    metrics.GetOrRegisterCounter("store.reads", p.Metrics),
		PeerCalls:     metrics.GetOrRegisterCounter("store.peer_reads", p.Metrics),
		StoreFailures: metrics.GetOrRegisterCounter("store.failed_reads", p.Metrics),
		PeerFailures:  metrics.GetOrRegisterCounter("store.failed_peer_reads", p.Metrics),

		PeerBytes:      metrics.GetOrRegisterCounter("store.peer_bytes", p.Metrics),
		DiscardedBytes: metrics.GetOrRegisterCounter("store.discarded_peer_bytes", p.Metrics),
		ServedBytes:    metrics.GetOrRegisterCounter("store.served_bytes", p.Metrics),
		SkippedValues:  metrics.GetOrRegisterCounter("store.skipped_values", p.Metrics),
		Comparisons:    metrics.GetOrRegisterCounter("store.comparisons", p.Metrics),

		FailedComparisons: metrics.GetOrRegisterCounter("store.failed_comparisons", p.Metrics),
	}
	p.mirror.Feed, p.feed.Refresh = p.feed, p.mirror.Refresh
	p.mirror.List, p.mirror.Prefix, p.mirror.OnList = p.listHosts, membership.KeyPrefix, p.beginWithHosts
	u := float64(rendezvous.Weight(startShard, p.Settings.ID)) / math.MaxUint64
	p.feed.FirstStoreWait = func() time.Duration {
		return firstStoreWait + time.Duration(u*float64(len(p.registry.Hosts()))*float64(firstStoreSpread))
	}
}

// listHosts reads the entries with the given prefix from the store.
func (p *Process) listHosts(ctx context.Context, prefix string) ([]sardineknot.StoreEntry, error) {
	p.feed.StoreCalls.Inc(1)
	return p.Store.List(ctx, prefix)
}

// beginWithHosts puts the entry hosts in force whose keys were read. It returns how
// long to wait before the keys are read again: hosts that start together must have seen
// each other, or each would read all keys of the store. calls is the number of earlier
// calls.
func (p *Process) beginWithHosts(calls int) time.Duration {
	p.registry.Refresh()
	if calls < maxRegistrationWaits && !p.registry.HasKey() || calls == 0 && p.mostLeave() {
		return registrationWait
	}
	return 0
}

// mostLeave reports whether most of the other hosts are leaving, by their keys. After a
// planned restart of all hosts, these may be keys of processes that have ended.
func (p *Process) mostLeave() bool {
	l := p.registry.Hosts()
	n := 0
	for _, h := range l {
		if h.State != sardineknot.EntryHostAlive {
			n++
		}
	}
	return 2*n >= len(l) && n > 0
}

// pollDelay returns the delay between two calls that return changes of the
// store.
func (p *Process) pollDelay() time.Duration {
	if !p.followers.FollowsStore() {
		return peerPollDelay
	}
	if p.clock.Now().Sub(p.startedAt) < joinTime {
		return maxPollDelay
	}
	d := pollDelay + time.Duration(len(p.registry.Hosts()))*pollDelayPerHost
	return min(d, maxPollDelay, p.feed.MaxPollDelay())
}

// applyEntry applies a changed entry of the store, and records it for other hosts unless it
// contains nothing new. The first entries of an era are all recorded, as this host acts on
// them: other hosts do not get all reports of a server, so that an old one is not recognized
// there, and the next one may contain nothing new for this host.
func (p *Process) applyEntry(entry sardineknot.StoreEntry) {
	entry = p.EntryDecoder.Redact(entry)
	h := p.registry.Apply(entry)
	s := p.source.Apply(entry)
	q := p.keeper.Apply(entry)
	v := p.versions.Apply(entry)
	if h || s || q || v {
		p.entries.Record(entry)
		return
	}
	if !p.entries.Precedes(entry.Revision.Era) {
		return
	}
	e, ok := p.source.InForce(entry)
	if ok {
		p.entries.Record(e)
	}
}

// commitEntries puts the entries in force that were applied. They are complete
// up to revision. The first entries after a start, from a follower that is behind, and
// those of an era, which begins when the service returns from an older copy, may be older
// than what other hosts have: those are queried.
func (p *Process) commitEntries(revision sardineknot.StoreRevision) {
	p.registry.Refresh()
	n := revision.Era > p.committedEra
	if n {
		p.committedEra = revision.Era
		p.orders.BeginEra(revision.Era)
	}
	if n || !p.committed {
		p.committed = true
		p.exchange.Fetch(context.Background())
	}
	p.source.Commit()
	p.versions.Commit(revision)
	p.feed.Commit(revision)
}
