// Package twirp propagates the accepted configuration among entry hosts.
//
// A host that puts a new revision in force announces it to its fingers (see
// gossip.View). The fingers fetch the head and the bundles that they lack, and
// announce the revision in turn. Heartbeats carry the revision too, to cover
// lost announcements: a host that learns of a greater revision fetches it.
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
	// fetchTimeout bounds a fetch from a peer, including a second attempt.
	fetchTimeout = 2 * time.Second
	// announceTimeout bounds an announcement to a peer.
	announceTimeout = time.Second
	// maxFetches bounds the number of concurrent fetches. It is greater than
	// one so that a peer that does not respond does not block fetches from
	// others.
	maxFetches = 2
)

// Syncer fetches configurations from peers and serves them to peers. It is
// safe for concurrent use. All exported fields must be set before use.
type Syncer struct {
	// Tracker holds the configuration in force.
	Tracker *revision.Tracker
	// Client makes calls to peers.
	Client *http.Client
	// Self returns this host.
	Self func() sardineknot.EntryHost
	// Fingers returns the peers to which new revisions are announced.
	Fingers func() []sardineknot.EntryHost
	// Log receives an event for each configuration that is put in force and for
	// each failed fetch.
	Log zerolog.Logger

	// fetched counts the fetches from peers. announced counts the announcements
	// to peers.
	fetched   metrics.Counter
	announced metrics.Counter
	// fetches is a semaphore that holds one element per running fetch.
	fetches chan struct{}
}

var _ api.Configuration = (*Syncer)(nil)

// NewSyncer returns a syncer that registers its metrics in r.
func NewSyncer(r metrics.Registry) *Syncer {
	return &Syncer{
		fetched:   metrics.GetOrRegisterCounter("configuration.fetches", r),
		announced: metrics.GetOrRegisterCounter("configuration.announcements", r),
		fetches:   make(chan struct{}, maxFetches),
	}
}

// Fetch implements api.Configuration. It returns the part of the configuration
// in force that the requester does not hold.
func (s *Syncer) Fetch(_ context.Context, q *api.FetchRequest) (*api.FetchResponse, error) {
	return s.Tracker.Respond(q), nil
}

// Announce implements api.Configuration. It starts a fetch if the announced
// revision is greater than the one in force, and returns the one in force.
func (s *Syncer) Announce(_ context.Context, q *api.AnnounceRequest) (*api.AnnounceResponse, error) {
	a, err := netip.ParseAddrPort(q.GetPeerAddress())
	if err == nil {
		s.FetchNewer(sardineknot.EntryHost{ID: sardineknot.EntryHostID(q.GetSender()), PeerAddress: a}, sardineknot.Revision(q.GetRevision()))
	}
	return &api.AnnounceResponse{Revision: int64(s.Tracker.Current().Revision)}, nil
}

// FetchNewer starts a fetch from peer if r, the revision of peer, is greater
// than the revision in force. It does not wait for the fetch, and starts none
// if maxFetches are running. Configurations with revisions smaller than r are
// rejected until a fetch fails.
func (s *Syncer) FetchNewer(peer sardineknot.EntryHost, r sardineknot.Revision) {
	if r <= s.Tracker.Current().Revision {
		return
	}
	s.Tracker.SetMinRevision(r)
	select {
	case s.fetches <- struct{}{}:
		go s.fetch(peer)
	default:
		// The next heartbeat triggers another attempt.
	}
}

// Offer puts the stored head with bundles b in force if its revision is greater
// than the one in force, and announces it to all fingers. source names where
// the head was read; a host with this ID is left out. Offer fails as
// revision.Tracker.Offer does.
func (s *Syncer) Offer(head []byte, b bundle.Set, source string) error {
	ok, err := s.Tracker.Offer(head, b)
	if ok {
		s.announceRevision(source)
	}
	return err
}

// fetch fetches the configuration of peer and puts it in force. If that fails
// before the timeout, for example because a difference does not apply, it
// fetches the complete configuration.
func (s *Syncer) fetch(peer sardineknot.EntryHost) {
	defer func() { <-s.fetches }()
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	ok, err := s.fetchFrom(ctx, peer, false)
	if err != nil && ctx.Err() == nil {
		ok, err = s.fetchFrom(ctx, peer, true)
	}
	if err != nil {
		s.Tracker.SetMinRevision(0)
		s.Log.Warn().Stringer("event", sardineknot.LogConfigurationFetchFailed).Str("peer", string(peer.ID)).Err(err).Send()
	}
	if ok {
		s.announceRevision(string(peer.ID))
	}
}

// fetchFrom fetches from peer and reports whether the result was put in force.
// If all is set, it fetches the complete configuration, otherwise the
// difference from the head in force on this host.
func (s *Syncer) fetchFrom(ctx context.Context, peer sardineknot.EntryHost, all bool) (bool, error) {
	s.fetched.Inc(1)
	p, err := s.client(peer).Fetch(ctx, s.Tracker.Request(all))
	if err != nil {
		return false, err
	}
	return s.Tracker.Apply(p)
}

// announceRevision logs the revision in force and announces it to all fingers.
// source names where the configuration was read; a host with this ID already
// has the revision and is left out.
func (s *Syncer) announceRevision(source string) {
	r := s.Tracker.Current().Revision
	s.Log.Info().Stringer("event", sardineknot.LogConfigurationInForce).Int64("revision", int64(r)).Str("from", source).Send()
	e := s.Self()
	q := &api.AnnounceRequest{Revision: int64(r), Sender: string(e.ID), PeerAddress: e.PeerAddress.String()}
	for _, h := range s.Fingers() {
		if string(h.ID) != source {
			go s.announce(h, q)
		}
	}
}

func (s *Syncer) announce(h sardineknot.EntryHost, q *api.AnnounceRequest) {
	s.announced.Inc(1)
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	defer cancel()
	// The revision in heartbeats compensates for a lost announcement.
	_, _ = s.client(h).Announce(ctx, q)
}

func (s *Syncer) client(h sardineknot.EntryHost) api.Configuration {
	return api.NewConfigurationProtobufClient("http://"+h.PeerAddress.String(), s.Client)
}
