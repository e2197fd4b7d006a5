package store

import (
	"context"
	"time"

	"sardineknot.example/sardineknot"
)

const (
	// minRenewInterval and maxRenewInterval bound the time between renewals of
	// the lease. In between, all hosts together renew renewalsPerSecond times a
	// second.
	minRenewInterval  = 450 * time.Millisecond
	maxRenewInterval  = 1200 * time.Millisecond
	renewalsPerSecond = 100
	// intervalsPerLease is the time to live of the lease of a host's key, in
	// renewal intervals.
	intervalsPerLease = 3.5
	// callTimeout bounds one attempt to renew the lease and write the key.
	callTimeout = 600 * time.Millisecond
	// firstWriteDelay bounds the time for which the first write of the key
	// waits for the entries of the service.
	firstWriteDelay = 500 * time.Millisecond
)

// renewIntervalFor returns the time between renewals of the lease of a host that
// knows the given number of hosts. It is the longest one for a host that knows
// no other, because a new lease after each join of a large fleet costs more than
// a longer one in a small fleet.
func renewIntervalFor(hosts int) time.Duration {
	if hosts == 1 {
		return maxRenewInterval
	}
	return min(maxRenewInterval, max(minRenewInterval, time.Duration(hosts)*time.Second/renewalsPerSecond))
}

// ttlFor returns the time to live of the lease of a host that knows the given
// number of hosts.
func ttlFor(hosts int) time.Duration {
	return time.Duration(intervalsPerLease * float64(renewIntervalFor(hosts)))
}

// lastOwnRevision returns the revision of the key of this host that Apply
// received last.
func (r *Registry) lastOwnRevision() sardineknot.StoreRevision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ownRevision
}

// HasKey reports whether Apply has received the key of this host, be it of an
// earlier incarnation.
func (r *Registry) HasKey() bool { return !r.lastOwnRevision().Absent() }

// waitForEntries waits until the entries of the service were read, so that the
// first write replaces the key of an earlier incarnation without a conflict. It
// waits for at most firstWriteDelay.
func (r *Registry) waitForEntries(ctx context.Context) {
	t := time.NewTimer(firstWriteDelay)
	defer t.Stop()
	select {
	case <-r.refreshed:
	case <-t.C:
	case <-ctx.Done():
	}
}

// Run maintains the key of this host until ctx is done. The key is then left to
// expire with its lease.
func (r *Registry) Run(ctx context.Context) error {
	r.waitForEntries(ctx)
	k := &hostKey{registry: r, name: KeyPrefix + string(r.Self().ID), revision: r.lastOwnRevision()}
	for {
		n := len(r.Hosts())
		t := time.NewTimer(renewIntervalFor(n))
		k.maintain(ctx, ttlFor(n))
		select {
		case <-r.rewrite:
			k.upToDate = false
		case <-t.C:
			r.Refresh()
		case <-ctx.Done():
			t.Stop()
			return nil
		}
		t.Stop()
	}
}
