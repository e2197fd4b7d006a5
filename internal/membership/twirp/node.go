// Package twirp keeps a view of the live entry hosts up to date by heartbeats
// between them.
//
// Every interval a host exchanges changes with two of its fingers (see
// gossip.View). One that does not answer is asked for through others, and is
// suspect if they do not reach it either. The platform's host list is read
// only to find the first peers and those on the other side of a partition that
// has ended, and only by the host that ranks first in its availability zone.
//
// A host that was paused for longer than it takes the others to declare it
// dead is isolated until it has asked them. So is a host that reaches neither
// most of the others nor the platform's key-value service.
package twirp

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/membership/gossip"
	api "sardineknot.example/sardineknot/internal/rpc/membership"
)

const (
	// fanout is the number of heartbeats in an interval.
	fanout = 2
	// maxChanges bounds the records in a message.
	maxChanges = 12
	// minProbe bounds a heartbeat from below.
	minProbe = 500 * time.Millisecond
)

// Node is a sardineknot.Membership and serves the heartbeats of others. It is
// safe for concurrent use. The exported fields are set before Run.
type Node struct {
	// Client makes calls to peers.
	Client *http.Client
	// Listed is the platform's host list.
	Listed sardineknot.HostList
	// CheckStore reports whether the key-value service answers.
	CheckStore func(context.Context) error
	// Revision returns the configuration revision in force on this host.
	Revision func() sardineknot.Revision
	// Learned is called, without a lock, with the revision that a peer has.
	Learned func(peer sardineknot.EntryHost, r sardineknot.Revision)
	// Log takes one event for each change of a host's state.
	Log zerolog.Logger

	clock    sardineknot.Clock
	interval time.Duration
	metrics  counters

	mu   sync.Mutex
	view *gossip.View
	// hosts is what Hosts returns. It is replaced at every change.
	hosts []sardineknot.EntryHost
	// changed is closed and replaced when hosts or the backend servers change.
	changed chan struct{}
	// version and held are those of the view that hosts was made from.
	version uint64
	held    int
	// ticked is the time of the last tick.
	ticked time.Time
	// unconfirmed is set by a long pause, until others have been asked.
	unconfirmed bool
	// storeLost reports that the last check of the store failed. It is only
	// checked while most hosts are lost.
	storeLost bool
	// turn counts heartbeats, to take the fingers in turn.
	turn int
	// ticks counts the intervals.
	ticks int
	// mismatches counts the digests in a row that differed.
	mismatches int
	// pulling reports that a full exchange runs. pulled is the time of the
	// last one.
	pulling bool
	pulled  time.Time
	// listed holds what is remembered of the host list.
	listed listed
}

type counters struct {
	exchanges, probes, pulls, deaths metrics.Counter
}

var (
	_ sardineknot.Membership = (*Node)(nil)
	_ api.Membership         = (*Node)(nil)
)

// NewNode returns a node that knows self only. It exchanges heartbeats every
// interval.
func NewNode(self sardineknot.EntryHost, c sardineknot.Clock, interval time.Duration, r metrics.Registry) *Node {
	n := &Node{
		clock:    c,
		interval: interval,
		changed:  make(chan struct{}),
		ticked:   c.Now(),
		metrics: counters{
			exchanges: metrics.GetOrRegisterCounter("membership.exchanges", r),
			probes:    metrics.GetOrRegisterCounter("membership.indirect_probes", r),
			pulls:     metrics.GetOrRegisterCounter("membership.full_exchanges", r),
			deaths:    metrics.GetOrRegisterCounter("membership.deaths", r),
		},
	}
	n.view = gossip.NewView(c.Now(), member(self), interval)
	n.refreshLocked(c.Now())
	return n
}

// Self implements sardineknot.Membership. The incarnation changes if other
// hosts had declared this one dead.
func (n *Node) Self() sardineknot.EntryHost {
	n.mu.Lock()
	defer n.mu.Unlock()
	return entryHost(n.view.Self())
}

// Hosts implements sardineknot.Membership.
func (n *Node) Hosts() []sardineknot.EntryHost {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.hosts
}

// Changed implements sardineknot.Membership.
func (n *Node) Changed() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.changed
}

// Isolated implements sardineknot.Membership. It sees a pause at once, before
// the next heartbeat.
func (n *Node) Isolated() bool {
	t := n.clock.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.pausedLocked(t) || n.unconfirmed || n.storeLost && n.view.LostMost()
}

// Fingers returns the peers that this host passes news on to.
func (n *Node) Fingers() []sardineknot.EntryHost {
	n.mu.Lock()
	defer n.mu.Unlock()
	var l []sardineknot.EntryHost
	for _, m := range n.view.Fingers() {
		l = append(l, entryHost(m))
	}
	return l
}

// LeavingBackends returns the backend servers that the host list calls
// leaving.
func (n *Node) LeavingBackends() map[sardineknot.BackendServerName]bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view.LeavingBackends()
}

// Leave tells the other hosts that this one is leaving.
func (n *Node) Leave(ctx context.Context) {
	t := n.clock.Now()
	n.mu.Lock()
	n.view.Leave(t)
	n.refreshLocked(t)
	l := n.view.Fingers()
	n.mu.Unlock()
	n.exchangeAll(ctx, l)
}

// pausedLocked reports whether this host has stood still for so long that
// others may have declared it dead.
func (n *Node) pausedLocked(now time.Time) bool {
	return now.Sub(n.ticked) >= n.view.Suspicion()
}

// refreshLocked makes Hosts and Changed follow the view.
func (n *Node) refreshLocked(now time.Time) {
	d := n.view.Held(now)
	if n.hosts != nil && n.version == n.view.Version() && n.held == d {
		return
	}
	l := n.view.Hosts(now)
	n.logLocked(l)
	n.hosts, n.version, n.held = l, n.view.Version(), d
	close(n.changed)
	n.changed = make(chan struct{})
}

// logLocked logs how l differs from the hosts so far.
func (n *Node) logLocked(l []sardineknot.EntryHost) {
	m := make(map[sardineknot.EntryHostID]sardineknot.EntryHost, len(n.hosts))
	for _, h := range n.hosts {
		m[h.ID] = h
	}
	for _, h := range l {
		o, ok := m[h.ID]
		if ok && o.State == h.State && o.Incarnation == h.Incarnation {
			continue
		}
		n.Log.Info().Stringer("event", sardineknot.LogHostState).Str("peer", string(h.ID)).Str("state", h.State.String()).Uint64("incarnation", uint64(h.Incarnation)).Send()
	}
}
