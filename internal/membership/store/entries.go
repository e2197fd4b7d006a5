package store

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"sardineknot.example/sardineknot"
)

const (
	// reregistrationGrace is the time after an outage of the service during
	// which hosts whose keys were removed are kept, so that they can write
	// their keys again.
	reregistrationGrace = 3 * time.Second
	// maxReplaced bounds the earlier incarnations that are kept of a host.
	maxReplaced = 64
	// maxLoggedNames is the maximum number of hosts whose names a log line
	// lists.
	maxLoggedNames = 8
)

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
		r.applyOwnLocked(e.Revision)
		return true
	}
	if e.Revision.Absent() {
		r.refused.Remove(n)
		r.removeLocked(i)
		return true
	}
	h, err := decode(i, e.Value)
	if err != nil && !r.refused.Add(n) {
		return false
	}
	if err != nil {
		r.Log.Warn().Stringer("event", sardineknot.LogHostEntryRefused).Str("peer", n).Err(err).Send()
		return true
	}
	r.refused.Remove(n)
	r.addLocked(h, e.Revision.Era)
	return true
}

// applyOwnLocked records the revision of the key of this host.
func (r *Registry) applyOwnLocked(revision sardineknot.StoreRevision) {
	if !revision.Absent() {
		r.dirty = r.dirty || !r.joinedStore
		r.joinedStore = true
	} else {
		if !r.ownRevision.Absent() {
			r.drops++
		}
		r.requestWrite()
	}
	r.ownRevision = revision
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
		r.dirty = true
	}
}

func (r *Registry) addLocked(h sardineknot.EntryHost, era sardineknot.StoreEra) {
	m := r.hosts[h.ID]
	if m == nil || m.host.Incarnation != h.Incarnation {
		m = m.next(h.Incarnation, era)
		r.hosts[h.ID] = m
		r.joined = append(r.joined, string(h.ID))
	}
	m.host, m.era = h, era
	m.keyRemovedAt = time.Time{}
	r.dirty = true
}

// next returns the state of a host whose key has the given incarnation now, read in era.
// m is its state before, or nil. A key that differs in a new era may be of an older copy
// of the service, and shows nothing about the incarnation before.
func (m *member) next(incarnation sardineknot.Incarnation, era sardineknot.StoreEra) *member {
	n := &member{replaced: make(map[sardineknot.Incarnation]bool)}
	if m == nil {
		return n
	}
	maps.Copy(n.replaced, m.replaced)
	if len(n.replaced) >= maxReplaced {
		clear(n.replaced)
	}
	if era == m.era {
		n.replaced[m.host.Incarnation] = true
	}
	delete(n.replaced, incarnation)
	return n
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
	if !r.dirty && !r.timed {
		return
	}
	r.dirty, r.timed = false, false
	n := r.Clock.Now()
	l := []sardineknot.EntryHost{r.self}
	var s []sardineknot.EntryHost
	if r.joinedStore {
		s = append(s, r.self)
	}
	for i, m := range r.hosts {
		if r.expiredLocked(n, m) {
			delete(r.hosts, i)
			r.gone = append(r.gone, string(i))
			continue
		}
		h := m.host
		r.timed = r.timed || !m.keyRemovedAt.IsZero()
		s = append(s, h)
		if n.Before(m.excludedUntil) {
			h.State = sardineknot.EntryHostDead
			r.timed = true
		}
		l = append(l, h)
	}
	slices.SortFunc(l, compareIDs)
	slices.SortFunc(s, compareIDs)
	r.logChangesLocked(len(l))
	if !slices.Equal(s, r.registered) {
		r.registered = s
	}
	if slices.Equal(l, r.list) {
		return
	}
	r.list = l
	close(r.changed)
	r.changed = make(chan struct{})
}

func compareIDs(a, b sardineknot.EntryHost) int { return cmp.Compare(a.ID, b.ID) }

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

// expiredLocked reports whether host m is to be removed: its key was removed,
// and the service has answered for longer than reregistrationGrace. Before
// that, the host may still write its key again, because an outage of the
// service prevents live hosts from renewing their leases. Before the first answer of the
// service to the mirror, keys are known from lists of them only, and one that is no
// longer in the list has lapsed.
func (r *Registry) expiredLocked(now time.Time, m *member) bool {
	if m.keyRemovedAt.IsZero() {
		return false
	}
	k, t := r.Reachability()
	if !k && t.IsZero() {
		return true
	}
	return k && now.Sub(t) > reregistrationGrace
}
