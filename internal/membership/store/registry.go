// Package store tells which entry hosts are live by the keys that they keep in
// the platform's key-value service.
//
// Each host writes a key under a lease and renews the lease. The key goes with
// the lease, so that a host that died is forgotten by all others within the
// lease's time to live. A host that did not answer this one is set aside for
// some time at once. While the service is away the last known hosts stay.
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
	// Prefix begins the keys of entry hosts.
	Prefix = "hosts/"
	// leaseTime is the time to live of a host's key.
	leaseTime = 1600 * time.Millisecond
	// renewal is the time between two renewals of the lease.
	renewal = 450 * time.Millisecond
	// callTimeout bounds a call to the service.
	callTimeout = 600 * time.Millisecond
	// firstAside and maxAside bound the time for which a host that did not
	// answer is set aside. It doubles with each time in a row.
	firstAside = 2 * time.Second
	maxAside   = 15 * time.Second
	// returnTime is the time that hosts have to write their keys again after
	// the service was away.
	returnTime = 3 * time.Second
)

// Registry is a sardineknot.Membership. Its exported fields are set before use.
type Registry struct {
	// Store holds the keys.
	Store sardineknot.Store
	// Clock gives the time.
	Clock sardineknot.Clock
	// Contact tells whether the service answers, and since when this is so.
	Contact func() (reachable bool, since time.Time)
	// Log takes an event for each host that comes or goes.
	Log zerolog.Logger

	mu   sync.Mutex
	self sardineknot.EntryHost
	// hosts holds the hosts with a key, other than this one.
	hosts map[sardineknot.EntryHostID]*member
	// list is what Hosts returns. It is replaced at every change.
	list    []sardineknot.EntryHost
	changed chan struct{}
	// wake has the key written again.
	wake chan struct{}
}

// member is another host.
type member struct {
	host sardineknot.EntryHost
	// goneAt is the time at which the key went away. It is zero while there is
	// one.
	goneAt time.Time
	// aside is the length of the time that ends at asideUntil.
	aside      time.Duration
	asideUntil time.Time
}

// record is the value of a host's key.
type record struct {
	Incarnation   sardineknot.Incarnation
	CallerAddress string
	PeerAddress   string
	Zone          sardineknot.AvailabilityZone
	Leaving       bool
}

var _ sardineknot.Membership = (*Registry)(nil)

// NewRegistry returns a registry that knows only self.
func NewRegistry(self sardineknot.EntryHost) *Registry {
	return &Registry{
		self:    self,
		hosts:   make(map[sardineknot.EntryHostID]*member),
		list:    []sardineknot.EntryHost{self},
		changed: make(chan struct{}),
		wake:    make(chan struct{}, 1),
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

// Isolated implements sardineknot.Membership. A host that is cut off goes on
// serving by what it knows.
func (r *Registry) Isolated() bool { return false }

// Changed implements sardineknot.Membership.
func (r *Registry) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Leave tells the other hosts that this one is about to go.
func (r *Registry) Leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.self.State = sardineknot.EntryHostLeaving
	r.refreshLocked()
	r.write()
}

// write has the key written again.
func (r *Registry) write() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Lost sets the host n aside, since it did not answer.
func (r *Registry) Lost(n sardineknot.EntryHostID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.hosts[n]
	t := r.Clock.Now()
	if m == nil || t.Before(m.asideUntil) {
		return
	}
	m.aside = min(maxAside, max(firstAside, 2*m.aside))
	m.asideUntil = t.Add(m.aside)
	r.Log.Warn().Stringer("event", sardineknot.LogHostSetAside).Str("peer", string(n)).Dur("for_ms", m.aside).Send()
	r.refreshLocked()
}

// Dead reports whether the life n of the host i is known to be over.
func (r *Registry) Dead(i sardineknot.EntryHostID, n sardineknot.Incarnation) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if i == r.self.ID {
		return n != r.self.Incarnation
	}
	m := r.hosts[i]
	return m == nil || m.host.Incarnation > n
}

// Take takes in a changed entry of the service.
func (r *Registry) Take(e sardineknot.StoreEntry) {
	n, ok := strings.CutPrefix(e.Key, Prefix)
	if !ok {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	i := sardineknot.EntryHostID(n)
	if i == r.self.ID {
		if e.Revision == 0 {
			r.write()
		}
		return
	}
	if e.Revision == 0 {
		r.removeLocked(i)
		return
	}
	h, err := decode(i, e.Value)
	if err != nil {
		r.Log.Warn().Stringer("event", sardineknot.LogHostEntryRefused).Str("peer", n).Err(err).Send()
		return
	}
	r.addLocked(h)
}

func (r *Registry) removeLocked(i sardineknot.EntryHostID) {
	if m := r.hosts[i]; m != nil && m.goneAt.IsZero() {
		m.goneAt = r.Clock.Now()
	}
	r.refreshLocked()
}

func (r *Registry) addLocked(h sardineknot.EntryHost) {
	m := r.hosts[h.ID]
	if m == nil || m.host.Incarnation != h.Incarnation {
		m = &member{}
		r.hosts[h.ID] = m
		r.Log.Info().Stringer("event", sardineknot.LogHostJoined).Str("peer", string(h.ID)).Str("address", h.CallerAddress.String()).Send()
	}
	m.host = h
	m.goneAt = time.Time{}
	r.refreshLocked()
}

// Refresh takes in that time has passed.
func (r *Registry) Refresh() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refreshLocked()
}

// refreshLocked makes the list anew and tells of a change.
func (r *Registry) refreshLocked() {
	n := r.Clock.Now()
	l := []sardineknot.EntryHost{r.self}
	for i, m := range r.hosts {
		if r.expiredLocked(n, m) {
			delete(r.hosts, i)
			r.Log.Info().Stringer("event", sardineknot.LogHostGone).Str("peer", string(i)).Send()
			continue
		}
		h := m.host
		if n.Before(m.asideUntil) {
			h.State = sardineknot.EntryHostDead
		}
		l = append(l, h)
	}
	slices.SortFunc(l, func(a, b sardineknot.EntryHost) int { return cmp.Compare(a.ID, b.ID) })
	if slices.Equal(l, r.list) {
		return
	}
	r.list = l
	close(r.changed)
	r.changed = make(chan struct{})
}

// expiredLocked reports whether the host m is to be forgotten. Keys that went
// while the service was away may come back.
func (r *Registry) expiredLocked(now time.Time, m *member) bool {
	if m.goneAt.IsZero() {
		return false
	}
	k, t := r.Contact()
	return k && now.Sub(t) > returnTime
}

// Run keeps the key of this host until ctx is done, and then removes it.
func (r *Registry) Run(ctx context.Context) error {
	k := &key{registry: r, name: Prefix + string(r.Self().ID)}
	t := time.NewTicker(renewal)
	defer t.Stop()
	for {
		k.keep(ctx)
		select {
		case <-r.wake:
			k.written = false
		case <-t.C:
			r.Refresh()
		case <-ctx.Done():
			return nil
		}
	}
}
