package twirp

import (
	"context"
	"time"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/membership/rendezvous"
)

const (
	// readIntervals is the number of heartbeat intervals between two reads of
	// the host list.
	readIntervals = 2
	// minLiveReads is the number of consecutive reads that must list a backend
	// server as live before its leaving state is cleared. It applies to a
	// reader whose previous read did not list the server as leaving.
	minLiveReads = 30
)

// maxJoinReads is the number of reads after which a host that has reached no
// peer continues alone.
const maxJoinReads = 5

// hostListState is the state kept between reads of the host list.
type hostListState struct {
	// joined is set once a peer has answered, no unknown host is listed, or
	// maxJoinReads reads have passed.
	joined bool
	// reads counts the attempted reads.
	reads int
	// lastLeaving holds the backend servers that were leaving in the last
	// successful read.
	lastLeaving map[sardineknot.BackendServerName]bool
	// liveReads counts, for backend servers that are leaving according to
	// the view, the consecutive reads that listed them as live.
	liveReads map[sardineknot.BackendServerName]int
}

// runHostListReader reads the host list periodically while this host is the
// reader of its zone.
func (n *Node) runHostListReader(ctx context.Context) error {
	t := time.NewTicker(readIntervals * n.interval)
	defer t.Stop()
	for {
		if n.IsReader(n.Self().Zone) {
			n.recordRead(n.readHostList(ctx))
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// IsReader reports whether this host ranks first among the live hosts of zone z
// and therefore reads from the platform for that zone. It also returns true if
// this host knows no other live host in z.
func (n *Node) IsReader(z sardineknot.AvailabilityZone) bool {
	s := n.Self()
	w := rendezvous.Weight(readerShard, s.ID)
	for _, h := range n.Hosts() {
		if h.Zone == z && h.State == sardineknot.EntryHostAlive && h.ID != s.ID && rendezvous.Weight(readerShard, h.ID) > w {
			return false
		}
	}
	return true
}

// readerShard is the shard name by which hosts are ranked to select the reader
// of each zone.
const readerShard = "platform-reader"

// Joined reports whether this host has reached a peer since it started, or has
// established that there is none to reach.
func (n *Node) Joined() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.hostList.joined
}

// recordRead counts a read of the host list and updates joined. reached is
// what readHostList returned for that read.
func (n *Node) recordRead(reached bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hostList.reads++
	if reached || n.hostList.reads >= maxJoinReads {
		n.hostList.joined = true
	}
}

// readHostList reads the host list and exchanges heartbeats with some of the
// listed entry hosts that are not known to be live. It reports whether one of
// them answered or none was unknown. It returns false if the list cannot be
// read.
func (n *Node) readHostList(ctx context.Context) bool {
	l, err := n.PlatformHosts.Fetch(ctx)
	if err != nil {
		return false
	}
	t := n.clock.Now()
	n.mu.Lock()
	n.recordBackendStatesLocked(t, l)
	n.refreshLocked(t)
	u := n.unknownAddressesLocked(l)
	n.mu.Unlock()
	r := len(u) == 0
	for _, a := range u {
		_, err = n.exchange(ctx, a)
		r = r || err == nil
	}
	return r
}

// recordBackendStatesLocked records the states of the backend servers in l. The
// list lags, and its readers may see different versions of it. The leaving
// state of a server is therefore cleared only if the previous read of this host
// listed the server as leaving, or if minLiveReads consecutive reads of this
// host listed the server as live.
func (n *Node) recordBackendStatesLocked(now time.Time, l []sardineknot.ListedHost) {
	k := n.view.LeavingBackends()
	m := make(map[sardineknot.BackendServerName]bool)
	v := make(map[sardineknot.BackendServerName]int)
	for _, h := range l {
		b := sardineknot.BackendServerName(h.Name)
		switch {
		case h.Role != sardineknot.ListedBackendServer:
		case h.Leaving:
			m[b] = true
			n.view.SetBackend(now, b, true)
		case k[b]:
			v[b] = n.hostList.liveReads[b] + 1
			if n.hostList.lastLeaving[b] || v[b] >= minLiveReads {
				n.view.SetBackend(now, b, false)
			}
		}
	}
	n.hostList.lastLeaving, n.hostList.liveReads = m, v
}

// unknownAddressesLocked returns the addresses of listed entry hosts that are
// not known to be live, at most maxConfirmPeers of them. If there are more, the
// choice rotates between calls.
func (n *Node) unknownAddressesLocked(l []sardineknot.ListedHost) []string {
	var u []string
	for _, h := range l {
		if h.Role != sardineknot.ListedEntryHost || !h.PeerAddress.IsValid() || n.isLiveLocked(h.Name) {
			continue
		}
		u = append(u, h.PeerAddress.String())
	}
	if len(u) <= maxConfirmPeers {
		return u
	}
	n.fingerIndex++
	i := n.fingerIndex % len(u)
	return append(u[i:], u[:i]...)[:maxConfirmPeers]
}

// isLiveLocked reports whether the entry host id is known and not dead.
func (n *Node) isLiveLocked(id string) bool {
	m := n.view.Find(sardineknot.EntryHostID(id))
	return m != nil && sardineknot.EntryHostState(m.GetState()) != sardineknot.EntryHostDead
}
