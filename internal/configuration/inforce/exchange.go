package inforce

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/configuration/store"
	"sardineknot.example/sardineknot/internal/peer/progress"
	"sardineknot.example/sardineknot/internal/platform/patch"
	rpc "sardineknot.example/sardineknot/internal/rpc/inforce"
)

const (
	// asked is the number of other hosts that are queried. One of them may be
	// starting as well, or be cut off.
	asked = 3
	// timeout bounds the time without progress in the calls to other hosts. A host that
	// starts does not serve before it has their answers.
	timeout = 250 * time.Millisecond
)

// Exchange queries other hosts for their configuration and answers them. All exported
// fields must be set before use.
type Exchange struct {
	// Source holds the configuration in force on this host.
	Source *store.Source
	// Members lists the entry hosts.
	Members sardineknot.Membership
	// Client sends requests to other entry hosts.
	Client *http.Client
	// Random selects the hosts that are queried. Only Fetch uses it, which must not be
	// called concurrently.
	Random *rand.Rand
	// Log receives an event for each host that does not answer.
	Log zerolog.Logger
}

// Fetch applies the newest configuration of a few other hosts to the source, if it
// is newer than that of the source. The caller must commit it.
func (e *Exchange) Fetch(ctx context.Context) {
	l := sardineknot.OtherHosts(e.Members)
	e.Random.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
	l = l[:min(asked, len(l))]
	_, n := e.Source.Accepted()
	a := make(chan *rpc.NewerResponse, len(l))
	for _, h := range l {
		go func() { a <- e.ask(ctx, h, n) }()
	}
	for range l {
		p := <-a
		if p.GetKey() != "" {
			e.adopt(p)
		}
	}
}

// adopt applies the configuration in answer to the source.
func (e *Exchange) adopt(answer *rpc.NewerResponse) {
	v := answer.GetValue()
	if len(answer.GetFrame()) > 0 {
		var err error
		v, err = patch.Patch{Data: answer.GetFrame(), Size: int(answer.GetSize()), Digest: answer.GetDigest()}.Apply(nil)
		if err != nil {
			e.Log.Warn().Stringer("event", sardineknot.LogConfigurationFetchFailed).Err(err).Send()
			return
		}
	}
	e.Source.Adopt(sardineknot.StoreEntry{Key: answer.GetKey(), Value: v, Revision: fetched})
}

// fetched is the store revision of entries that other hosts have sent. The source
// compares the operators' revisions only.
var fetched = sardineknot.StoreRevision{Number: 1}

// ask returns the configuration of host if it is newer than revision. It returns nil
// if host does not answer.
func (e *Exchange) ask(ctx context.Context, host sardineknot.EntryHost, revision sardineknot.Revision) *rpc.NewerResponse {
	ctx, cancel := progress.WithTimeout(ctx, timeout, timeout)
	defer cancel()
	c := rpc.NewConfigurationsProtobufClient("http://"+host.PeerAddress.String(), progress.Client{Client: e.Client})
	p, err := c.Newer(ctx, &rpc.NewerRequest{Revision: int64(revision), AcceptsFrame: true})
	if err != nil {
		e.Log.Debug().Stringer("event", sardineknot.LogConfigurationFetchFailed).Str("peer", string(host.ID)).Err(err).Send()
	}
	return p
}

// Handler returns the handler of requests from other hosts, and the path prefix
// under which it must be registered.
func (e *Exchange) Handler() (path string, handler http.Handler) {
	s := rpc.NewConfigurationsServer(&service{source: e.Source})
	return s.PathPrefix(), s
}

// service answers other hosts.
type service struct {
	source *store.Source

	mu sync.Mutex
	// frame is the value of the entry in force at revision, for callers that accept it.
	frame    patch.Patch
	revision sardineknot.Revision
}

var _ rpc.Configurations = (*service)(nil)

// Newer implements rpc.Configurations.
func (s *service) Newer(_ context.Context, request *rpc.NewerRequest) (*rpc.NewerResponse, error) {
	e, n := s.source.Accepted()
	if n <= sardineknot.Revision(request.GetRevision()) {
		return &rpc.NewerResponse{}, nil
	}
	if !request.GetAcceptsFrame() {
		return &rpc.NewerResponse{Key: e.Key, Value: e.Value}, nil
	}
	f, err := s.frameOf(e, n)
	if err != nil {
		return nil, err
	}
	return &rpc.NewerResponse{Key: e.Key, Frame: f.Data, Size: int64(f.Size), Digest: f.Digest}, nil
}

// frameOf returns the frame of entry, which is in force at revision. It is made once.
func (s *service) frameOf(entry sardineknot.StoreEntry, revision sardineknot.Revision) (patch.Patch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.revision == revision {
		return s.frame, nil
	}
	f, err := patch.New(entry.Value, nil)
	if err != nil {
		return patch.Patch{}, err
	}
	s.frame, s.revision = f, revision
	return f, nil
}
