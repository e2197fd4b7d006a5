package store

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"sardineknot.example/sardineknot"
)

// hostKey is the key of this host in the key-value service.
type hostKey struct {
	registry *Registry
	name     string
	// lease is the lease of the key, or the zero value if there is none. ttl is
	// its time to live.
	lease sardineknot.LeaseID
	ttl   time.Duration
	// revision is the store revision of the key that was last written or read.
	revision sardineknot.StoreRevision
	// upToDate reports whether the store holds the current state of this host.
	upToDate bool
}

// maintain renews the lease, which is to have the given time to live, and
// writes the key if necessary. It logs a failure; the next call retries.
func (k *hostKey) maintain(ctx context.Context, ttl time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := k.update(ctx, ttl)
	var u *sardineknot.UnknownError
	if errors.As(err, &u) {
		// The lease was granted before the service came back from an older copy.
		err = k.update(ctx, ttl)
	}
	if err != nil && ctx.Err() == nil {
		k.registry.Log.Warn().Stringer("event", sardineknot.LogRegistrationFailed).Err(err).Send()
	}
}

// update renews the lease and writes the key if necessary. It fails with an
// UnknownError if the lease has expired before the key was written.
func (k *hostKey) update(ctx context.Context, ttl time.Duration) error {
	err := k.renew(ctx, ttl)
	if err != nil || k.upToDate {
		return err
	}
	return k.put(ctx)
}

// renew renews the lease, or obtains a new one if there is none, if it has
// expired or is of an earlier era, or if its time to live is far from ttl. A new
// lease requires the key to be written again. An old lease is left to expire.
func (k *hostKey) renew(ctx context.Context, ttl time.Duration) error {
	var u *sardineknot.UnknownError
	if k.lease != (sardineknot.LeaseID{}) && k.lease.Era >= k.registry.latestEra() && k.fits(ttl) {
		err := k.registry.Store.KeepAlive(ctx, k.lease)
		if !errors.As(err, &u) {
			return err
		}
	}
	k.upToDate = false
	i, err := k.registry.Store.GrantLease(ctx, ttl)
	if err != nil {
		return err
	}
	k.lease, k.ttl = i, ttl
	return nil
}

// latestEra returns the era that BeginEra received last.
func (r *Registry) latestEra() sardineknot.StoreEra {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.era
}

// fits reports whether the time to live of the lease is close enough to ttl: a
// lease that is too short lapses between renewals, and one that is too long
// keeps the key of a host that has failed.
func (k *hostKey) fits(ttl time.Duration) bool {
	return k.ttl >= ttl*9/10 && k.ttl <= ttl*3/2
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
		k.lease = sardineknot.LeaseID{}
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
		Processor:     h.Processor,
		LinkMegabits:  h.LinkMegabits,
		Leaving:       h.State == sardineknot.EntryHostLeaving,
	})
	return b
}
