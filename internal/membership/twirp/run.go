package twirp

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"sardineknot.example/sardineknot"
	api "sardineknot.example/sardineknot/internal/rpc/membership"
)

const (
	// pullIntervals is the least number of intervals between full exchanges.
	pullIntervals = 10
	// helpers is the number of hosts that are asked to probe for this one.
	helpers = 2
	// confirmations is the number of hosts that are asked after a pause.
	confirmations = 3
	// deadIntervals is the number of intervals between two attempts to reach
	// a dead host: one that was restarted while the host list was down, or is
	// on the other side of a partition.
	deadIntervals = 5
)

// Run exchanges heartbeats until ctx is done.
func (n *Node) Run(ctx context.Context) error {
	var g errgroup.Group
	g.Go(func() error { return n.runTicks(ctx) })
	g.Go(func() error { return n.runList(ctx) })
	return g.Wait()
}

// runTicks never waits for a peer, so that a gap between ticks means that this
// host stood still.
func (n *Node) runTicks(ctx context.Context) error {
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

// tick does what is due and starts the heartbeats of this interval.
func (n *Node) tick(ctx context.Context) {
	t := n.clock.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.pausedLocked(t) {
		n.Log.Warn().Stringer("event", sardineknot.LogPaused).Dur("gap", t.Sub(n.ticked)).Send()
		n.unconfirmed = true
		n.view.Resume(t)
	}
	n.ticked = t
	if n.unconfirmed {
		go n.confirm(ctx)
		return
	}
	n.metrics.deaths.Inc(int64(len(n.view.Advance(t, !n.storeLost))))
	n.refreshLocked(t)
	for _, m := range n.nextLocked() {
		go n.probe(ctx, m)
	}
	n.ticks++
	if l := n.view.Dead(); len(l) > 0 && n.ticks%deadIntervals == 0 {
		m := l[n.ticks/deadIntervals%len(l)]
		go func() { _, _ = n.exchange(ctx, m.GetPeerAddress()) }()
	}
	if n.view.LostMost() {
		go n.checkStore(ctx)
	} else {
		n.storeLost = false
	}
}

// nextLocked returns the fingers whose turn it is.
func (n *Node) nextLocked() []*api.Member {
	f := n.view.Fingers()
	var l []*api.Member
	for range min(fanout, len(f)) {
		l = append(l, f[n.turn%len(f)])
		n.turn++
	}
	return l
}

// probe exchanges heartbeats with m and makes it suspect if nobody reaches it.
func (n *Node) probe(ctx context.Context, m *api.Member) {
	t := n.clock.Now()
	i, err := n.exchange(ctx, m.GetPeerAddress())
	if err == nil && i == m.GetId() || n.probeThrough(ctx, m) || ctx.Err() != nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	e := n.clock.Now()
	// A host that stood still itself cannot tell whether m did.
	if n.unconfirmed || n.pausedLocked(e) || e.Sub(t) > 4*n.probeTimeout() {
		return
	}
	n.view.Suspect(e, sardineknot.EntryHostID(m.GetId()), m.GetIncarnation())
	n.refreshLocked(e)
}

// probeThrough reports whether other hosts reach m.
func (n *Node) probeThrough(ctx context.Context, m *api.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*n.probeTimeout())
	defer cancel()
	l := n.others(m)
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

// others returns fingers to ask about m.
func (n *Node) others(m *api.Member) []*api.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	var l []*api.Member
	f := n.view.Fingers()
	for i := range f {
		h := f[(n.turn+i)%len(f)]
		if h.GetId() != m.GetId() && len(l) < helpers {
			l = append(l, h)
		}
	}
	return l
}

// confirm asks others, after a pause, whether they declared this host dead.
// Their answers renew the incarnation if so. A host that reaches no other one
// renews it if the key-value service answers, and stays isolated otherwise.
func (n *Node) confirm(ctx context.Context) {
	n.mu.Lock()
	f := n.view.Fingers()
	n.mu.Unlock()
	c := n.exchangeAll(ctx, f[:min(confirmations, len(f))])
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
		n.view.Renew(t)
	}
	n.unconfirmed = false
	n.refreshLocked(t)
	n.Log.Info().Stringer("event", sardineknot.LogConfirmed).Uint64("incarnation", n.view.Self().GetIncarnation()).Send()
}

// checkStore notes whether the key-value service answers.
func (n *Node) checkStore(ctx context.Context) {
	err := n.CheckStore(ctx)
	if ctx.Err() != nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if b := err != nil; b != n.storeLost {
		n.Log.Warn().Stringer("event", sardineknot.LogStoreReachable).Bool("reachable", !b).Bool("most_hosts_lost", n.view.LostMost()).Send()
		n.storeLost = b
	}
}
