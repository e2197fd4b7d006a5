package store

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

// key is the key of this host.
type key struct {
	registry *Registry
	name     string
	lease    sardineknot.LeaseID
	revision sardineknot.StoreRevision
	// written tells that the key has the present value.
	written bool
}

// keep renews the lease and writes the key if that is needed.
func (k *key) keep(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := k.renew(ctx)
	if err == nil && !k.written {
		err = k.put(ctx)
	}
	if err != nil && ctx.Err() == nil {
		k.registry.Log.Warn().Stringer("event", sardineknot.LogRegistrationFailed).Err(err).Send()
	}
}

// renew renews the lease, or takes a new one if it has lapsed.
func (k *key) renew(ctx context.Context) error {
	var u *sardineknot.UnknownError
	if k.lease != 0 {
		err := k.registry.Store.KeepAlive(ctx, k.lease)
		if !errors.As(err, &u) {
			return err
		}
	}
	k.written = false
	var err error
	k.lease, err = k.registry.Store.Grant(ctx, leaseTime)
	return err
}

// put writes the key. A key that another life of this host has written is
// overwritten.
func (k *key) put(ctx context.Context) error {
	n, err := k.registry.Store.CompareAndSwap(ctx, k.name, k.revision, encode(k.registry.Self()), k.lease)
	var c *sardineknot.ConflictError
	var u *sardineknot.UnknownError
	switch {
	case err == nil:
		k.revision, k.written = n, true
		return nil
	case errors.As(err, &u):
		k.lease = 0
		return err
	case !errors.As(err, &c):
		return err
	}
	e, err := k.registry.Store.Get(ctx, k.name)
	if err != nil {
		return err
	}
	k.revision = e.Revision
	n, err = k.registry.Store.CompareAndSwap(ctx, k.name, k.revision, encode(k.registry.Self()), k.lease)
	if err != nil {
		return err
	}
	k.revision, k.written = n, true
	return nil
}

func encode(h sardineknot.EntryHost) []byte {
	// Marshalling a struct of plain fields does not fail.
	b, _ := json.Marshal(record{
		Incarnation:   h.Incarnation,
		CallerAddress: h.CallerAddress.String(),
		PeerAddress:   h.PeerAddress.String(),
		Zone:          h.Zone,
		Leaving:       h.State == sardineknot.EntryHostLeaving,
	})
	return b
}
