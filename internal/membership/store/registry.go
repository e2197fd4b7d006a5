// Package store determines which entry hosts are live from the keys that they
// maintain in the platform's key-value service.
//
// Each host writes a key under a lease and renews the lease. When a host fails,
// its lease expires, its key is deleted, and the other hosts remove the host
// from their lists. A host that does not answer a call from this host is
// excluded immediately, for a limited time. While the service is unavailable,
// the last known hosts are kept.
package store

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"sardineknot.example/sardineknot"
)

const (
	// KeyPrefix is the prefix of the keys of entry hosts.
	KeyPrefix = "hosts/"
	// minRenewInterval and maxRenewInterval bound the time between renewals of
	// the lease. In between, all hosts together renew renewalsPerSecond times a
	// second.
	minRenewInterval  = 450 * time.Millisecond
	maxRenewInterval  = 1200 * time.Millisecond
	renewalsPerSecond = 300
	// intervalsPerLease is the time to live of the lease of a host's key, in
	// renewal intervals.
	intervalsPerLease = 3.5
	// callTimeout bounds one attempt to renew the lease and write the key.
	callTimeout = 600 * time.Millisecond
	// minExclusionTime and maxExclusionTime bound the time for which a host
	// that did not answer is excluded. The time is at least the time to live of
	// leases, so that the key of a host that has failed is gone before the
	// exclusion ends. It doubles with each exclusion of the same incarnation.
	minExclusionTime = 2 * time.Second
	maxExclusionTime = 15 * time.Second
	// exclusionMemory is the time after the end of an exclusion in which another
	// one is longer. A host that was in use for longer has recovered.
	exclusionMemory = 30 * time.Second
	// reregistrationGrace is the time after an outage of the service during
	// which hosts whose keys were removed are kept, so that they can write
	// their keys again.
	reregistrationGrace = 3 * time.Second
	// firstWriteDelay bounds the time for which the first write of the key
	// waits for the entries of the service.
	firstWriteDelay = 500 * time.Millisecond
	// maxLoggedNames is the maximum number of hosts whose names a log line
	// lists.
	maxLoggedNames = 8
)

// Registry implements sardineknot.Membership. It is safe for concurrent use.
// The exported fields must be set before use.
type Registry struct {
	// Store is the key-value service that holds the keys.
	Store sardineknot.Store
	// Clock provides the current time.
	Clock sardineknot.Clock
	// Reachability reports whether the key-value service answers. since is the
	// time at which it last started or stopped answering.
	Reachability func() (reachable bool, since time.Time)
	// Log receives events about hosts that join, leave or are excluded, and
	// about keys that cannot be read or written.
	Log zerolog.Logger

	mu   sync.Mutex
	self sardineknot.EntryHost
	// hosts holds the other known hosts.
	hosts map[sardineknot.EntryHostID]*member
	// list is the result of Hosts. It is replaced on every change, never
	// modified.
	list    []sardineknot.EntryHost
	changed chan struct{}
	// rewrite signals Run to write the key of this host again.
	rewrite chan struct{}
	// ownRevision is the revision of the key of this host that Apply received
	// last. refreshed is closed by the first call of Refresh.
	ownRevision sardineknot.StoreRevision
	refreshed   chan struct{}
	// era is the era of the service that BeginEra received last.
	era         sardineknot.StoreEra
	refreshOnce sync.Once
	// joined and gone hold the hosts that were added and removed since the last
	// log line about them.
	joined, gone []string
}

// member is the state of another host.
type member struct {
	host sardineknot.EntryHost
	// keyRemovedAt is the time at which the key was removed, or zero while it
	// exists.
	keyRemovedAt time.Time
	// exclusionTime is the duration of the last exclusion, which ends at
	// excludedUntil.
	exclusionTime time.Duration
	excludedUntil time.Time
}

// record is the value of a host's key.
type record struct {
	Incarnation   sardineknot.Incarnation
	CallerAddress string
	PeerAddress   string
	Zone          sardineknot.AvailabilityZone
	Processor     float64
	Leaving       bool
}

var _ sardineknot.Membership = (*Registry)(nil)

// NewRegistry returns a registry that contains only self.
func NewRegistry(self sardineknot.EntryHost) *Registry {
	return &Registry{
		self:    self,
		hosts:   make(map[sardineknot.EntryHostID]*member),
		list:    []sardineknot.EntryHost{self},
		changed: make(chan struct{}),
		rewrite: make(chan struct{}, 1),

		refreshed: make(chan struct{}),
	}
}

// Self implements sardineknot.Membership.
func (r *Registry) Self() sardineknot.EntryHost {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.self
}

// Hosts implements sardineknot.Membership.
func (r *Registry) Hosts() []sardineknot.EntryHost {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.list
}

// Isolated implements sardineknot.Membership. It always returns false: a host
// that has lost contact continues to serve with its last known state.
func (r *Registry) Isolated() bool { return false }

// Changed implements sardineknot.Membership.
func (r *Registry) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Leave puts this host into the leaving state and makes Run write its key
// again.
func (r *Registry) Leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.self.State = sardineknot.EntryHostLeaving
	r.refreshLocked()
	r.requestWrite()
}

// requestWrite makes Run write the key of this host again.
func (r *Registry) requestWrite() {
	select {
	case r.rewrite <- struct{}{}:
	default:
	}
}

// Exclude excludes the host n for some time because it did not answer a call.
// It has no effect while the host is already excluded.
func (r *Registry) Exclude(n sardineknot.EntryHostID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.hosts[n]
	t := r.Clock.Now()
	if m == nil || t.Before(m.excludedUntil) {
		return
	}
	if t.Sub(m.excludedUntil) > exclusionMemory {
		m.exclusionTime = 0
	}
	m.exclusionTime = min(maxExclusionTime, max(minExclusionTime, ttlFor(len(r.list)), 2*m.exclusionTime))
	m.excludedUntil = t.Add(m.exclusionTime)
	r.Log.Warn().Stringer("event", sardineknot.LogHostSetAside).Str("peer", string(n)).Dur("for_ms", m.exclusionTime).Send()
	r.refreshLocked()
}

// Dead reports whether incarnation n of host i counts as dead, because the host
// is not known or has a later incarnation. For this host, every incarnation
// other than its own counts as dead.
func (r *Registry) Dead(i sardineknot.EntryHostID, n sardineknot.Incarnation) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if i == r.self.ID {
		return n != r.self.Incarnation
	}
	m := r.hosts[i]
	return m == nil || m.host.Incarnation > n
}

// Apply applies a changed entry of the key-value service. An entry without a
// revision number was removed. Entries of other keys are ignored. The change is
// not visible in Hosts until Refresh is called. Apply reports whether the entry
// is that of a host.
func (r *Registry) Apply(e sardineknot.StoreEntry) bool {
	n, ok := strings.CutPrefix(e.Key, KeyPrefix)
	if !ok {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	i := sardineknot.EntryHostID(n)
	if i == r.self.ID {
		r.ownRevision = e.Revision
		if e.Revision.Absent() {
			r.requestWrite()
		}
		return true
	}
	if e.Revision.Absent() {
		r.removeLocked(i)
		return true
	}
	h, err := decode(i, e.Value)
	if err != nil {
		r.Log.Warn().Stringer("event", sardineknot.LogHostEntryRefused).Str("peer", n).Err(err).Send()
		return true
	}
	r.addLocked(h)
	return true
}

// BeginEra makes Run write the key of this host again under a new lease, because
// the service came back from an older copy. A lease of an earlier era is neither
// renewed nor used: its number may meanwhile be that of another client.
func (r *Registry) BeginEra(era sardineknot.StoreEra) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.era = era
	r.requestWrite()
}

func (r *Registry) removeLocked(i sardineknot.EntryHostID) {
	if m := r.hosts[i]; m != nil && m.keyRemovedAt.IsZero() {
		m.keyRemovedAt = r.Clock.Now()
	}
}

func (r *Registry) addLocked(h sardineknot.EntryHost) {
	m := r.hosts[h.ID]
	if m == nil || m.host.Incarnation != h.Incarnation {
		m = &member{}
		r.hosts[h.ID] = m
		r.joined = append(r.joined, string(h.ID))
	}
	m.host = h
	m.keyRemovedAt = time.Time{}
}

// Refresh puts all applied changes in force. It ends exclusions whose time has
// passed and removes hosts whose keys were removed, except during an outage of
// the service and shortly after it.
func (r *Registry) Refresh() {
	r.refreshOnce.Do(func() { close(r.refreshed) })
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refreshLocked()
}

// refreshLocked recomputes the result of Hosts and, if it changed, notifies the
// listeners of Changed.
func (r *Registry) refreshLocked() {
	n := r.Clock.Now()
	l := []sardineknot.EntryHost{r.self}
	for i, m := range r.hosts {
		if r.expiredLocked(n, m) {
			delete(r.hosts, i)
			r.gone = append(r.gone, string(i))
			continue
		}
		h := m.host
		if n.Before(m.excludedUntil) {
			h.State = sardineknot.EntryHostDead
		}
		l = append(l, h)
	}
	slices.SortFunc(l, func(a, b sardineknot.EntryHost) int { return cmp.Compare(a.ID, b.ID) })
	r.logChangesLocked(len(l))
	if slices.Equal(l, r.list) {
		return
	}
	r.list = l
	close(r.changed)
	r.changed = make(chan struct{})
}

// logChangesLocked writes one line about all hosts that joined or went since
// the last line, so that the number of lines does not grow with the number of
// hosts. count is the number of known hosts.
func (r *Registry) logChangesLocked(count int) {
	if len(r.joined)+len(r.gone) == 0 {
		return
	}
	slices.Sort(r.joined)
	slices.Sort(r.gone)
	r.Log.Info().Stringer("event", sardineknot.LogHostsChanged).Int("hosts", count).
		Int("joined", len(r.joined)).Str("joined_peers", someNames(r.joined)).
		Int("gone", len(r.gone)).Str("gone_peers", someNames(r.gone)).Send()
	r.joined, r.gone = nil, nil
}

// someNames returns the first maxLoggedNames of names, separated by commas.
func someNames(names []string) string {
	return strings.Join(names[:min(len(names), maxLoggedNames)], ",")
}

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

// expiredLocked reports whether host m is to be removed: its key was removed,
// and the service has answered for longer than reregistrationGrace. Before
// that, the host may still write its key again, because an outage of the
// service prevents live hosts from renewing their leases.
func (r *Registry) expiredLocked(now time.Time, m *member) bool {
	if m.keyRemovedAt.IsZero() {
		return false
	}
	k, t := r.Reachability()
	return k && now.Sub(t) > reregistrationGrace
}

// lastOwnRevision returns the revision of the key of this host that Apply
// received last.
func (r *Registry) lastOwnRevision() sardineknot.StoreRevision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ownRevision
}

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
