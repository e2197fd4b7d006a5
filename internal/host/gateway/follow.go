package gateway

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/membership/followers"
	"sardineknot.example/sardineknot/internal/platform/changelog"
	"sardineknot.example/sardineknot/internal/platform/mirror"
	feed "sardineknot.example/sardineknot/internal/platform/twirp"
)

const (
	// pollDelay is the base delay between two calls of a follower that returned
	// changes of the store. pollDelayPerHost is added for each entry host, and
	// maxPollDelay limits the sum, so that changes take effect in time.
	pollDelay        = 250 * time.Millisecond
	pollDelayPerHost = 8 * time.Millisecond
	maxPollDelay     = 750 * time.Millisecond
	// joinTime is the time after the start in which a host that considers itself
	// a follower polls seldom: it does not know yet which hosts are there.
	joinTime = 2 * time.Second
	// peerPollDelay is the delay between two calls to a follower. It gathers
	// changes that followers learn of one after the other.
	peerPollDelay = 100 * time.Millisecond
)

// addFeed creates the components that follow the key-value service.
func (p *Process) addFeed() {
	p.entries = changelog.NewLog()
	p.followers = followers.NewSelector(p.registry)
	p.mirror = &mirror.Mirror{Clock: p.clock, Sleep: p.clock.Sleep, PollDelay: p.pollDelay, Log: p.Log, Restores: metrics.GetOrRegisterCounter("store.restores", p.Metrics)}
	p.feed = &feed.Feed{
		Store: p.Feed, Entries: p.entries, Selector: p.followers, Reachability: p.mirror.Reachability, Clock: p.clock, Client: p.peers.Client(), Log: p.Log,
		StoreCalls: metrics.GetOrRegisterCounter("store.reads", p.Metrics),
		PeerCalls:  metrics.GetOrRegisterCounter("store.peer_reads", p.Metrics),
	}
	p.mirror.Feed = p.feed
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
	return min(maxPollDelay, pollDelay+time.Duration(len(p.registry.Hosts()))*pollDelayPerHost)
}

// applyEntry applies a changed entry of the store, and records it for other
// hosts unless it tells nothing new. The first entries of an era are all
// recorded.
func (p *Process) applyEntry(entry sardineknot.StoreEntry) {
	entry = p.EntryDecoder.Redact(entry)
	h := p.registry.Apply(entry)
	s := p.source.Apply(entry)
	q := p.keeper.Apply(entry)
	v := p.versions.Apply(entry)
	if h || s || q || v || p.entries.Precedes(entry.Revision.Era) {
		p.entries.Record(entry)
	}
}

// commitEntries puts the entries in force that were applied. They are complete
// up to revision. The first entries of an era, which begins when the service comes back
// from an older copy, may be older than what other hosts have: those are asked.
func (p *Process) commitEntries(revision sardineknot.StoreRevision) {
	p.registry.Refresh()
	if revision.Era > p.committedEra {
		p.committedEra = revision.Era
		p.exchange.Fetch(context.Background())
	}
	p.source.Commit()
	p.versions.Commit(revision)
	p.entries.Commit(revision)
}
