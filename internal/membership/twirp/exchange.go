package twirp

import (
	"context"
	"net/netip"
	"time"

	"golang.org/x/sync/errgroup"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/membership/gossip"
	api "sardineknot.example/sardineknot/internal/rpc/membership"
)

// Exchange implements the service: it takes the heartbeat of a peer.
func (n *Node) Exchange(_ context.Context, q *api.ExchangeRequest) (*api.ExchangeResponse, error) {
	t := n.clock.Now()
	n.mu.Lock()
	n.view.Merge(t, append(q.GetChanges(), q.GetSender()))
	n.view.Reached(sardineknot.EntryHostID(q.GetSender().GetId()))
	p := &api.ExchangeResponse{
		Sender:  n.view.Self(),
		Changes: n.view.Changes(maxChanges),
		Members: uint32(n.view.Len()),
		Digest:  n.view.Digest(),
	}
	// A sender that is not what it says must learn it first of all.
	o := n.view.Find(sardineknot.EntryHostID(q.GetSender().GetId()))
	if o != nil && (o.GetIncarnation() != q.GetSender().GetIncarnation() || o.GetState() != q.GetSender().GetState()) {
		p.Changes = append(p.Changes, o)
	}
	n.refreshLocked(t)
	n.mu.Unlock()
	p.ConfigurationRevision = int64(n.Revision())
	n.learn(q.GetSender(), q.GetConfigurationRevision())
	return p, nil
}

// List implements the service.
func (n *Node) List(_ context.Context, q *api.ListRequest) (*api.ListResponse, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l, p := n.view.Page(q.GetAfter())
	return &api.ListResponse{Members: l, Next: p}, nil
}

// ProbeFor implements the service.
func (n *Node) ProbeFor(ctx context.Context, q *api.ProbeForRequest) (*api.ProbeForResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, n.probeTimeout())
	defer cancel()
	p, err := n.call(ctx, q.GetPeerAddress())
	if err != nil || p.GetSender().GetId() != q.GetId() {
		return &api.ProbeForResponse{}, nil
	}
	return &api.ProbeForResponse{Reached: true, Incarnation: p.GetSender().GetIncarnation()}, nil
}

// exchange sends a heartbeat to address and merges the answer. It returns the
// identifier of the host that answered.
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
	n.view.Reached(sardineknot.EntryHostID(p.GetSender().GetId()))
	u := n.mustPullLocked(t, p)
	n.refreshLocked(t)
	n.mu.Unlock()
	n.learn(p.GetSender(), p.GetConfigurationRevision())
	if u {
		n.pull(ctx, address)
	}
	return p.GetSender().GetId(), nil
}

// call sends a heartbeat to address and returns the answer.
func (n *Node) call(ctx context.Context, address string) (*api.ExchangeResponse, error) {
	n.metrics.exchanges.Inc(1)
	n.mu.Lock()
	q := &api.ExchangeRequest{
		Sender:         n.view.Self(),
		Changes:        n.view.Changes(maxChanges),
		StoreReachable: !n.storeLost,
		Members:        uint32(n.view.Len()),
		Digest:         n.view.Digest(),
	}
	n.mu.Unlock()
	q.ConfigurationRevision = int64(n.Revision())
	return n.client(address).Exchange(ctx, q)
}

// exchangeAll sends heartbeats to all of l and returns the number that
// answered.
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

// mustPullLocked decides, after the answer p of a peer, whether to read all
// that it knows: at first contact, or when digests have differed for longer
// than changes take to spread.
func (n *Node) mustPullLocked(now time.Time, p *api.ExchangeResponse) bool {
	if p.GetDigest() == n.view.Digest() {
		n.mismatches = 0
		return false
	}
	n.mismatches++
	f := n.view.Len() <= 2 && int(p.GetMembers()) > n.view.Len()
	s := n.mismatches > fanout*(2+gossip.Steps(n.view.Len()))
	if n.pulling || !f && (!s || now.Sub(n.pulled) < pullIntervals*n.interval) {
		return false
	}
	n.pulling, n.pulled, n.mismatches = true, now, 0
	return true
}

// pull merges all records of the peer at address, page by page.
func (n *Node) pull(ctx context.Context, address string) {
	n.metrics.pulls.Inc(1)
	defer n.endPull()
	c := n.client(address)
	for a := ""; ; {
		p, err := c.List(ctx, &api.ListRequest{After: a})
		if err != nil {
			return
		}
		t := n.clock.Now()
		n.mu.Lock()
		n.view.Merge(t, p.GetMembers())
		n.view.Compare(p.GetMembers(), a, p.GetNext())
		n.refreshLocked(t)
		n.mu.Unlock()
		a = p.GetNext()
		if a == "" {
			return
		}
	}
}

func (n *Node) endPull() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.pulling = false
}

func (n *Node) learn(m *api.Member, revision int64) {
	if n.Learned != nil && revision > int64(n.Revision()) {
		n.Learned(entryHost(m), sardineknot.Revision(revision))
	}
}

func (n *Node) client(address string) api.Membership {
	return api.NewMembershipProtobufClient("http://"+address, n.Client)
}

// probeTimeout is the time that a peer has to answer a heartbeat.
func (n *Node) probeTimeout() time.Duration { return max(n.interval, minProbe) }

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

func entryHost(m *api.Member) sardineknot.EntryHost {
	// Addresses that do not parse stay the zero address.
	c, _ := netip.ParseAddrPort(m.GetCallerAddress())
	p, _ := netip.ParseAddrPort(m.GetPeerAddress())
	return sardineknot.EntryHost{
		ID:            sardineknot.EntryHostID(m.GetId()),
		Incarnation:   sardineknot.Incarnation(m.GetIncarnation()),
		CallerAddress: c,
		PeerAddress:   p,
		Zone:          sardineknot.AvailabilityZone(m.GetZone()),
		State:         sardineknot.EntryHostState(m.GetState()),
	}
}
