package store

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

// hostKey is the key of this host in the key-value service.
type hostKey struct {
	registry *Registry
	name     string
	// lease is the lease of the key, or zero if there is none.
	lease sardineknot.LeaseID
	// revision is the store revision of the key that was last written or read.
	revision sardineknot.StoreRevision
	// upToDate reports whether the store holds the current state of this host.
	upToDate bool
}

// maintain renews the lease and writes the key if necessary. It logs a failure;
// the next call retries.
func (k *hostKey) maintain(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := k.renew(ctx)
	if err == nil && !k.upToDate {
		err = k.put(ctx)
	}
	if err != nil && ctx.Err() == nil {
		k.registry.Log.Warn().Stringer("event", sardineknot.LogRegistrationFailed).Err(err).Send()
	}
}

// renew renews the lease, or obtains a new one if there is none or it has
// expired. A new lease requires the key to be written again.
func (k *hostKey) renew(ctx context.Context) error {
	var u *sardineknot.UnknownError
	if k.lease != 0 {
		err := k.registry.Store.KeepAlive(ctx, k.lease)
		if !errors.As(err, &u) {
			return err
		}
	}
	k.upToDate = false
	var err error
	k.lease, err = k.registry.Store.GrantLease(ctx, leaseTTL)
	return err
}

// put writes the key. On a conflict it overwrites the stored value, which was
// written by an earlier incarnation of this host, or by a write of this
// incarnation whose reply was lost.
func (k *hostKey) put(ctx context.Context) error {
	n, err := k.registry.Store.CompareAndSwap(ctx, k.name, k.revision, encode(k.registry.Self()), k.lease)
	var c *sardineknot.ConflictError
	var u *sardineknot.UnknownError
	switch {
	case err == nil:
		k.revision, k.upToDate = n, true
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
	k.revision, k.upToDate = n, true
	return nil
}

func encode(h sardineknot.EntryHost) []byte {
	// Marshaling a struct of strings, integers and booleans cannot fail.
	b, _ := json.Marshal(record{
		Incarnation:   h.Incarnation,
		CallerAddress: h.CallerAddress.String(),
		PeerAddress:   h.PeerAddress.String(),
		Zone:          h.Zone,
		Leaving:       h.State == sardineknot.EntryHostLeaving,
	})
	return b
}
