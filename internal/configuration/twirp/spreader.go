// Package twirp spreads the accepted configuration among entry hosts.
//
// A host that puts a new revision in force announces it to its fingers (see
// gossip.View), which fetch the head and the bundles that they lack and
// announce it on. An announcement that was lost is made up for by heartbeats,
// which carry the revision: a host that hears of a greater one fetches it.
package twirp

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/configuration/bundle"
	"sardineknot.example/sardineknot/internal/configuration/revision"
	api "sardineknot.example/sardineknot/internal/rpc/configuration"
)

const (
	// fetchTimeout bounds a fetch from a peer.
	fetchTimeout = 2 * time.Second
	// announceTimeout bounds an announcement.
	announceTimeout = time.Second
	// maxFetches bounds the fetches that run at once, so that one peer that
	// does not answer does not hold up the others.
	maxFetches = 2
)

// Spreader fetches configurations from peers and serves them. It is safe for
// concurrent use. All exported fields are set before use.
type Spreader struct {
	// Tracker holds the configuration in force.
	Tracker *revision.Tracker
	// Client makes calls to peers.
	Client *http.Client
	// Self returns this host.
	Self func() sardineknot.EntryHost
	// Fingers returns the peers to announce to.
	Fingers func() []sardineknot.EntryHost
	// Log takes one event for each configuration that comes in force.
	Log zerolog.Logger

	fetched   metrics.Counter
	announced metrics.Counter
	// fetches holds one element for each fetch that runs.
	fetches chan struct{}
}

var _ api.Configuration = (*Spreader)(nil)

// NewSpreader returns a spreader that counts in r.
func NewSpreader(r metrics.Registry) *Spreader {
	return &Spreader{
		fetched:   metrics.GetOrRegisterCounter("configuration.fetches", r),
		announced: metrics.GetOrRegisterCounter("configuration.announcements", r),
		fetches:   make(chan struct{}, maxFetches),
	}
}

// Fetch implements the service.
func (s *Spreader) Fetch(_ context.Context, q *api.FetchRequest) (*api.FetchResponse, error) {
	return s.Tracker.Answer(q), nil
}

// Announce implements the service.
func (s *Spreader) Announce(_ context.Context, q *api.AnnounceRequest) (*api.AnnounceResponse, error) {
	a, err := netip.ParseAddrPort(q.GetPeerAddress())
	if err == nil {
		s.Learn(sardineknot.EntryHost{ID: sardineknot.EntryHostID(q.GetSender()), PeerAddress: a}, sardineknot.Revision(q.GetRevision()))
	}
	return &api.AnnounceResponse{Revision: int64(s.Tracker.Current().Revision)}, nil
}

// Learn fetches revision r from peer if it is greater than that in force. It
// does not wait for the fetch. Until the fetch fails, a store that is older
// than r is refused.
func (s *Spreader) Learn(peer sardineknot.EntryHost, r sardineknot.Revision) {
	if r <= s.Tracker.Current().Revision {
		return
	}
	s.Tracker.SetFloor(r)
	select {
	case s.fetches <- struct{}{}:
		go s.fetch(peer)
	default:
		// The next heartbeat makes up for it.
	}
}

// Offer puts the stored head with bundles b in force if it is newer, and
// announces it. It fails as revision.Tracker.Offer does.
func (s *Spreader) Offer(head []byte, b bundle.Set, from string) error {
	ok, err := s.Tracker.Offer(head, b)
	if ok {
		s.accepted(from)
	}
	return err
}

func (s *Spreader) fetch(peer sardineknot.EntryHost) {
	defer func() { <-s.fetches }()
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	ok, err := s.take(ctx, peer, false)
	if err != nil && ctx.Err() == nil {
		ok, err = s.take(ctx, peer, true)
	}
	if err != nil {
		s.Tracker.SetFloor(0)
		s.Log.Warn().Stringer("event", sardineknot.LogConfigurationFetchFailed).Str("peer", string(peer.ID)).Err(err).Send()
	}
	if ok {
		s.accepted(string(peer.ID))
	}
}

// take fetches from peer: all, or what this host lacks.
func (s *Spreader) take(ctx context.Context, peer sardineknot.EntryHost, all bool) (bool, error) {
	s.fetched.Inc(1)
	p, err := s.client(peer).Fetch(ctx, s.Tracker.Request(all))
	if err != nil {
		return false, err
	}
	return s.Tracker.Take(p)
}

func (s *Spreader) accepted(from string) {
	r := s.Tracker.Current().Revision
	s.Log.Info().Stringer("event", sardineknot.LogConfigurationInForce).Int64("revision", int64(r)).Str("from", from).Send()
	e := s.Self()
	q := &api.AnnounceRequest{Revision: int64(r), Sender: string(e.ID), PeerAddress: e.PeerAddress.String()}
	for _, h := range s.Fingers() {
		if string(h.ID) != from {
			go s.announce(h, q)
		}
	}
}

func (s *Spreader) announce(h sardineknot.EntryHost, q *api.AnnounceRequest) {
	s.announced.Inc(1)
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	// One that is lost is made up for by heartbeats.
	_, _ = s.client(h).Announce(ctx, q)
}

func (s *Spreader) client(h sardineknot.EntryHost) api.Configuration {
	return api.NewConfigurationProtobufClient("http://"+h.PeerAddress.String(), s.Client)
}
