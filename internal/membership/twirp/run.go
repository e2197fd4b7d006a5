package twirp

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"sardineknot.example/sardineknot"
	api "sardineknot.example/sardineknot/internal/rpc/membership"
)

const (
	// minFullExchangeIntervals is the minimum number of intervals between full
	// exchanges.
	minFullExchangeIntervals = 10
	// indirectProbes is the number of other hosts that are asked to probe a
	// host that did not answer this host.
	indirectProbes = 2
	// maxConfirmPeers is the maximum number of hosts that confirm contacts
	// after this host was paused, to learn whether they declared it dead. It
	// also limits the listed hosts that readHostList contacts in one call.
	maxConfirmPeers = 3
	// deadProbeIntervals is the number of intervals between attempts to reach a
	// dead host, which may have been restarted while the host list was
	// unavailable, or be on the other side of a partition.
	deadProbeIntervals = 5
)

// Run exchanges heartbeats and reads the host list until ctx is done.
func (n *Node) Run(ctx context.Context) error {
	var g errgroup.Group
	g.Go(func() error { return n.runHeartbeats(ctx) })
	g.Go(func() error { return n.runHostListReader(ctx) })
	return g.Wait()
}

// runHeartbeats calls tick in every interval. It never waits for a peer, so a
// gap between ticks means that this host was paused.
func (n *Node) runHeartbeats(ctx context.Context) error {
	t := time.NewTicker(n.interval)
	defer t.Stop()
	for {
		n.tick(ctx)
		select {
		case <-t.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// tick detects a pause, applies the timeouts of the view and starts the
// heartbeats of this interval. While unconfirmed is set it only contacts other
// hosts.
func (n *Node) tick(ctx context.Context) {
	t := n.clock.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.pausedLocked(t) {
		n.Log.Warn().Stringer("event", sardineknot.LogPaused).Dur("gap", t.Sub(n.lastTick)).Send()
		n.unconfirmed = true
		n.view.ResetTimeouts(t)
	}
	n.lastTick = t
	if n.unconfirmed {
		go n.confirm(ctx)
		return
	}
	n.metrics.deaths.Inc(int64(len(n.view.Advance(t, !n.storeUnreachable))))
	n.refreshLocked(t)
	for _, m := range n.nextFingersLocked() {
		go n.probe(ctx, m)
	}
	n.ticks++
	if l := n.view.DeadHosts(); len(l) > 0 && n.ticks%deadProbeIntervals == 0 {
		m := l[n.ticks/deadProbeIntervals%len(l)]
		go func() { _, _ = n.exchange(ctx, m.GetPeerAddress()) }()
	}
	if n.view.MostHostsLost() {
		go n.checkStore(ctx)
	} else {
		n.storeUnreachable = false
	}
}

// nextFingersLocked returns the next fanout fingers in round-robin order.
func (n *Node) nextFingersLocked() []*api.Member {
	f := n.view.Fingers()
	var l []*api.Member
	for range min(fanout, len(f)) {
		l = append(l, f[n.fingerIndex%len(f)])
		n.fingerIndex++
	}
	return l
}

// probe exchanges heartbeats with m and marks m suspect if neither this host
// nor the indirect probers reach it.
func (n *Node) probe(ctx context.Context, m *api.Member) {
	t := n.clock.Now()
	i, err := n.exchange(ctx, m.GetPeerAddress())
	if err == nil && i == m.GetId() || n.probeIndirectly(ctx, m) || ctx.Err() != nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	e := n.clock.Now()
	// The failure says nothing about m if this host was paused meanwhile.
	if n.unconfirmed || n.pausedLocked(e) || e.Sub(t) > 4*n.probeTimeout() {
		return
	}
	n.view.Suspect(e, sardineknot.EntryHostID(m.GetId()), m.GetIncarnation())
	n.refreshLocked(e)
}

// probeIndirectly reports whether another host reaches m.
func (n *Node) probeIndirectly(ctx context.Context, m *api.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*n.probeTimeout())
	defer cancel()
	l := n.indirectProbers(m)
	c := make(chan bool, len(l))
	for _, h := range l {
		go func() {
			n.metrics.probes.Inc(1)
			p, err := n.client(h.GetPeerAddress()).ProbeFor(ctx, &api.ProbeForRequest{Id: m.GetId(), PeerAddress: m.GetPeerAddress()})
			c <- err == nil && p.GetReached()
		}()
	}
	for range l {
		if <-c {
			return true
		}
	}
	return false
}

// indirectProbers returns up to indirectProbes fingers other than m.
func (n *Node) indirectProbers(m *api.Member) []*api.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	var l []*api.Member
	f := n.view.Fingers()
	for i := range f {
		h := f[(n.fingerIndex+i)%len(f)]
		if h.GetId() != m.GetId() && len(l) < indirectProbes {
			l = append(l, h)
		}
	}
	return l
}

// confirm contacts up to maxConfirmPeers other hosts after a pause, to learn
// whether they declared this host dead. If a peer did, the merge of its answer
// renews the incarnation of this host.
//
// If no peer answers, this host cannot learn whether it was declared dead.
// confirm then checks the key-value service. If the service answers, confirm
// renews the incarnation; otherwise, the host remains unconfirmed and thus
// isolated. If this host knows no peers, confirm keeps the incarnation.
func (n *Node) confirm(ctx context.Context) {
	n.mu.Lock()
	f := n.view.Fingers()
	n.mu.Unlock()
	c := n.exchangeAll(ctx, f[:min(maxConfirmPeers, len(f))])
	r := c == 0 && len(f) > 0
	if r && n.CheckStore(ctx) != nil {
		return
	}
	t := n.clock.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.unconfirmed {
		return
	}
	if r {
		n.view.RenewIncarnation(t)
	}
	n.unconfirmed = false
	n.refreshLocked(t)
	n.Log.Info().Stringer("event", sardineknot.LogConfirmed).Uint64("incarnation", n.view.Self().GetIncarnation()).Send()
}

// checkStore updates storeUnreachable and logs a change.
func (n *Node) checkStore(ctx context.Context) {
	err := n.CheckStore(ctx)
	if ctx.Err() != nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if b := err != nil; b != n.storeUnreachable {
		n.Log.Warn().Stringer("event", sardineknot.LogStoreReachable).Bool("reachable", !b).Bool("most_hosts_lost", n.view.MostHostsLost()).Send()
		n.storeUnreachable = b
	}
}
