// Package twirp maintains the view of the live entry hosts by exchanging
// heartbeats between them.
//
// In every interval a host exchanges changes with two of its fingers, the peers
// that gossip.View selects for it. If a finger does not answer, the host asks
// other hosts to probe that finger, and marks the finger suspect if none of
// them reaches it. The platform's host list is read only to find initial peers,
// hosts on the other side of a partition that has ended, and leaving backend
// servers. In each availability zone only one host reads the list, the first by
// rendezvous hashing.
//
// A host that was paused for long enough for the others to declare it dead is
// isolated until it has contacted them. A host that reaches neither most of the
// others nor the platform's key-value service is isolated too.
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
	// fanout is the number of heartbeats that a host sends per interval.
	fanout = 2
	// maxRecords is the maximum number of changed records in a message.
	maxRecords = 12
	// minProbeTimeout is the lower bound of the heartbeat timeout.
	minProbeTimeout = 500 * time.Millisecond
)

// Node implements sardineknot.Membership and serves the heartbeats of peers. It
// is safe for concurrent use. The exported fields must be set before Run is
// called.
type Node struct {
	// Client makes calls to peers.
	Client *http.Client
	// PlatformHosts reads the platform's host list.
	PlatformHosts sardineknot.HostList
	// CheckStore returns an error if the key-value service does not answer.
	CheckStore func(context.Context) error
	// Revision returns the configuration revision in force on this host.
	Revision func() sardineknot.Revision
	// RevisionReported is called, without holding a lock, when a peer reports a
	// configuration revision greater than the one in force on this host. It may
	// be nil.
	RevisionReported func(peer sardineknot.EntryHost, r sardineknot.Revision)
	// Log receives one event for each change of a host's state or incarnation,
	// and events about pauses of this host and losses of the key-value service.
	Log zerolog.Logger

	clock    sardineknot.Clock
	interval time.Duration
	metrics  counters

	mu   sync.Mutex
	view *gossip.View
	// hosts is the result of Hosts. It is replaced on every change, never
	// modified.
	hosts []sardineknot.EntryHost
	// changed is closed and replaced when hosts or the states of backend
	// servers change.
	changed chan struct{}
	// viewVersion is the version of the view from which hosts was computed, and
	// flappingHosts is the number of flapping hosts at that time.
	viewVersion   uint64
	flappingHosts int
	// lastTick is the time of the last heartbeat tick. A long gap reveals a
	// pause.
	lastTick time.Time
	// unconfirmed is set after a long pause until other hosts have been
	// contacted.
	unconfirmed bool
	// storeUnreachable reports whether the last check of the key-value service
	// failed. The service is checked only while most hosts are lost.
	storeUnreachable bool
	// fingerIndex is incremented on each heartbeat and selects fingers
	// round-robin. It also rotates the choice of listed hosts and indirect
	// probers.
	fingerIndex int
	// ticks counts the heartbeat intervals.
	ticks int
	// mismatches counts the consecutive answers of peers whose digest differed
	// from that of this host.
	mismatches int
	// fullExchangeRunning reports whether a full exchange is in progress.
	// lastFullExchange is the start time of the last one.
	fullExchangeRunning bool
	lastFullExchange    time.Time
	// hostList is the state kept between reads of the host list.
	hostList hostListState
}

type counters struct {
	exchanges, probes, fullExchanges, deaths metrics.Counter
}

var (
	_ sardineknot.Membership = (*Node)(nil)
	_ api.Membership         = (*Node)(nil)
)

// NewNode returns a node whose view contains only self. The node exchanges
// heartbeats every interval and registers its metrics in r.
func NewNode(self sardineknot.EntryHost, c sardineknot.Clock, interval time.Duration, r metrics.Registry) *Node {
	n := &Node{
		clock:    c,
		interval: interval,
		changed:  make(chan struct{}),
		lastTick: c.Now(),
		metrics: counters{
			exchanges:     metrics.GetOrRegisterCounter("membership.exchanges", r),
			probes:        metrics.GetOrRegisterCounter("membership.indirect_probes", r),
			fullExchanges: metrics.GetOrRegisterCounter("membership.full_exchanges", r),
			deaths:        metrics.GetOrRegisterCounter("membership.deaths", r),
		},
	}
	n.view = gossip.NewView(c.Now(), member(self), interval)
	n.refreshLocked(c.Now())
	return n
}

// Self implements sardineknot.Membership. The incarnation increases when this
// host learns that others have declared it dead.
func (n *Node) Self() sardineknot.EntryHost {
	n.mu.Lock()
	defer n.mu.Unlock()
	return gossip.EntryHost(n.view.Self())
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

// Isolated implements sardineknot.Membership. It detects a pause from the
// clock, without waiting for the next heartbeat tick.
func (n *Node) Isolated() bool {
	t := n.clock.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.pausedLocked(t) || n.unconfirmed || n.storeUnreachable && n.view.MostHostsLost()
}

// Fingers returns the fingers of this host, which are the peers to which it
// forwards changes (see package gossip).
func (n *Node) Fingers() []sardineknot.EntryHost {
	n.mu.Lock()
	defer n.mu.Unlock()
	var l []sardineknot.EntryHost
	for _, m := range n.view.Fingers() {
		l = append(l, gossip.EntryHost(m))
	}
	return l
}

// LeavingBackends returns the backend servers that are leaving according to the
// host list.
func (n *Node) LeavingBackends() map[sardineknot.BackendServerName]bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view.LeavingBackends()
}

// Leave puts this host into the leaving state and sends the change to all its
// fingers.
func (n *Node) Leave(ctx context.Context) {
	t := n.clock.Now()
	n.mu.Lock()
	n.view.Leave(t)
	n.refreshLocked(t)
	l := n.view.Fingers()
	n.mu.Unlock()
	n.exchangeAll(ctx, l)
}

// pausedLocked reports whether this host has been paused for so long that
// others may have declared it dead.
func (n *Node) pausedLocked(now time.Time) bool {
	return now.Sub(n.lastTick) >= n.view.SuspicionTimeout()
}

// refreshLocked updates hosts from the view and, if they changed, notifies the
// listeners of Changed.
func (n *Node) refreshLocked(now time.Time) {
	d := n.view.FlappingHosts(now)
	if n.hosts != nil && n.viewVersion == n.view.Version() && n.flappingHosts == d {
		return
	}
	l := n.view.Hosts(now)
	n.logChangesLocked(l)
	n.hosts, n.viewVersion, n.flappingHosts = l, n.view.Version(), d
	close(n.changed)
	n.changed = make(chan struct{})
}

// logChangesLocked logs each host in current that n.hosts does not contain, or
// contains with another state or incarnation.
func (n *Node) logChangesLocked(current []sardineknot.EntryHost) {
	m := make(map[sardineknot.EntryHostID]sardineknot.EntryHost, len(n.hosts))
	for _, h := range n.hosts {
		m[h.ID] = h
	}
	for _, h := range current {
		o, ok := m[h.ID]
		if ok && o.State == h.State && o.Incarnation == h.Incarnation {
			continue
		}
		n.Log.Info().Stringer("event", sardineknot.LogHostState).Str("peer", string(h.ID)).Str("state", h.State.String()).Uint64("incarnation", uint64(h.Incarnation)).Send()
	}
}
