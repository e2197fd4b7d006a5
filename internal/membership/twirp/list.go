package twirp

import (
	"context"
	"time"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/membership/rendezvous"
)

const (
	// listIntervals is the number of intervals between two readings of the
	// host list by the host that reads it for its zone.
	listIntervals = 2
	// liveReadings is the number of readings in a row after which a backend
	// server is no longer leaving for a host that never saw it leave.
	liveReadings = 30
)

// joinReadings is the number of readings after which a host that has reached
// no other one acts alone.
const joinReadings = 5

// listed is what is remembered of the readings of the host list.
type listed struct {
	// joined reports that another host has answered, or that there is none.
	joined bool
	// readings counts the readings until then.
	readings int
	// leaving holds the backend servers that the last reading called leaving.
	leaving map[sardineknot.BackendServerName]bool
	// live counts the readings in a row that called a server live which other
	// hosts call leaving.
	live map[sardineknot.BackendServerName]int
}

// runList reads the host list when it is this host's turn.
func (n *Node) runList(ctx context.Context) error {
	t := time.NewTicker(listIntervals * n.interval)
	defer t.Stop()
	for {
		if n.ReadsFor(n.Self().Zone) {
			n.join(n.readList(ctx))
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// ReadsFor reports whether this host ranks first among the live hosts of zone
// z. That host reads from the platform for its zone. So does a host that knows
// no other.
func (n *Node) ReadsFor(z sardineknot.AvailabilityZone) bool {
	s := n.Self()
	w := rendezvous.Weight(readerShard, s.ID)
	for _, h := range n.Hosts() {
		if h.Zone == z && h.State == sardineknot.EntryHostAlive && h.ID != s.ID && rendezvous.Weight(readerShard, h.ID) > w {
			return false
		}
	}
	return true
}

// readerShard is the shard by which the readers of the platform are ranked.
const readerShard = "platform-reader"

// Joined reports whether this host has heard from another one since it
// started, or has found out that there is none.
func (n *Node) Joined() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.listed.joined
}

func (n *Node) join(reached bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listed.readings++
	if reached || n.listed.readings >= joinReadings {
		n.listed.joined = true
	}
}

// readList reads the host list and exchanges heartbeats with some hosts on it
// that this one does not know. It reports whether one of them answered, or
// none was unknown.
func (n *Node) readList(ctx context.Context) bool {
	l, err := n.Listed.Fetch(ctx)
	if err != nil {
		return false
	}
	t := n.clock.Now()
	n.mu.Lock()
	n.noteLocked(t, l)
	n.refreshLocked(t)
	u := n.unknownLocked(l)
	n.mu.Unlock()
	r := len(u) == 0
	for _, a := range u {
		_, err = n.exchange(ctx, a)
		r = r || err == nil
	}
	return r
}

// noteLocked notes the states of the backend servers in l. The list lags and
// its readers may see different states of it, so that a server stops leaving
// only when a reader saw it change, or has called it live for long.
func (n *Node) noteLocked(now time.Time, l []sardineknot.ListedHost) {
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
			v[b] = n.listed.live[b] + 1
			if n.listed.leaving[b] || v[b] >= liveReadings {
				n.view.SetBackend(now, b, false)
			}
		}
	}
	n.listed.leaving, n.listed.live = m, v
}

// unknownLocked returns the addresses of listed entry hosts that this one does
// not know to be live: a few of them, others each time.
func (n *Node) unknownLocked(l []sardineknot.ListedHost) []string {
	var u []string
	for _, h := range l {
		if h.Role != sardineknot.ListedEntryHost || !h.PeerAddress.IsValid() || n.liveLocked(h.Name) {
			continue
		}
		u = append(u, h.PeerAddress.String())
	}
	if len(u) <= confirmations {
		return u
	}
	n.turn++
	i := n.turn % len(u)
	return append(u[i:], u[:i]...)[:confirmations]
}

func (n *Node) liveLocked(id string) bool {
	m := n.view.Find(sardineknot.EntryHostID(id))
	return m != nil && sardineknot.EntryHostState(m.GetState()) != sardineknot.EntryHostDead
}
