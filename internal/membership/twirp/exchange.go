package twirp

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/membership/gossip"
	api "sardineknot.example/sardineknot/internal/rpc/membership"
)

// Exchange implements api.Membership. It merges the heartbeat of a peer and
// returns the changes that this host has to disseminate.
func (n *Node) Exchange(_ context.Context, q *api.ExchangeRequest) (*api.ExchangeResponse, error) {
	t := n.clock.Now()
	n.mu.Lock()
	n.view.Merge(t, append(q.GetChanges(), q.GetSender()))
	n.view.MarkReachable(sardineknot.EntryHostID(q.GetSender().GetId()))
	p := &api.ExchangeResponse{
		Sender:  n.view.Self(),
		Changes: n.view.Changes(maxRecords),
		Members: uint32(n.view.Len()),
		Digest:  n.view.Digest(),
	}
	// If the sender's record of itself is superseded, the sender must learn of
	// the superseding record to refute it.
	o := n.view.Find(sardineknot.EntryHostID(q.GetSender().GetId()))
	if o != nil && (o.GetIncarnation() != q.GetSender().GetIncarnation() || o.GetState() != q.GetSender().GetState()) {
		p.Changes = append(p.Changes, o)
	}
	n.refreshLocked(t)
	n.mu.Unlock()
	p.ConfigurationRevision = int64(n.Revision())
	n.reportRevision(q.GetSender(), q.GetConfigurationRevision())
	return p, nil
}

// List implements api.Membership. It returns one page of records.
func (n *Node) List(_ context.Context, q *api.ListRequest) (*api.ListResponse, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l, p := n.view.Page(q.GetAfter())
	return &api.ListResponse{Members: l, Next: p}, nil
}

// ProbeFor implements api.Membership. It probes a host on behalf of a peer. If
// the host cannot be reached, or another host answers at its address, Reached
// is false and the error is nil.
func (n *Node) ProbeFor(ctx context.Context, q *api.ProbeForRequest) (*api.ProbeForResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, n.probeTimeout())
	defer cancel()
	p, err := n.call(ctx, q.GetPeerAddress())
	if err != nil || p.GetSender().GetId() != q.GetId() {
		return &api.ProbeForResponse{}, nil
	}
	return &api.ProbeForResponse{Reached: true, Incarnation: p.GetSender().GetIncarnation()}, nil
}

// exchange sends a heartbeat to address, merges the answer and starts a full
// exchange if one is needed. It returns the identifier of the host that
// answered.
func (n *Node) exchange(ctx context.Context, address string) (id string, err error) {
	ctx, cancel := context.WithTimeout(ctx, n.probeTimeout())
	defer cancel()
	p, err := n.call(ctx, address)
	if err != nil {
		return "", err
	}
	t := n.clock.Now()
	n.mu.Lock()
	n.view.Merge(t, append(p.GetChanges(), p.GetSender()))
	n.view.MarkReachable(sardineknot.EntryHostID(p.GetSender().GetId()))
	u := n.needsFullExchangeLocked(t, p)
	n.refreshLocked(t)
	n.mu.Unlock()
	n.reportRevision(p.GetSender(), p.GetConfigurationRevision())
	if u {
		n.fullExchange(ctx, address)
	}
	return p.GetSender().GetId(), nil
}

// call sends a heartbeat to address and returns the answer without merging it.
func (n *Node) call(ctx context.Context, address string) (*api.ExchangeResponse, error) {
	n.metrics.exchanges.Inc(1)
	n.mu.Lock()
	q := &api.ExchangeRequest{
		Sender:         n.view.Self(),
		Changes:        n.view.Changes(maxRecords),
		StoreReachable: !n.storeUnreachable,
		Members:        uint32(n.view.Len()),
		Digest:         n.view.Digest(),
	}
	n.mu.Unlock()
	q.ConfigurationRevision = int64(n.Revision())
	return n.client(address).Exchange(ctx, q)
}

// exchangeAll exchanges heartbeats with all hosts in l concurrently and returns
// the number of hosts that answered.
func (n *Node) exchangeAll(ctx context.Context, l []*api.Member) int {
	var g errgroup.Group
	c := make(chan struct{}, len(l))
	for _, m := range l {
		g.Go(func() error {
			_, err := n.exchange(ctx, m.GetPeerAddress())
			if err == nil {
				c <- struct{}{}
			}
			return err
		})
	}
	_ = g.Wait()
	return len(c)
}

// needsFullExchangeLocked decides, given the answer p of a peer, whether to
// read all records of that peer: on first contact, or when digests have
// differed for longer than changes take to spread. If it returns true, it marks
// the full exchange as running.
func (n *Node) needsFullExchangeLocked(now time.Time, p *api.ExchangeResponse) bool {
	if p.GetDigest() == n.view.Digest() {
		n.mismatches = 0
		return false
	}
	n.mismatches++
	f := n.view.Len() <= 2 && int(p.GetMembers()) > n.view.Len()
	s := n.mismatches > fanout*(2+gossip.CeilLog2(n.view.Len()))
	if n.fullExchangeRunning || !f && (!s || now.Sub(n.lastFullExchange) < minFullExchangeIntervals*n.interval) {
		return false
	}
	n.fullExchangeRunning, n.lastFullExchange, n.mismatches = true, now, 0
	return true
}

// fullExchange merges all records of the peer at address, page by page, and
// queues the records that the peer lacks.
func (n *Node) fullExchange(ctx context.Context, address string) {
	n.metrics.fullExchanges.Inc(1)
	defer n.endFullExchange()
	c := n.client(address)
	for a := ""; ; {
		p, err := c.List(ctx, &api.ListRequest{After: a})
		if err != nil {
			return
		}
		t := n.clock.Now()
		n.mu.Lock()
		n.view.Merge(t, p.GetMembers())
		n.view.QueueMissing(p.GetMembers(), a, p.GetNext())
		n.refreshLocked(t)
		n.mu.Unlock()
		a = p.GetNext()
		if a == "" {
			return
		}
	}
}

func (n *Node) endFullExchange() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.fullExchangeRunning = false
}

// reportRevision calls RevisionReported if revision, the configuration revision
// of peer m, is greater than that of this host.
func (n *Node) reportRevision(m *api.Member, revision int64) {
	if n.RevisionReported != nil && revision > int64(n.Revision()) {
		n.RevisionReported(gossip.EntryHost(m), sardineknot.Revision(revision))
	}
}

func (n *Node) client(address string) api.Membership {
	return api.NewMembershipProtobufClient("http://"+address, n.Client)
}

// probeTimeout returns the time within which a peer must answer a heartbeat.
func (n *Node) probeTimeout() time.Duration { return max(n.interval, minProbeTimeout) }

// member converts h to its record.
func member(h sardineknot.EntryHost) *api.Member {
	return &api.Member{
		Id:            string(h.ID),
		Incarnation:   uint64(h.Incarnation),
		State:         int32(h.State),
		CallerAddress: h.CallerAddress.String(),
		PeerAddress:   h.PeerAddress.String(),
		Zone:          string(h.Zone),
	}
}
