// Package limited forwards calls to backend servers within the limits that the
// servers have named.
package limited

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/backend/backoff"
)

// Forwarder is a sardineknot.Forwarder that takes a permit for each call and each
// prefill. A request without a permit is not sent and fails with a BackedOffError,
// and the server counts as backed off until the next permit. Limited servers get
// no load queries and no releases of KV caches. All exported fields must be set
// before use.
type Forwarder struct {
	sardineknot.Forwarder
	// Limiter issues the permits.
	Limiter sardineknot.ServerLimiter
	// Backoffs records until when a server gets no requests.
	Backoffs *backoff.Set
	// Source provides the servers by their addresses.
	Source sardineknot.ConfigurationSource
	// Clock returns the current time.
	Clock sardineknot.Clock
}

var _ sardineknot.Forwarder = (*Forwarder)(nil)

// Forward implements sardineknot.Forwarder.
func (f *Forwarder) Forward(ctx context.Context, server sardineknot.BackendServer, call *sardineknot.Call, options sardineknot.ForwardOptions) (*sardineknot.Response, error) {
	err := f.admit(ctx, server)
	if err != nil {
		return nil, err
	}
	return f.Forwarder.Forward(ctx, server, call, options)
}

// Prefill implements sardineknot.Forwarder.
func (f *Forwarder) Prefill(ctx context.Context, server sardineknot.BackendServer, call *sardineknot.Call, deadline time.Time) (sardineknot.KVCacheReference, error) {
	err := f.admit(ctx, server)
	if err != nil {
		return sardineknot.KVCacheReference{}, err
	}
	return f.Forwarder.Prefill(ctx, server, call, deadline)
}

// ReleaseCache implements sardineknot.Forwarder. The engine evicts the cache
// itself after some time.
func (f *Forwarder) ReleaseCache(ctx context.Context, cache sardineknot.KVCacheReference) error {
	b, ok := f.Source.Current().ServerAt(cache.Address)
	if ok && f.Limiter.Limited(b) {
		return errors.WithStack(&sardineknot.BackedOffError{Server: b.Name})
	}
	return f.Forwarder.ReleaseCache(ctx, cache)
}

// Load implements sardineknot.Forwarder.
func (f *Forwarder) Load(ctx context.Context, server sardineknot.BackendServer) (sardineknot.LoadReport, error) {
	if f.Limiter.Limited(server) {
		return sardineknot.LoadReport{}, errors.WithStack(&sardineknot.BackedOffError{Server: server.Name})
	}
	return f.Forwarder.Load(ctx, server)
}

// admit fails with a BackedOffError if server has no permit left.
func (f *Forwarder) admit(ctx context.Context, server sardineknot.BackendServer) error {
	d := f.Limiter.Admit(ctx, server)
	if d == 0 {
		return nil
	}
	f.Backoffs.Record(f.Clock.Now(), server, d)
	return errors.WithStack(&sardineknot.BackedOffError{Server: server.Name, Left: d})
}
