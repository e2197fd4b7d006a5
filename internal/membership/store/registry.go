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
	"sync"
	"time"

	"github.com/rs/zerolog"

	"sardineknot.example/sardineknot"
	"sardineknot.example/sardineknot/internal/platform/refused"
)

const (
	// KeyPrefix is the prefix of the keys of entry hosts.
	KeyPrefix = "hosts/"
	// minExclusionTime and maxExclusionTime bound the time for which a host
	// that did not answer is excluded. The time is at least the time to live of
	// leases, so that the key of a host that has failed is gone before the
	// exclusion ends. It doubles with each exclusion of the same incarnation.
	minExclusionTime = 2 * time.Second
	maxExclusionTime = 15 * time.Second
	// exclusionMemory is the time after the end of an exclusion in which another
	// one is longer. A host that was in use for longer has recovered.
	exclusionMemory = 30 * time.Second
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
	// dirty is set while list does not reflect self and hosts. timed is set while hosts
	// has a member that is excluded or has lost its key, so that list changes with time.
	dirty, timed bool
	// registered is the list that Registered returns. It is replaced on every
	// change, never modified. drops counts the removals of the key of this host.
	registered []sardineknot.EntryHost
	drops      uint64
	// joinedStore is set once the service has confirmed the key of this host.
	joinedStore bool
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
	// refused holds the names of hosts whose keys cannot be read.
	refused refused.Set
}

// member is the state of another host.
type member struct {
	// host is the host as in its key, which was read in era.
	host sardineknot.EntryHost
	era  sardineknot.StoreEra
	// replaced holds the incarnations of the host whose key was replaced. They may be
	// greater than the present one, if the clock was set back.
	replaced map[sardineknot.Incarnation]bool
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
	// LinkMegabits is zero in keys of builds that do not write it.
	LinkMegabits float64
	Leaving      bool
}

var (
	_ sardineknot.Membership    = (*Registry)(nil)
	_ sardineknot.Registrations = (*Registry)(nil)
)

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

// Registered implements sardineknot.Registrations. Exclusions have no effect on it.
func (r *Registry) Registered() (hosts []sardineknot.EntryHost, drops uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.registered, r.drops
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
	r.dirty = true
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
	r.dirty = true
	r.Log.Warn().Stringer("event", sardineknot.LogHostSetAside).Str("peer", string(n)).Dur("for_ms", m.exclusionTime).Send()
	r.refreshLocked()
}

// Dead reports whether incarnation n of host i counts as dead, because the host
// is not known, has a later incarnation or has replaced incarnation n. For this host, every incarnation
// other than its own counts as dead.
func (r *Registry) Dead(i sardineknot.EntryHostID, n sardineknot.Incarnation) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if i == r.self.ID {
		return n != r.self.Incarnation
	}
	m := r.hosts[i]
	return m == nil || m.host.Incarnation > n || m.replaced[n]
}
